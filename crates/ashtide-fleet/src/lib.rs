//! Membership of a fleet of gateways, and the state that the gateways share ([`state`]).
//!
//! Each member maintains its own view of the fleet from datagrams of at most [`MAX_DATAGRAM`] bytes.
//! Datagrams may be delayed, lost, duplicated or sent by a foreign process.
//!
//! The protocol is SWIM with suspicion (Das, Gupta and Motivala 2002), implemented by the crate `foca`. Each
//! member sends one probe per period, whatever the size of the fleet, probes indirectly through other
//! members, and piggybacks membership updates on all messages. This crate adds:
//!
//! - members with incarnations,
//! - a frame that distinguishes protocol versions and fleets,
//! - a datagram budget,
//! - longer suspicion timeouts while the local link is in doubt (after Lifeguard, Dadgar and others 2018),
//! - the member states and metrics for operators.
//!
//! [`Membership`] uses no socket and no clock. The caller passes in the time and received datagrams, and
//! fetches the datagrams to send:
//!
//! ```
//! use std::time::Duration;
//! use ashtide_fleet::{MemberState, Membership, ViewConfig};
//!
//! let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
//! let now = Duration::ZERO;
//! let mut one = Membership::new(ViewConfig::new(7, 2), address(1), 1, vec![], 1, now);
//! let mut two = Membership::new(ViewConfig::new(7, 2), address(2), 1, vec![address(1)], 2, now);
//! two.handle_timeout(now);
//! for _ in 0..4 {
//!     while let Some((_, datagram)) = two.next_datagram() {
//!         one.handle_datagram(now, &datagram).unwrap();
//!     }
//!     while let Some((_, datagram)) = one.next_datagram() {
//!         two.handle_datagram(now, &datagram).unwrap();
//!     }
//! }
//! assert_eq!(one.members().next().map(|status| status.state), Some(MemberState::Alive));
//! ```

#![deny(
    clippy::enum_glob_use,
    clippy::many_single_char_names,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    rustdoc::broken_intra_doc_links
)]

mod frame;
mod member;
#[doc(hidden)] // Public only for tests/pages.rs and tests/compatibility.rs.
pub mod page;
pub mod state;
mod view;

pub use frame::{DatagramCount, DecodeError, MAX_DATAGRAM};
pub use member::Member;
pub use view::{
    MAX_MEMBERS, MemberState, MemberStatus, Membership, ViewChange, ViewConfig, ViewMetrics, digest,
};
