//! The client library: sessions that keep their deadlines, bound their retries, honour refusals and spread
//! their returns.

mod address;
mod budget;
mod learnt;
mod moment;
mod pool;
mod session;
mod settings;

pub use address::{Address, MAX_ADDRESSES, MAX_HOLDS};
pub use learnt::{Failing, Held, Learnt, LearntError};
pub use moment::{Moment, TICK};
pub use pool::{Effect, Event, Figures, GATHER, Pool};
pub use session::{Attempt, Drop, GaveUp, Notice, SessionId, Setback, Wish};
pub use settings::{Settings, SettingsError};
