//! One quota per partner over all gateways: new connections per second with a burst, and open connections.
//!
//! The quotas are budgets of [`ashtide_fleet::state`]: the connections admitted by all gateways together stay
//! within the totals, whichever part of the network is partitioned. This crate decides about one connection
//! at one gateway: what it costs, which partner's units it uses, and when a rejected client should retry. It
//! also sets the number of units that each partner wants at this gateway in the shared state. It uses no
//! socket and no clock.

#![deny(
    clippy::enum_glob_use,
    clippy::many_single_char_names,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    rustdoc::broken_intra_doc_links
)]

mod decision;
mod demand;
mod quota;

pub use decision::{ConnectionKind, Decision, PartnerBudgets};
pub use quota::{DEFAULT_MAX_WAIT, Quota};
