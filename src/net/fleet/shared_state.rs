//! Where the engine's task, the view's and the operators' door meet over what the gateways share.
//!
//! The lock is held for one call of the cores and never across a wait: the engine and the view run on one thread, so
//! only the door can hold it against them, for the time that its text takes.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::fleet::shared_state::GatewayState;

/// Steady, and goes on while the machine sleeps: leases end for others then, too.
fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), u32::try_from(now.tv_nsec).unwrap_or_default())
}

/// What is shared, for whoever has to do with it. There is nothing before the view has its socket: until then a gateway
/// goes by its own, as without it.
pub struct SharedState {
    epoch: Duration,
    gateway_state: Mutex<Option<GatewayState>>,
}

impl Default for SharedState {
    fn default() -> Self {
        Self { epoch: time_since_boot(), gateway_state: Mutex::default() }
    }
}

impl SharedState {
    /// The present time of the cores here.
    pub fn now(&self) -> Duration {
        time_since_boot().saturating_sub(self.epoch)
    }

    /// It begins.
    pub fn start(&self, new: impl FnOnce(Duration) -> GatewayState) {
        let now = self.now();
        *self.gateway_state.lock().unwrap_or_else(PoisonError::into_inner) = Some(new(now));
    }

    /// Does something with it at the present time, or without it before it has begun.
    pub fn with_optional<T>(&self, work: impl FnOnce(Option<&mut GatewayState>, Duration) -> T) -> T {
        let now = self.now();
        work(self.gateway_state.lock().unwrap_or_else(PoisonError::into_inner).as_mut(), now)
    }

    /// Does something with it at the present time; none before it has begun.
    pub fn with<T>(&self, work: impl FnOnce(&mut GatewayState, Duration) -> T) -> Option<T> {
        let now = self.now();
        self.gateway_state.lock().unwrap_or_else(PoisonError::into_inner).as_mut().map(|hub| work(hub, now))
    }
}
