//! The decisions of a balancer for long-lived connections.
//!
//! Each relay places a new connection on whichever of two randomly drawn ready servers holds
//! fewer of the relay's own open connections; placed connections stay put. [`Balancer`] makes
//! that decision, and all that surrounds it: following the server list, cold starts, health,
//! further attempts and refusals. It does no I/O and reads no clock: the relay hands it events
//! and carries out the actions it returns.
//!
//! # Embedding
//!
//! ```
//! use ashtide::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         aim: Span::from_micros(500_000),
//!         message_aim: Span::from_micros(100_000),
//!         worth: 1.0,
//!         effect: Effect::Safe,
//!     }],
//!     ..Settings::for_zone(ZoneId(0))
//! };
//! let mut balancer = Balancer::new(settings, 42);
//! let mut actions = Vec::new();
//! let now = Time::from_micros(1_000_000);
//!
//! // The relay has read the server list.
//! let entries = (0..3)
//!     .map(|number| Listing::ready(ServerId(number), ZoneId(0)))
//!     .collect();
//! balancer.handle(now, Event::List { news: ListNews::Whole, entries }, &mut actions);
//!
//! // A client asks for a connection: the module answers with an attempt to make.
//! let request = Request {
//!     id: RequestId(7),
//!     class: ClassId(0),
//!     tenant: None,
//!     group: None,
//!     time_left: Span::from_micros(2_000_000),
//!     load: None,
//! };
//! actions.clear();
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Attempt { id: RequestId(7), .. })));
//! ```

pub mod admin;
pub mod config;
pub mod decision;
pub mod discovery;
pub mod engine;
pub mod fleet;
pub mod handover;
pub mod metrics;
pub mod net;
pub mod quic;
pub mod settings;
pub mod vrrp;

pub use decision::Balancer;
pub use decision::interface::*;
