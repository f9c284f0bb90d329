//! Inputs and results of a quota decision.

use std::time::Duration;

/// Ids of a partner's budgets in the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartnerBudgets {
    /// Budget of new connections. Its units are thousandths of a connection per second.
    pub rate_budget: u32,
    /// Duration for which unspent units of the rate budget are stored. Equals the burst of that budget.
    pub burst: Duration,
    /// Budget of open connections, `None` if they are not limited.
    pub connections_budget: Option<u32>,
}

/// Kind of a connection request. All attempts of one request count as one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionKind {
    /// First request of the client for this connection.
    New,
    /// Repeated request after a rejection or a failure (`r=1`). It costs as much as a new one, because a
    /// rejection costs nothing, but does not count as further demand.
    Retry,
    /// Connection that a gateway or server migrated (`again=1`). It is free up to a tenth of the partner's
    /// rate at this gateway. Beyond that it costs as much as a new one, because any client can claim to be
    /// migrated.
    Migrated,
}

/// Decision about one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Admitted within the partner's quota.
    WithinQuota,
    /// Admitted as a migrated connection, which does not count against the rate.
    Migrated,
    /// Admitted with units that another partner leaves unused at this gateway.
    Borrowed {
        /// Index of the partner whose units were spent.
        owner: usize,
    },
    /// Rejected. At the current rate, units for one connection are expected after the wait, in addition to
    /// those reserved for clients that were rejected earlier. Retries are thus spread over time and find
    /// units.
    Rejected {
        /// Duration that the client waits before its retry.
        retry_after: Duration,
    },
}
