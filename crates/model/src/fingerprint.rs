//! Fingerprints that identify repeated attempts of the same request, or an attribute that different
//! requests share.
//!
//! Each attempt has its own identifier, so the fingerprint of a request covers the tenant, the target
//! and the body. Headers are not part of it, as a caller can change them freely.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// SHA-256 digest of a request's target (path and query) and body. Host and method are excluded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// Computes the digest of `target` and the complete `body`, as received from the caller.
    pub fn of(target: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        update_with_text(&mut hasher, target);
        hasher.update(body);
        Self(hasher.finalize().into())
    }
}

/// Length of a fingerprint, in bytes; the probability of a collision among 2^40 requests is 2^-49.
const FINGERPRINT_BYTES: usize = 16;

/// First byte of what is hashed for an attribute; requests have 0 or 1.
const ATTRIBUTE_DOMAIN: u8 = 2;

/// An attribute that different requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RequestAttribute {
    /// A part of the prompt, by its hash.
    PromptPart(u64),
}

impl fmt::Display for RequestAttribute {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestAttribute::PromptPart(part) => write!(formatter, "prompt part {part:x}"),
        }
    }
}

/// Tenants whose requests something applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TenantScope {
    /// All tenants.
    All,
    /// One tenant; none stands for callers on routes that need no API key.
    Only(Option<String>),
}

impl fmt::Display for TenantScope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TenantScope::All => formatter.write_str("all tenants"),
            TenantScope::Only(Some(tenant)) => write!(formatter, "tenant {tenant}"),
            TenantScope::Only(None) => formatter.write_str("callers without a tenant"),
        }
    }
}

/// Identifies a request by tenant, target and body, or an attribute by its service and tenants; the
/// same on all nodes.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request. `tenant` is none on routes that need no API key.
    pub fn of(tenant: Option<&str>, content: &ContentDigest) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(tenant.is_some())]);
        update_with_text(&mut hasher, tenant.unwrap_or_default());
        hasher.update(content.0);
        Self::from_hasher(hasher)
    }

    /// Computes the fingerprint of an attribute of requests to `service`.
    pub fn of_attribute(
        service: &str,
        tenants: &TenantScope,
        attribute: &RequestAttribute,
    ) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([ATTRIBUTE_DOMAIN]);
        update_with_text(&mut hasher, service);
        match tenants {
            TenantScope::All => hasher.update([0]),
            TenantScope::Only(tenant) => {
                hasher.update([1 + u8::from(tenant.is_some())]);
                update_with_text(&mut hasher, tenant.as_deref().unwrap_or_default());
            }
        }
        match attribute {
            RequestAttribute::PromptPart(part) => {
                hasher.update([0]);
                hasher.update(part.to_le_bytes());
            }
        }
        Self::from_hasher(hasher)
    }

    fn from_hasher(hasher: Sha256) -> Self {
        let digest: [u8; 32] = hasher.finalize().into();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

/// Hashes a text with its length as prefix, so that adjacent texts can't be confused.
fn update_with_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Error of parsing a fingerprint from text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint must consist of 32 hexadecimal digits")]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hexadecimal = text.bytes().all(|digit| digit.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !is_hexadecimal {
            return Err(FingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (position, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| FingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
