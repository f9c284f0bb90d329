//! Partners' quotas, where the event loop and the admin endpoint meet, and the file that outlives a process.
//!
//! The lock is taken before the shared state's and never across a wait.

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

/// Which exchange the rights come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExchangeSource {
    /// The shared state has not started: this gateway's floors.
    Standalone,
    /// The shared state.
    Shared,
    /// The previous process was at a later generation than the file: this gateway's floors until it is read again.
    StaleFile,
}

struct QuotaState {
    admission: Admission,
    /// The rights where none are shared.
    standalone: Exchange,
    source: ExchangeSource,
}

/// The quotas of this gateway.
pub struct QuotaService {
    shared_state: Arc<SharedState>,
    path: Option<PathBuf>,
    inner: Mutex<QuotaState>,
}

impl QuotaService {
    /// Quotas by these settings, over the shared state of gateways with these slots. What this gateway commits to is
    /// persisted in `folder`.
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

    /// Does something at the present time with the rights there are.
    pub fn with<T>(&self, work: impl FnOnce(&mut Admission, Duration, &mut Exchange) -> T) -> T {
        let mut guard = self.lock();
        let state = &mut *guard;
        self.shared_state.with_optional(|gateway, now| {
            if let Some(gateway) = gateway.filter(|_| state.source != ExchangeSource::StaleFile) {
                let exchange = gateway.exchange();
                exchange.set_time(now);
                self.start_sharing(state, exchange);
                if state.source == ExchangeSource::Shared {
                    return work(&mut state.admission, now, exchange);
                }
            }
            state.standalone.advance_to(now);
            work(&mut state.admission, now, &mut state.standalone)
        })
    }

    /// Takes the rights from the shared state from now on.
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
                    "quota: {stale}; {}; admitting by this gateway's floors alone until then",
                    stale.help()
                );
            }
        }
    }

    /// What the previous process of this gateway has committed to.
    fn load_persisted(&self) -> Option<PersistedAllocation> {
        let text = storage::read_optional(self.path.as_ref()?);
        let persisted = match text {
            Ok(text) => serde_json::from_str(&text?).map_err(std::io::Error::from),
            Err(problem) => Err(problem),
        };
        if let Err(problem) = &persisted {
            RATE_LIMITED_LOG
                .log(format_args!("cannot read what the previous process committed to: {problem}"));
        }
        persisted.ok()
    }

    /// Lets time pass; to be called every [`TICK_INTERVAL`](crate::fleet::quota::TICK_INTERVAL).
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
                .log(format_args!("cannot persist the allocation, so it is not committed to: {problem}")),
        }
    }

    fn persist(&self, allocation: &PersistedAllocation) -> std::io::Result<()> {
        let Some(path) = &self.path else { return Ok(()) };
        let text = serde_json::to_string(allocation)?;
        storage::replace_file(path, text.as_bytes())
    }

    /// Takes over settings that were read again.
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
            Err(stale) => info!("quota: {stale}; the settings in use stay; {}", stale.help()),
        }
    }

    /// Each partner's rights and use, as text.
    pub fn status_text(&self) -> String {
        self.with(|admission, _, exchange| admission.status_text(exchange))
    }

    /// The metrics, as text.
    pub fn metrics_text(&self) -> String {
        self.with(|admission, _, exchange| admission.metrics_text(exchange))
    }
}
