//! Where the engine's task and the operators' door meet over partners' quotas, and the file that outlives a process.
//!
//! Its lock is taken before the shared state's and never across a wait.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_fleet::state::{Exchange, Kept};

use super::files;
use super::handover::Place;
use super::log::Limited;
use super::state::Board;
use crate::quota::{Admission, Settings};
use crate::state::Slots;
use tracing::info;

static TROUBLE: Limited = Limited::new("quota");

struct Inner {
    admission: Admission,
    /// The rights until something is shared.
    alone: Exchange,
    begun: bool,
    /// What an earlier life was at is later than the file: told once.
    stale: bool,
}

/// Quotas, for whoever has to do with them.
pub struct Desk {
    state: Arc<Board>,
    file: Option<PathBuf>,
    inner: Mutex<Inner>,
}

impl Desk {
    /// Quotas by these settings, over what is shared on `state` by gateways of these slots. What is promised is
    /// kept at `place`.
    pub fn new(settings: Settings, slots: &Slots, state: Arc<Board>, place: Option<&Place>) -> Self {
        let now = state.now();
        let admission = Admission::new(settings, slots.own(), slots.len(), now);
        let alone = admission.alone(now);
        let inner = Mutex::new(Inner { admission, alone, begun: false, stale: false });
        Self { state, file: place.map(|place| place.beside("quota")), inner }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does something with the rights there are.
    pub fn with<T>(&self, work: impl FnOnce(&mut Admission, Duration, &mut Exchange) -> T) -> T {
        let mut inner = self.inner();
        let Inner { admission, alone, begun, stale } = &mut *inner;
        self.state.either(|hub, now| {
            let Some(hub) = hub.filter(|_| !*stale) else {
                alone.at(now);
                return work(admission, now, alone);
            };
            let exchange = hub.exchange();
            exchange.pass(now);
            if !*begun {
                match admission.begin(exchange, self.earlier()) {
                    Ok(line) => {
                        *begun = true;
                        info!("{line}");
                    }
                    Err(why) => {
                        *stale = true;
                        info!("quota: {why}; {}; by floors alone until then", why.help());
                        alone.at(now);
                        return work(admission, now, alone);
                    }
                }
            }
            work(admission, now, exchange)
        })
    }

    /// What an earlier life of this gateway has promised.
    fn earlier(&self) -> Option<Kept> {
        let text = match files::read_if_there(self.file.as_ref()?) {
            Ok(text) => text?,
            Err(problem) => {
                TROUBLE.say(format_args!("what an earlier life has promised cannot be read: {problem}"));
                return None;
            }
        };
        let kept = serde_json::from_str(&text);
        if let Err(problem) = &kept {
            TROUBLE.say(format_args!("what an earlier life has promised cannot be read: {problem}"));
        }
        kept.ok()
    }

    /// Lets time pass.
    pub fn tick(&self) {
        let lines = self.with(|admission, now, exchange| {
            let lines = admission.at(now, exchange);
            if let Some(kept) = admission.to_keep(exchange) {
                match self.keep(&kept) {
                    Ok(()) => admission.kept(exchange, kept),
                    Err(problem) => {
                        TROUBLE.say(format_args!("not promised, as it cannot be kept: {problem}"))
                    }
                }
            }
            if let Err(broken) = admission.check() {
                TROUBLE.say(format_args!("invariant broken: {broken}; {}", broken.help()));
            }
            lines
        });
        lines.iter().for_each(|line| info!("{line}"));
    }

    /// Half a file would be none: it is put in its place whole.
    fn keep(&self, kept: &Kept) -> std::io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        let text = serde_json::to_string(kept)?;
        files::replace(file, text.as_bytes())
    }

    /// The file was read again.
    pub fn reload(&self, settings: Settings) {
        // What was stale may not be any more.
        self.inner().stale = false;
        let reloaded = {
            let mut inner = self.inner();
            let Inner { admission, alone, begun, .. } = &mut *inner;
            self.state.either(|hub, _| match hub.filter(|_| *begun) {
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
    pub fn text(&self) -> String {
        self.with(|admission, _, exchange| admission.text(exchange))
    }

    /// The figures, as text.
    pub fn figures(&self) -> String {
        self.with(|admission, _, exchange| admission.figures(exchange))
    }
}
