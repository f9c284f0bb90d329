//! Counters of a session pool.

/// Counters since the pool was created.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Number of sessions that were requested.
    pub opened: u64,
    /// Number of first attempts for the first connection of a session.
    pub first_attempts: u64,
    /// Number of first attempts to reconnect after a `MOVE`, a broken connection or a network loss.
    pub reconnects: u64,
    /// Number of attempts that repeat a failed attempt.
    pub retries: u64,
    /// Number of connections that were established.
    pub established: u64,
    /// Number of attempts that the gateway rejected.
    pub rejected: u64,
    /// Number of attempts that were answered with an error.
    pub failed: u64,
    /// Number of attempts that failed because the transport connection could not be established.
    pub connect_failures: u64,
    /// Number of attempts that were not answered in time.
    pub timeouts: u64,
    /// Number of attempts whose connection ended before the answer.
    pub lost_before_answer: u64,
    /// Number of protocol violations by peers.
    pub protocol_violations: u64,
    /// Number of established connections that ended with a `MOVE`.
    pub moved: u64,
    /// Number of established connections that broke or ended with a network loss.
    pub broken: u64,
    /// Number of sessions that ended because the retry budget was exhausted.
    pub retry_budget_exhausted: u64,
    /// Number of events for sessions or attempts that had already ended.
    pub late_events: u64,
    /// Number of addresses that were skipped as duplicates or beyond the maximum number of addresses.
    pub skipped_addresses: u64,
    /// Number of sessions that ended.
    pub ended: u64,
}
