//! What is decided about, and what the decision may be.

use std::time::Duration;

/// A partner's budgets, by their ids in the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartnerBudgets {
    /// New connections a second, in units of a thousandth a second.
    pub rate_budget: u32,
    /// How long unspent rights to new connections are stored: the same as the budget's.
    pub burst: Duration,
    /// Open connections; none where they are not limited.
    pub connections_budget: Option<u32>,
}

/// What asks for a connection. Attempts of one request are one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionKind {
    /// One that its client has not asked for before.
    New,
    /// One that its client asks for again after a rejection or a failure (`r=1`). It costs what a new one does, as a
    /// rejection cost nothing, but it is no further demand.
    Retry,
    /// One that a gateway or server migrated (`again=1`). Free, up to a tenth of the partner's rate here: beyond that
    /// it costs what a new one does, as any client can claim to be migrated.
    Migrated,
}

/// A decision about one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Admitted within the partner's quota.
    WithinQuota,
    /// Admitted as a migration, which does not count against the rate.
    Migrated,
    /// Admitted on what another partner leaves unused here.
    Borrowed {
        /// Whose right it took.
        owner: usize,
    },
    /// Rejected. The wait ends when a right is expected here by the present rate, after those of the clients that were
    /// rejected before: so clients come back spread out, and are then admitted.
    Rejected {
        /// How long the client is to wait.
        retry_after: Duration,
    },
}
