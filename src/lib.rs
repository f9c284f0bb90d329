//! A balancer for long-lived connections.
//!
//! Each gateway draws two ready servers at random, and places a new connection on the one with fewer open
//! connections from this gateway. Established connections remain on their servers. [`Balancer`] makes these
//! decisions and the related ones: updates of the endpoint list, slow start, outlier ejection, retries and
//! rejections. It performs no I/O and reads no clock: the gateway passes events to it and performs the
//! actions that it returns.
//!
//! # Embedding
//!
//! ```
//! use ashtide::*;
//!
//! let settings = Settings {
//!     classes: vec![RequestClass {
//!         latency_objective: Span::from_micros(500_000),
//!         message_latency_objective: Span::from_micros(100_000),
//!         priority_weight: 1.0,
//!         idempotency: Idempotency::Idempotent,
//!     }],
//!     ..Settings::for_zone(ZoneId(0))
//! };
//! let mut balancer = Balancer::new(settings, 42);
//! let mut actions = Vec::new();
//! let now = Time::from_micros(1_000_000);
//!
//! // The gateway has received the endpoint list.
//! let entries = (0..3)
//!     .map(|number| EndpointEntry::ready(ServerId(number), ZoneId(0)))
//!     .collect();
//! let update = Event::EndpointList { update: ListUpdate::Snapshot, entries };
//! balancer.handle(now, update, &mut actions);
//!
//! // A client requests a connection: the balancer returns an attempt.
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
//! assert!(actions.iter().any(|action| matches!(action, Action::Attempt { id: RequestId(7), .. })));
//! ```

#![deny(
    clippy::enum_glob_use,
    clippy::many_single_char_names,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    rustdoc::broken_intra_doc_links
)]

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
