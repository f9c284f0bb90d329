//! What a session costs in the core: memory and time, and how both grow. Each size is measured in a process
//! of its own, as a heap that has grown once says little afterwards.

use std::time::{Duration, Instant as StdInstant};

use ashtide_client::{Address, Instant, PoolCommand, PoolEvent, SessionPool, SessionRequest, Settings};
use ashtide_protocol::GatewayEvent;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What so many sessions cost.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cost {
    /// Sessions.
    pub sessions: usize,
    /// Bytes of resident memory for each, standing.
    pub bytes: f64,
    /// Microseconds of processor time to open one and bring it up.
    pub open_us: f64,
    /// The same to drop one, wait, and bring it up again.
    pub return_us: f64,
}

/// Why nothing could be measured.
#[derive(Debug, thiserror::Error)]
pub enum CostError {
    /// The system does not tell how much memory the process has.
    #[error("/proc/self/statm: {0}")]
    Memory(String),
    /// The measuring process.
    #[error("the measuring process: {0}")]
    Process(String),
}

fn resident() -> Result<f64, CostError> {
    let text =
        std::fs::read_to_string("/proc/self/statm").map_err(|error| CostError::Memory(error.to_string()))?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.map(|pages| pages * 4096.0).ok_or_else(|| CostError::Memory(format!("'{}'", text.trim())))
}

/// Brings up whoever dials.
fn answer(pool: &mut SessionPool, now: Instant, out: &mut Vec<PoolCommand>) {
    while !out.is_empty() {
        for effect in std::mem::take(out) {
            if let PoolCommand::Connect { session, attempt, .. } = effect {
                pool.handle(now, PoolEvent::Connected(session, attempt), out);
                pool.handle(
                    now,
                    PoolEvent::Received(session, attempt, Ok(GatewayEvent::Up(Bytes::new()))),
                    out,
                );
            }
        }
    }
}

/// Measures one size, in this process.
///
/// # Errors
///
/// Fails where the system does not tell the process's memory.
pub fn measure(sessions: usize) -> Result<Cost, CostError> {
    let settings = Settings { sessions, ..Settings::default() };
    let mut pool = SessionPool::new(settings, 1).unwrap_or_else(|error| unreachable!("{error}"));
    let mut now = Instant::from_micros(1_000_000);
    let mut out = Vec::new();
    let addresses = (0..3).map(|number| Address::new(([127, 0, 0, 1], 8000 + number).into())).collect();
    pool.handle(now, PoolEvent::AddressesChanged(addresses), &mut out);
    let before = resident()?;
    let begun = StdInstant::now();
    let mut ids = Vec::with_capacity(sessions);
    for number in 0..sessions {
        let wish = SessionRequest::new(
            "resident-reading",
            format!("meter-{number:010}"),
            Duration::from_millis(3200),
        );
        ids.push(pool.open(now, wish, &mut out));
        answer(&mut pool, now, &mut out);
    }
    let opened = begun.elapsed();
    let bytes = (resident()? - before) / sessions as f64;
    let begun = StdInstant::now();
    for id in &ids {
        let attempt = pool.current_attempt(*id).unwrap_or_default();
        pool.handle(now, PoolEvent::ConnectionEnded(*id, attempt, None), &mut out);
        out.clear();
    }
    while let Some(wake) = pool.next_wake() {
        now = wake;
        pool.handle(now, PoolEvent::TimerFired, &mut out);
        answer(&mut pool, now, &mut out);
    }
    let each = |time: Duration| time.as_secs_f64() * 1e6 / sessions as f64;
    Ok(Cost { sessions, bytes, open_us: each(opened), return_us: each(begun.elapsed()) })
}

/// Measures one size in a process of its own, which is this program called with `arguments`.
///
/// # Errors
///
/// Fails where the process cannot be started or tells nothing.
pub async fn measure_in_own_process(arguments: &[String]) -> Result<Cost, CostError> {
    let process = |error: &dyn std::fmt::Display| CostError::Process(error.to_string());
    let own = std::env::current_exe().map_err(|error| process(&error))?;
    let output =
        tokio::process::Command::new(own).args(arguments).output().await.map_err(|error| process(&error))?;
    serde_json::from_slice(&output.stdout).map_err(|error| process(&error))
}
