//! Names of the objects that operators and settings refer to.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

name_type!(
    /// Name of one silversail process, unique in its cluster.
    NodeName
);
name_type!(
    /// Name of a back end: an engine, a pool member or a plain service.
    BackendName
);
name_type!(
    /// Name of a pipeline.
    PipelineName
);
name_type!(
    /// Name of a stage, unique in its pipeline.
    StageName
);
name_type!(
    /// Name of a tenant.
    TenantName
);
name_type!(
    /// Identifier of a configuration change, chosen once by the operator and
    /// kept over resends.
    ChangeId
);

/// Longest name that validation accepts, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Whether `text` is usable as a name: 1 to [`MAX_NAME_BYTES`] bytes of ASCII
/// letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
