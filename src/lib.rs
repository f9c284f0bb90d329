//! The decisions of a balancer for long-lived connections.
//!
//! Each gateway places a new connection on whichever of two randomly drawn ready servers holds fewer of the gateway's
//! own open connections; established connections stay where they are. [`Balancer`] makes that decision, and all that
//! surrounds it: following the endpoint list, slow start, outlier ejection, retries and rejections. It does no I/O and
//! reads no clock: the gateway hands it events and carries out the actions it returns.
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
//! // The gateway has read the endpoint list.
//! let entries = (0..3)
//!     .map(|number| EndpointEntry::ready(ServerId(number), ZoneId(0)))
//!     .collect();
//! let update = Event::EndpointList { update: ListUpdate::Snapshot, entries };
//! balancer.handle(now, update, &mut actions);
//!
//! // A client requests a connection: the module answers with an attempt.
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
