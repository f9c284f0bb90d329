//! The state shared with other gateways, as used by the event loop, the view's driver and the admin endpoint.
//!
//! The lock is held for a single operation and never across an await. The event loop and the view's driver
//! run on one thread, so only the admin endpoint can delay them, for as long as it formats its text.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::fleet::shared_state::GatewayState;

/// Returns a monotonic time that includes system suspend, because leases also expire at other gateways while
/// this machine is suspended.
fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), u32::try_from(now.tv_nsec).unwrap_or_default())
}

/// The state shared with other gateways. It is absent until the view has bound its socket; until then a
/// gateway behaves as if no state were shared.
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
    /// Returns the current time as used by the shared state and the quotas.
    pub fn now(&self) -> Duration {
        time_since_boot().saturating_sub(self.epoch)
    }

    fn lock(&self) -> MutexGuard<'_, Option<GatewayState>> {
        self.gateway_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts sharing with the state that `create` returns at the current time.
    pub fn start(&self, create: impl FnOnce(Duration) -> GatewayState) {
        let now = self.now();
        *self.lock() = Some(create(now));
    }

    /// Calls `operation` with the state, or `None` before it has started, and the current time.
    pub fn with_optional<T>(&self, operation: impl FnOnce(Option<&mut GatewayState>, Duration) -> T) -> T {
        let now = self.now();
        operation(self.lock().as_mut(), now)
    }

    /// Calls `operation` with the state and the current time; returns `None` before the state has started.
    pub fn with<T>(&self, operation: impl FnOnce(&mut GatewayState, Duration) -> T) -> Option<T> {
        let now = self.now();
        self.lock().as_mut().map(|state| operation(state, now))
    }
}
