//! Who of a tier of gateways is there, and what they share ([`state`]).
//!
//! Each member keeps a view of its own, from datagrams of at most [`MAX_DATAGRAM`] bytes, which may be late, lost,
//! repeated or foreign.
//!
//! The protocol is SWIM with suspicion (Das, Gupta and Motivala 2002), by the crate `foca`: one probe a period
//! whatever the size, indirect probes through others, updates carried by all that is sent. This crate adds members and
//! their incarnations, one frame that tells versions and tiers apart, a budget, doubt in the own link after a stall
//! (after Lifeguard, Dadgar and others 2018), and what an operator is shown.
//!
//! [`Membership`] knows no socket and no clock. It is told the time and what came in, and hands out what is to be sent:
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
#[doc(hidden)] // Public for tests/pages.rs alone.
pub mod page;
pub mod state;
mod view;

pub use frame::{DatagramCount, DecodeError, MAX_DATAGRAM};
pub use member::Member;
pub use view::{
    MAX_MEMBERS, MemberState, MemberStatus, Membership, ViewChange, ViewConfig, ViewMetrics, digest,
};
