//! Configuration of a replica: timing and size limits.

use crate::Millis;

/// Timing and size limits. All replicas of a group use the same values.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// Interval between a leader's heartbeats, in milliseconds.
    pub heartbeat_interval: Millis,
    /// Minimum time without leader contact before a follower starts an election, in milliseconds.
    /// The actual timeout is random, between one and two times this value.
    pub election_timeout: Millis,
    /// Time for which a quorum's acknowledgement allows a leader to answer reads, in milliseconds.
    /// Must be shorter than `election_timeout` by the maximum clock drift between replicas.
    pub lease_duration: Millis,
    /// Maximum number of entries in an append message.
    pub max_append_entries: usize,
    /// Approximate maximum size of the commands in an append message, in bytes.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged append messages to a follower.
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
    /// Checks the relations between the values that safety and liveness require.
    ///
    /// # Errors
    /// A message that names the invalid value.
    pub fn validate(&self) -> Result<(), String> {
        if self.heartbeat_interval == 0 || self.heartbeat_interval * 3 > self.election_timeout {
            return Err(format!(
                "election_timeout is {} ms; it must be at least 3 times heartbeat_interval, which is {} ms \
                 and must be above 0",
                self.election_timeout, self.heartbeat_interval
            ));
        }
        if self.lease_duration >= self.election_timeout {
            return Err(format!(
                "lease_duration is {} ms; it must be below election_timeout, {} ms",
                self.lease_duration, self.election_timeout
            ));
        }
        if self.max_append_entries == 0 || self.max_in_flight == 0 {
            return Err(format!(
                "max_append_entries is {} and max_in_flight is {}; both must be at least 1",
                self.max_append_entries, self.max_in_flight
            ));
        }
        Ok(())
    }
}
