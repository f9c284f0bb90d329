//! The shared state, where the event loop, the view's driver and the admin endpoint meet.
//!
//! The lock is held for one call of the cores and never across a wait: the event loop and the view's driver run on one
//! thread, so only the admin endpoint can hold it against them, for the time that its text takes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::fleet::shared_state::GatewayState;

/// A steady time that goes on while the machine sleeps: leases end for other gateways then, too.
fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), u32::try_from(now.tv_nsec).unwrap_or_default())
}

/// The shared state. There is none before the view has its socket; until then a gateway behaves as without it.
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

    fn lock(&self) -> MutexGuard<'_, Option<GatewayState>> {
        self.gateway_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts with the state that `new` makes at the present time.
    pub fn start(&self, new: impl FnOnce(Duration) -> GatewayState) {
        let now = self.now();
        *self.lock() = Some(new(now));
    }

    /// Does something at the present time, with the state once it has started.
    pub fn with_optional<T>(&self, work: impl FnOnce(Option<&mut GatewayState>, Duration) -> T) -> T {
        let now = self.now();
        work(self.lock().as_mut(), now)
    }

    /// Does something with the state at the present time; none before it has started.
    pub fn with<T>(&self, work: impl FnOnce(&mut GatewayState, Duration) -> T) -> Option<T> {
        let now = self.now();
        self.lock().as_mut().map(|state| work(state, now))
    }
}
