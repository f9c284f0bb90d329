//! The client library: sessions that keep their deadlines, bound their retries, honour refusals and spread
//! their returns, so that a site which is overloaded sees the load that is asked for and not a multiple.
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
//!         SessionEvent::Migrated | SessionEvent::Disconnected { .. } => println!("one moment, please"),
//!         SessionEvent::Ended(why) => println!("over: {why}"),
//!         _ => {}
//!     }
//! }
//! # Ok(())
//! # }
//! ```
//!
//! Two layers. [`SessionPool`] is the core: all sessions of a process as one state machine that is handed events
//! and the time and returns effects; it knows no socket and reads no clock, so that a hundred thousand
//! sessions run in virtual time as they would in theirs. [`Client`] and [`Session`] are the thin tokio
//! driver round it.
//!
//! What holds, whatever happens:
//!
//! - A session has one attempt out at most. An attempt's socket is closed before the next one is dialled.
//! - A session ends exactly once, with a [`GiveUpReason`] that says why.
//! - `d` never tells more than is left of the deadline; nothing comes up after it. It may be overrun by one
//!   [`TICK`] where nothing happens, and by as long as the driver is late.
//! - After `BUSY MS` neither this session nor another of the pool and class comes back to the site before
//!   MS is over, unless that is more than [`Settings::busy_most`].
//! - Retries are no more than the budget has been paid for ([`Settings::budget_ratio`] of first tries).

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

/// The page for the app's developers; its quick start is compiled with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../docs/client.md")]
pub struct Page;
