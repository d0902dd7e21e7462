//! Typed names of the objects in settings and configuration.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the name as a string slice.
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
    /// Name of a pipeline, unique in the configuration.
    PipelineName
);
name_type!(
    /// Name of a stage, unique in its pipeline.
    StageName
);
name_type!(
    /// Name of a tenant, unique in the configuration.
    TenantName
);
name_type!(
    /// Identifier of a configuration change, chosen by the operator and reused when the
    /// change is sent again.
    ChangeId
);

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Whether `text` is a valid name: 1 to [`MAX_NAME_BYTES`] bytes of ASCII
/// letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
}
