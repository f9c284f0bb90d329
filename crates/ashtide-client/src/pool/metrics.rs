//! Counters of a session pool.

/// Counts since the pool began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Sessions asked for.
    pub opened: u64,
    /// First tries of sessions.
    pub first_attempts: u64,
    /// First tries of returns after a move or a break.
    pub reconnects: u64,
    /// Tries that repeat one.
    pub retries: u64,
    /// Connections that came up.
    pub established: u64,
    /// Tries refused.
    pub rejected: u64,
    /// Tries failed by an answer.
    pub failed: u64,
    /// Tries that reached nobody.
    pub connect_failures: u64,
    /// Tries not answered in time.
    pub timeouts: u64,
    /// Tries cut off before the answer.
    pub lost_before_answer: u64,
    /// Breaches of the protocol by peers.
    pub protocol_violations: u64,
    /// Standing connections moved.
    pub moved: u64,
    /// Standing connections broken.
    pub broken: u64,
    /// Sessions that ended for want of a retry in the budget.
    pub retry_budget_exhausted: u64,
    /// Events of attempts that were over.
    pub late_events: u64,
    /// Addresses passed over, as there were too many or one stood twice.
    pub skipped_addresses: u64,
    /// Sessions that have ended.
    pub ended: u64,
}
