//! The interface of the decision module: ids, time, settings, events and actions.
//!
//! The interface contains data only, no decisions. Times are integer microseconds. Ids are opaque numbers
//! that may only be compared for equality. Each numeric field of the settings states its unit in its name,
//! its type or its documentation.

mod actions;
mod events;
mod ids;
mod settings;
mod time;

pub use actions::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
pub use time::*;
