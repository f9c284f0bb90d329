//! Where the engine's task and the operators' door meet over partners' quotas, and the file that outlives a process.
//!
//! Its lock is taken before the shared state's and never across a wait.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_fleet::state::{Exchange, PersistedAllocation};

use crate::fleet::quota::{Admission, Settings};
use crate::fleet::shared_state::GatewaySlots;
use crate::net::fleet::shared_state::SharedState;
use crate::net::handover::StateFolder;
use crate::net::rate_limited_log::RateLimitedLog;
use crate::net::storage;
use tracing::info;

static RATE_LIMITED_LOG: RateLimitedLog = RateLimitedLog::new("quota");

struct QuotaState {
    admission: Admission,
    /// The rights until something is shared.
    standalone: Exchange,
    is_sharing: bool,
    /// What an earlier life was at is later than the file: told once.
    is_stale: bool,
}

/// Quotas, for whoever has to do with them.
pub struct QuotaService {
    shared_state: Arc<SharedState>,
    path: Option<PathBuf>,
    inner: Mutex<QuotaState>,
}

impl QuotaService {
    /// Quotas by these settings, over what is shared on `state` by gateways of these slots. What is promised is
    /// kept at `place`.
    pub fn new(
        settings: Settings,
        slots: &GatewaySlots,
        state: Arc<SharedState>,
        place: Option<&StateFolder>,
    ) -> Self {
        let now = state.now();
        let admission = Admission::new(settings, slots.own(), slots.len(), now);
        let alone = admission.standalone_exchange(now);
        let inner =
            Mutex::new(QuotaState { admission, standalone: alone, is_sharing: false, is_stale: false });
        Self { shared_state: state, path: place.map(|place| place.file_path("quota")), inner }
    }

    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does something with the rights there are.
    pub fn with<T>(&self, work: impl FnOnce(&mut Admission, Duration, &mut Exchange) -> T) -> T {
        let mut inner = self.lock();
        let QuotaState { admission, standalone: alone, is_sharing: begun, is_stale: stale } = &mut *inner;
        self.shared_state.with_optional(|hub, now| {
            let Some(hub) = hub.filter(|_| !*stale) else {
                alone.advance_to(now);
                return work(admission, now, alone);
            };
            let exchange = hub.exchange();
            exchange.set_time(now);
            if !*begun {
                match admission.start_sharing(exchange, self.load_persisted()) {
                    Ok(line) => {
                        *begun = true;
                        info!("{line}");
                    }
                    Err(why) => {
                        *stale = true;
                        info!("quota: {why}; {}; by floors alone until then", why.help());
                        alone.advance_to(now);
                        return work(admission, now, alone);
                    }
                }
            }
            work(admission, now, exchange)
        })
    }

    /// What an earlier life of this gateway has promised.
    fn load_persisted(&self) -> Option<PersistedAllocation> {
        let text = match storage::read_optional(self.path.as_ref()?) {
            Ok(text) => text?,
            Err(problem) => {
                RATE_LIMITED_LOG
                    .log(format_args!("what an earlier life has promised cannot be read: {problem}"));
                return None;
            }
        };
        let kept = serde_json::from_str(&text);
        if let Err(problem) = &kept {
            RATE_LIMITED_LOG.log(format_args!("what an earlier life has promised cannot be read: {problem}"));
        }
        kept.ok()
    }

    /// Lets time pass.
    pub fn tick(&self) {
        let lines = self.with(|admission, now, exchange| {
            let lines = admission.advance_to(now, exchange);
            if let Some(kept) = admission.allocation_to_persist(exchange) {
                match self.persist(&kept) {
                    Ok(()) => admission.mark_persisted(exchange, kept),
                    Err(problem) => {
                        RATE_LIMITED_LOG.log(format_args!("not promised, as it cannot be kept: {problem}"))
                    }
                }
            }
            if let Err(broken) = admission.check() {
                RATE_LIMITED_LOG.log(format_args!("invariant broken: {broken}; {}", broken.help()));
            }
            lines
        });
        lines.iter().for_each(|line| info!("{line}"));
    }

    /// Half a file would be none: it is put in its place whole.
    fn persist(&self, kept: &PersistedAllocation) -> std::io::Result<()> {
        let Some(file) = &self.path else { return Ok(()) };
        let text = serde_json::to_string(kept)?;
        storage::replace_file(file, text.as_bytes())
    }

    /// The file was read again.
    pub fn reload(&self, settings: Settings) {
        // What was stale may not be any more.
        self.lock().is_stale = false;
        let reloaded = {
            let mut inner = self.lock();
            let QuotaState { admission, standalone: alone, is_sharing: begun, .. } = &mut *inner;
            self.shared_state.with_optional(|hub, _| match hub.filter(|_| *begun) {
                Some(hub) => admission.reload(hub.exchange(), settings),
                None => admission.reload(alone, settings),
            })
        };
        match reloaded {
            Ok(line) => info!("{line}"),
            Err(why) => info!("quota: {why}; what runs is kept; {}", why.help()),
        }
    }

    /// Each partner's rights and use, as text.
    pub fn status_text(&self) -> String {
        self.with(|admission, _, exchange| admission.status_text(exchange))
    }

    /// The figures, as text.
    pub fn metrics_text(&self) -> String {
        self.with(|admission, _, exchange| admission.metrics_text(exchange))
    }
}
