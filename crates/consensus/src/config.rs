//! Timing and size limits of a replica.

use crate::Millis;

/// Timing and size limits. All replicas of a group use the same values.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// Interval between a leader's heartbeats, in milliseconds.
    pub heartbeat_interval: Millis,
    /// Shortest silence after which a follower stands for election, in
    /// milliseconds. Elections start between one and two times this.
    pub election_timeout: Millis,
    /// How long a quorum's acknowledgement lets a leader answer reads, in
    /// milliseconds; shorter than `election_timeout` by the drift that clocks
    /// may have against each other.
    pub lease_duration: Millis,
    /// Most entries in one append message.
    pub max_append_entries: usize,
    /// Most bytes of commands in one append message, roughly.
    pub max_append_bytes: usize,
    /// Most append messages in flight to one follower.
    pub max_in_flight: usize,
}

impl Default for ConsensusConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: 150,
            election_timeout: 900,
            lease_duration: 750,
            max_append_entries: 512,
            max_append_bytes: 1 << 20,
            max_in_flight: 16,
        }
    }
}

impl ConsensusConfig {
    /// Checks that the intervals keep the order that safety and liveness need.
    pub fn validate(&self) -> Result<(), String> {
        if self.heartbeat_interval == 0 || self.heartbeat_interval * 3 > self.election_timeout {
            return Err("election_timeout must be at least 3 heartbeat_interval".into());
        }
        if self.lease_duration >= self.election_timeout {
            return Err("lease_duration must be below election_timeout".into());
        }
        if self.max_append_entries == 0 || self.max_in_flight == 0 {
            return Err("append limits must be at least 1".into());
        }
        Ok(())
    }
}
