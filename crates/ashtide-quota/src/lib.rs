//! One quota per partner over all gateways: new connections a second with a burst, and open connections.
//!
//! The rights are budgets of [`ashtide_fleet::state`]: what all gateways spend is within the totals, whatever part of
//! the network is cut off. This crate decides about one connection at one gateway: what it costs, whose right it takes,
//! and when a client that is rejected should come again; and it tells the shared state what each partner wants here.
//! No socket, no clock.

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
