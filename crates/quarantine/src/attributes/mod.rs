//! Attributes that requests share, as a part of their prompts, and that crash the back ends which
//! answer requests with them.
//!
//! No two such requests need be alike, so that their fingerprints lead nowhere. Nodes report the
//! attributes of the requests that a crash interrupted, and when requests with these attributes were
//! last answered. Every voter collects the reports; the leader of the control group judges, and
//! commits a verdict as the refusal of the attribute's own fingerprint.
//!
//! - [`report`]: what nodes and voters tell each other
//! - [`reporter`]: what one node has observed and still has to report
//! - [`evidence`]: the reports of all nodes, as a voter collects them
//! - `refused`: which attributes the quarantine list stands for, and where they crashed back ends
//! - [`judgement`]: which attributes the evidence is sufficient to refuse

pub mod evidence;
pub mod judgement;
mod refused;
pub mod report;
pub mod reporter;

use serde::{Deserialize, Serialize};
use silversail_model::{RequestAttribute, RequestFingerprint, TenantScope};

/// The back ends of one service with the same software version: what is learned of an attribute at
/// another version says nothing of it here.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendGroup {
    /// Service of the back ends.
    pub service: String,
    /// Software version; empty if the list of back ends does not tell.
    pub version: String,
}

/// Fingerprints under which the attributes of a tenant's request to a service may be refused.
pub fn attribute_fingerprints(
    service: &str,
    tenant: Option<&str>,
    attributes: impl IntoIterator<Item = RequestAttribute>,
) -> Vec<(RequestAttribute, RequestFingerprint)> {
    let own = TenantScope::Only(tenant.map(str::to_owned));
    let of_attribute = |attribute: RequestAttribute| {
        let scopes = [&TenantScope::All, &own];
        scopes.map(|scope| {
            let fingerprint = RequestFingerprint::of_attribute(service, scope, &attribute);
            (attribute, fingerprint)
        })
    };
    attributes.into_iter().flat_map(of_attribute).collect()
}
