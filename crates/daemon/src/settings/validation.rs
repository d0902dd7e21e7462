//! Validation of settings: addresses, names and ranges.

use super::{Settings, SettingsError};
use silversail_model::ResultCode;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Allowed values of `gateway.processor_share`, in cores.
const PROCESSOR_SHARE_RANGE: std::ops::RangeInclusive<f64> = 0.01..=64.0;

impl Settings {
    /// Validates references, addresses and ranges.
    ///
    /// # Errors
    /// With the code and the path of the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_nodes()?;
        self.topology()?;
        self.validate_gateway()?;
        self.validate_voters()?;
        validate_address("operators", &self.operators)?;
        for (path, address) in [
            ("listen.peer", &self.listen.peer),
            ("listen.callers", &self.listen.callers),
            ("platform", &self.platform),
        ] {
            if let Some(address) = address {
                validate_address(path, address)?;
            }
        }
        self.validate_ranges()
    }

    fn validate_nodes(&self) -> Result<(), SettingsError> {
        let mut names = BTreeSet::new();
        for (position, node) in self.cluster.nodes.iter().enumerate() {
            let path = format!("cluster.nodes[{position}]");
            if !silversail_model::identifiers::is_valid_name(node.name.as_str()) {
                let message =
                    "must have 1 to 128 characters out of letters, digits, '-', '_' and '.'";
                return Err(SettingsError::new(
                    ResultCode::InvalidName,
                    format!("{path}.name"),
                    message,
                ));
            }
            if !names.insert(&node.name) {
                let message = format!("'{}' is used by several nodes", node.name);
                return Err(SettingsError::new(
                    ResultCode::DuplicateName,
                    format!("{path}.name"),
                    message,
                ));
            }
            validate_address(&format!("{path}.peer"), &node.peer)?;
            validate_address(&format!("{path}.callers"), &node.callers)?;
        }
        if let Some(discovery) = &self.discovery {
            validate_address("discovery.own.peer", &discovery.own.peer)?;
            validate_address("discovery.own.callers", &discovery.own.callers)?;
            for (position, contact) in discovery.contacts.iter().enumerate() {
                validate_address(&format!("discovery.contacts[{position}]"), contact)?;
            }
            return Ok(());
        }
        if !names.contains(&self.node) {
            let message = format!("'{}' is not a node in cluster.nodes", self.node);
            return Err(SettingsError::new(
                ResultCode::UnknownReference,
                "node",
                message,
            ));
        }
        Ok(())
    }

    fn validate_gateway(&self) -> Result<(), SettingsError> {
        let Some(gateway) = &self.gateway else {
            return Ok(());
        };
        for (path, address) in [
            ("gateway.callers", &gateway.callers),
            ("gateway.readiness", &gateway.readiness),
            ("gateway.control", &gateway.control),
            ("gateway.entry_points", &gateway.entry_points),
            ("gateway.backend_list", &gateway.backend_list),
        ] {
            validate_address(path, address)?;
        }
        if !PROCESSOR_SHARE_RANGE.contains(&gateway.processor_share) {
            let path = "gateway.processor_share";
            let message = "must be between 0.01 and 64";
            return Err(SettingsError::new(
                ResultCode::ValueOutOfRange,
                path,
                message,
            ));
        }
        gateway.policy.validate().map_err(|error| {
            let path = format!("gateway.policy.{}", error.field);
            SettingsError::new(ResultCode::ValueOutOfRange, path, error.problem)
        })
    }

    fn validate_voters(&self) -> Result<(), SettingsError> {
        if self.discovery.is_some() {
            return Ok(());
        }
        let voters = &self.cluster.voters;
        if voters.is_empty() || voters.len().is_multiple_of(2) {
            return Err(SettingsError::new(
                ResultCode::ValueOutOfRange,
                "cluster.voters",
                "must be an odd number of nodes",
            ));
        }
        for (position, voter) in voters.iter().enumerate() {
            if !self.cluster.nodes.iter().any(|node| node.name == *voter) {
                return Err(SettingsError::new(
                    ResultCode::UnknownReference,
                    format!("cluster.voters[{position}]"),
                    format!("'{voter}' is not a node in cluster.nodes"),
                ));
            }
        }
        if self.is_voter() && self.data_folder.is_none() {
            return Err(SettingsError::new(
                ResultCode::MissingField,
                "data_folder",
                "is required on a voter",
            ));
        }
        Ok(())
    }

    fn validate_ranges(&self) -> Result<(), SettingsError> {
        let out_of_range = |path: &str, message: &str| {
            Err(SettingsError::new(
                ResultCode::ValueOutOfRange,
                path,
                message,
            ))
        };
        if self.cluster.ledger_groups == 0 && self.discovery.is_none() {
            return out_of_range("cluster.ledger_groups", "must be at least 1");
        }
        if let Err(message) = self.consensus_config().validate() {
            return out_of_range("timing", &message);
        }
        if self.timing.node_lease_ms < 2 * self.timing.session_heartbeat_ms {
            return out_of_range(
                "timing.node_lease_ms",
                "must be at least twice session_heartbeat_ms",
            );
        }
        if self.timing.freshness_lease_ms < 2 * self.timing.session_heartbeat_ms {
            return out_of_range(
                "timing.freshness_lease_ms",
                "must be at least twice session_heartbeat_ms",
            );
        }
        if self.timing.ledger_retention_ms < self.limits.deadline_ms {
            return out_of_range(
                "timing.ledger_retention_ms",
                "must be at least limits.deadline_ms",
            );
        }
        if self.timing.weight_store_mb_per_s <= 0.0 {
            return out_of_range("timing.weight_store_mb_per_s", "must be greater than 0");
        }
        if self.routing.slot_share <= 0.0 {
            return out_of_range("routing.slot_share", "must be greater than 0");
        }
        if !(0.0..=1.0).contains(&self.rollout.exposure_share) {
            return out_of_range("rollout.exposure_share", "must be between 0 and 1");
        }
        if !self.rollout.exposure_slack.is_finite() || self.rollout.exposure_slack < 0.0 {
            return out_of_range("rollout.exposure_slack", "must be 0 or more");
        }
        if self.rollout.rollback_ms == 0 {
            return out_of_range("rollout.rollback_ms", "must be greater than 0");
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            return out_of_range("log.level", "must be error, warn, info, debug or trace");
        }
        Ok(())
    }
}

fn validate_address(path: &str, address: &str) -> Result<(), SettingsError> {
    match address.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(SettingsError::new(
            ResultCode::InvalidAddress,
            path,
            format!("'{address}' is not an address of the form IP:PORT"),
        )),
    }
}
