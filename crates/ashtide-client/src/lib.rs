//! Client library of ashtide. Its sessions enforce deadlines, limit their retries, honour rejections and
//! spread their reconnects over time, so that an overloaded site receives the requested load and not a
//! multiple of it.
//!
//! ```no_run
//! use std::time::Duration;
//! use ashtide_client::{Address, Client, SessionEvent, SessionRequest};
//!
//! # async fn app() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::builder().addresses([Address::new("127.0.0.1:8443".parse()?)]).build()?;
//! let request = SessionRequest::new("resident-reading", "meter-77", Duration::from_millis(3200));
//! let mut session = client.connect(request).await?;
//! session.send(b"READ 4711").await?;
//! while let Some(event) = session.next_event().await {
//!     match event {
//!         SessionEvent::Line(line) => println!("{}", String::from_utf8_lossy(&line)),
//!         SessionEvent::Migrated | SessionEvent::Disconnected { .. } => println!("reconnecting"),
//!         SessionEvent::Ended(why) => println!("over: {why}"),
//!         _ => {}
//!     }
//! }
//! # Ok(())
//! # }
//! ```
//!
//! The library has two layers. [`SessionPool`] is the core: a state machine for all sessions of a process. It
//! receives events and the current time and returns commands. It uses no socket and reads no clock, so that a
//! hundred thousand sessions run in virtual time as they do in real time. [`Client`] and [`Session`] are a
//! thin tokio driver for the pool.
//!
//! The pool guarantees the following:
//!
//! - A session has at most one attempt in progress. The socket of an attempt is closed before the next
//!   attempt connects.
//! - A session ends exactly once, with a [`GiveUpReason`].
//! - The `d` parameter of a request never exceeds the time that remains until the deadline, and no connection
//!   is established after the deadline. A session may end up to one [`TICK`] after its deadline if no event
//!   occurs, plus the delay with which the driver wakes the pool.
//! - After `BUSY MS`, no session of the same pool and class makes an attempt at the site for MS milliseconds,
//!   or for [`Settings::busy_most`] if that is shorter.
//! - The number of retries is limited by the retry budget ([`Settings::budget_ratio`] retries per first
//!   attempt).

mod budget;
mod clock;
mod connection;
mod driver;
mod event;
mod instant;
mod pool;
mod selection;
mod server_cache;
mod session;
mod settings;

pub use driver::{BuildError, Builder, Client, ConnectError, MAX_QUEUED_LINES, SendError, Session};
pub use event::SessionEvent;
pub use instant::{Instant, TICK};
pub use pool::{DISCONNECT_COLLECTION_WINDOW, Metrics, PoolCommand, PoolEvent, SessionPool};
pub use selection::{Address, MAX_ADDRESSES, MAX_REJECTIONS};
pub use server_cache::{CachedFailure, CachedRejection, ServerCache, ServerCacheError};
pub use session::{
    Attempt, AttemptFailure, ConnectionLoss, GiveUpReason, SessionId, SessionNotification, SessionRequest,
};
pub use settings::{Settings, SettingsError};

/// Page for application developers; its quick start is compiled as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/client.md")]
pub struct Page;
