//! The interface of the decision module: ids, time, settings, events and actions.
//!
//! Nothing here decides anything. Times are whole microseconds, ids are opaque numbers that may only be compared for
//! equality, and every number of a settings field has its unit in its name or its type.

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
