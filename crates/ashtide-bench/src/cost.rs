//! Memory and processor time of a session in the client core, for several numbers of sessions.
//!
//! Each number is measured in a process of its own, as a heap that has grown before distorts later
//! measurements.

use std::time::{Duration, Instant as StdInstant};

use ashtide_client::{Address, Instant, PoolCommand, PoolEvent, SessionPool, SessionRequest, Settings};
use ashtide_protocol::GatewayEvent;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Measured cost of a session, for one number of sessions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cost {
    /// Number of sessions.
    pub sessions: usize,
    /// Resident memory of an established session, in bytes.
    pub bytes: f64,
    /// Processor time to open and establish a session, in microseconds.
    pub open_us: f64,
    /// Processor time to handle a session's connection loss and to establish the session again, in
    /// microseconds.
    pub return_us: f64,
}

/// Error of a measurement.
#[derive(Debug, thiserror::Error)]
pub enum CostError {
    /// The resident memory of the process could not be read.
    #[error("/proc/self/statm: {0}")]
    Memory(String),
    /// The measuring process could not be started or returned no result.
    #[error("the measuring process: {0}")]
    Process(String),
}

/// Returns the resident memory of this process in bytes.
fn resident_memory() -> Result<f64, CostError> {
    let text =
        std::fs::read_to_string("/proc/self/statm").map_err(|error| CostError::Memory(error.to_string()))?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.map(|pages| pages * 4096.0).ok_or_else(|| CostError::Memory(format!("'{}'", text.trim())))
}

/// Answers every connection attempt with success.
fn accept_attempts(pool: &mut SessionPool, now: Instant, out: &mut Vec<PoolCommand>) {
    while !out.is_empty() {
        for command in std::mem::take(out) {
            if let PoolCommand::Connect { session, attempt, .. } = command {
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

/// Measures one number of sessions in this process.
///
/// # Errors
///
/// Returns an error if the resident memory of the process cannot be read.
pub fn measure(sessions: usize) -> Result<Cost, CostError> {
    let settings = Settings { sessions, ..Settings::default() };
    let mut pool = SessionPool::new(settings, 1).unwrap_or_else(|error| unreachable!("{error}"));
    let mut now = Instant::from_micros(1_000_000);
    let mut out = Vec::new();
    let addresses = (0..3).map(|number| Address::new(([127, 0, 0, 1], 8000 + number).into())).collect();
    pool.handle(now, PoolEvent::AddressesChanged(addresses), &mut out);
    let memory_before = resident_memory()?;
    let started_at = StdInstant::now();
    let mut ids = Vec::with_capacity(sessions);
    for number in 0..sessions {
        let request = SessionRequest::new(
            "resident-reading",
            format!("meter-{number:010}"),
            Duration::from_millis(3200),
        );
        ids.push(pool.open(now, request, &mut out));
        accept_attempts(&mut pool, now, &mut out);
    }
    let open_time = started_at.elapsed();
    let bytes = (resident_memory()? - memory_before) / sessions as f64;
    let started_at = StdInstant::now();
    for id in &ids {
        let attempt = pool.current_attempt(*id).unwrap_or_default();
        pool.handle(now, PoolEvent::ConnectionEnded(*id, attempt, None), &mut out);
        out.clear();
    }
    while let Some(wake) = pool.next_wake() {
        now = wake;
        pool.handle(now, PoolEvent::TimerFired, &mut out);
        accept_attempts(&mut pool, now, &mut out);
    }
    let per_session = |time: Duration| time.as_secs_f64() * 1e6 / sessions as f64;
    Ok(Cost {
        sessions,
        bytes,
        open_us: per_session(open_time),
        return_us: per_session(started_at.elapsed()),
    })
}

/// Measures one number of sessions in a process of its own, which runs this program with `arguments`.
///
/// # Errors
///
/// Returns an error if the process cannot be started or prints no valid result.
pub async fn measure_in_own_process(arguments: &[String]) -> Result<Cost, CostError> {
    let process_error = |error: &dyn std::fmt::Display| CostError::Process(error.to_string());
    let program = std::env::current_exe().map_err(|error| process_error(&error))?;
    let output = tokio::process::Command::new(program)
        .args(arguments)
        .output()
        .await
        .map_err(|error| process_error(&error))?;
    serde_json::from_slice(&output.stdout).map_err(|error| process_error(&error))
}
