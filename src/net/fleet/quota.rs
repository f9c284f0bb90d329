//! Partners' quotas, shared by the event loop and the admin endpoint, and the file that stores the committed
//! allocation across restarts.
//!
//! Lock order: the lock of the quotas is taken before that of the shared state. Neither is held across an
//! await.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_fleet::state::{Exchange, PersistedAllocation};
use tracing::info;

use super::shared_state::SharedState;
use crate::fleet::quota::{Admission, Settings};
use crate::fleet::shared_state::GatewaySlots;
use crate::net::handover::StateFolder;
use crate::net::rate_limited_log::RateLimitedLog;
use crate::net::storage;

static RATE_LIMITED_LOG: RateLimitedLog = RateLimitedLog::new("quota");

/// The source of the exchange that allocates usable units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExchangeSource {
    /// The shared state has not started; the gateway uses its own floors.
    Standalone,
    /// The exchange of the shared state.
    Shared,
    /// The previous process committed to a later generation than that of the settings file. The gateway uses
    /// its own floors until the settings are reloaded.
    StaleFile,
}

struct QuotaState {
    admission: Admission,
    /// The exchange with this gateway's own floors, used while the shared one is not.
    standalone: Exchange,
    source: ExchangeSource,
}

/// Admission by the partners' quotas at this gateway.
pub struct QuotaService {
    shared_state: Arc<SharedState>,
    path: Option<PathBuf>,
    inner: Mutex<QuotaState>,
}

impl QuotaService {
    /// Creates the service for these settings, over the shared state of the gateways with these slots. The
    /// allocation that this gateway commits to is persisted in `folder`; without a folder it is not
    /// persisted.
    pub fn new(
        settings: Settings,
        slots: &GatewaySlots,
        shared_state: Arc<SharedState>,
        folder: Option<&StateFolder>,
    ) -> Self {
        let now = shared_state.now();
        let admission = Admission::new(settings, slots.own(), slots.len(), now);
        let standalone = admission.standalone_exchange(now);
        let inner = Mutex::new(QuotaState { admission, standalone, source: ExchangeSource::Standalone });
        Self { shared_state, path: folder.map(|folder| folder.file_path("quota")), inner }
    }

    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `operation` with the admission, the current time and the exchange in use.
    pub fn with<T>(&self, operation: impl FnOnce(&mut Admission, Duration, &mut Exchange) -> T) -> T {
        let mut guard = self.lock();
        let state = &mut *guard;
        self.shared_state.with_optional(|gateway, now| {
            if let Some(gateway) = gateway.filter(|_| state.source != ExchangeSource::StaleFile) {
                let exchange = gateway.exchange();
                exchange.set_time(now);
                self.start_sharing(state, exchange);
                if state.source == ExchangeSource::Shared {
                    return operation(&mut state.admission, now, exchange);
                }
            }
            state.standalone.advance_to(now);
            operation(&mut state.admission, now, &mut state.standalone)
        })
    }

    /// Switches to the exchange of the shared state, unless the persisted allocation has a later generation
    /// than the settings.
    fn start_sharing(&self, state: &mut QuotaState, exchange: &mut Exchange) {
        if state.source == ExchangeSource::Shared {
            return;
        }
        match state.admission.start_sharing(exchange, self.load_persisted()) {
            Ok(line) => {
                state.source = ExchangeSource::Shared;
                info!("{line}");
            }
            Err(stale) => {
                state.source = ExchangeSource::StaleFile;
                info!(
                    "quota: {stale}; {}; until then, admission is limited to this gateway's own floors",
                    stale.help()
                );
            }
        }
    }

    /// Returns the allocation that the previous process of this gateway committed to; `None` if there is none
    /// or it cannot be read.
    fn load_persisted(&self) -> Option<PersistedAllocation> {
        let text = storage::read_optional(self.path.as_ref()?);
        let persisted = match text {
            Ok(text) => serde_json::from_str(&text?).map_err(std::io::Error::from),
            Err(problem) => Err(problem),
        };
        if let Err(problem) = &persisted {
            RATE_LIMITED_LOG.log(format_args!(
                "cannot read the allocation committed to by the previous process: {problem}"
            ));
        }
        persisted.ok()
    }

    /// Advances the time, persists a changed allocation and checks the invariants. Must be called every
    /// [`TICK_INTERVAL`](crate::fleet::quota::TICK_INTERVAL).
    pub fn tick(&self) {
        let lines = self.with(|admission, now, exchange| {
            let lines = admission.advance_to(now, exchange);
            self.persist_allocation(admission, exchange);
            if let Err(violation) = admission.check() {
                RATE_LIMITED_LOG.log(format_args!("invariant violated: {violation}; {}", violation.help()));
            }
            lines
        });
        for line in lines {
            info!("{line}");
        }
    }

    fn persist_allocation(&self, admission: &mut Admission, exchange: &mut Exchange) {
        let Some(allocation) = admission.allocation_to_persist(exchange) else { return };
        match self.persist(&allocation) {
            Ok(()) => admission.mark_persisted(exchange, allocation),
            Err(problem) => RATE_LIMITED_LOG
                .log(format_args!("cannot persist the allocation: {problem}; not committing to it")),
        }
    }

    fn persist(&self, allocation: &PersistedAllocation) -> std::io::Result<()> {
        let Some(path) = &self.path else { return Ok(()) };
        let text = serde_json::to_string(allocation)?;
        storage::replace_file(path, text.as_bytes())
    }

    /// Applies reloaded settings. After an error, the settings in use are retained.
    pub fn reload(&self, settings: Settings) {
        let mut guard = self.lock();
        let state = &mut *guard;
        if state.source == ExchangeSource::StaleFile {
            state.source = ExchangeSource::Standalone;
        }
        let is_shared = state.source == ExchangeSource::Shared;
        let reloaded = self.shared_state.with_optional(|gateway, _| match gateway.filter(|_| is_shared) {
            Some(gateway) => state.admission.reload(gateway.exchange(), settings),
            None => state.admission.reload(&mut state.standalone, settings),
        });
        match reloaded {
            Ok(line) => info!("{line}"),
            Err(stale) => info!("quota: {stale}; retaining the settings in use; {}", stale.help()),
        }
    }

    /// Returns each partner's usable units and use as text.
    pub fn status_text(&self) -> String {
        self.with(|admission, _, exchange| admission.status_text(exchange))
    }

    /// Returns the metrics as text.
    pub fn metrics_text(&self) -> String {
        self.with(|admission, _, exchange| admission.metrics_text(exchange))
    }
}
