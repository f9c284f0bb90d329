//! Log of the attempts that reached the mock servers of a test, shared by all servers: an attempt at one
//! server can overlap with an attempt at another.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_protocol::Open;
use bytes::Bytes;
use tokio::time::Instant;

/// Time after an arrival before an older open attempt of the same key counts as an overlap. The gateway's
/// cancellation of the older attempt may still be on its way until then.
const CANCELLATION_DELAY: Duration = Duration::from_millis(50);

/// Log of attempts by key, with the time of each arrival. Clones share the same log.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog(Arc<Mutex<LogState>>);

#[derive(Debug, Default)]
struct LogState {
    /// Number of attempts so far.
    attempts: u64,
    /// Arrival times, by key and attempt number, of attempts without an answer whose connection is open.
    open: HashMap<Bytes, BTreeMap<u64, Instant>>,
    arrivals: Vec<Arrival>,
    /// Number of attempts that overlapped with an older attempt of the same key.
    overlaps: u64,
}

/// Attempt that arrived at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time at which the server read the request line.
    pub at: Instant,
    /// Name of the server.
    pub server: Arc<str>,
    /// Id of the request.
    pub id: Bytes,
    /// Time at which the attempt was answered or its connection ended, or `None` if it is still open.
    pub ended_at: Option<Instant>,
    /// Whether the request is marked as a retry.
    pub retry: bool,
    /// Whether the request is marked as a reconnect after a migration or a connection loss.
    pub reconnect: bool,
}

impl Arrival {
    /// Returns the receipt that `server` sends for the attempt with this number, counted from 1.
    pub fn receipt(server: &str, number: u64) -> String {
        format!("{server}.{number}")
    }
}

/// Guard of an open attempt. The attempt counts as ended once the guard is dropped.
#[derive(Debug)]
pub struct OpenAttempt {
    log: AttemptLog,
    key: Bytes,
    number: u64,
}

impl AttemptLog {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the arrival of an attempt at `server`.
    pub fn record_arrival(&self, server: &Arc<str>, open: &Open) -> OpenAttempt {
        let at = Instant::now();
        let key = open
            .raw
            .split(|&byte| byte == b' ')
            .nth(2)
            .map(|key| open.raw.slice_ref(key))
            .unwrap_or_default();
        // A copy, so that the key does not retain the buffer of the complete line.
        let key = Bytes::copy_from_slice(&key);
        let is_marked = |mark: &[u8]| open.raw.windows(mark.len()).any(|part| part == mark);
        let mut state = self.lock();
        state.attempts += 1;
        let number = state.attempts;
        state.arrivals.push(Arrival {
            at,
            server: server.clone(),
            id: Bytes::copy_from_slice(&open.id),
            ended_at: None,
            retry: is_marked(b",r=1"),
            reconnect: is_marked(b",again=1"),
        });
        let open_attempts = state.open.entry(key.clone()).or_default();
        open_attempts.insert(number, at);
        if open_attempts.len() > 1 {
            tokio::spawn(self.clone().count_overlap(key.clone(), number));
        }
        OpenAttempt { log: self.clone(), key, number }
    }

    /// Counts an overlap if an older attempt of this key is still open after [`CANCELLATION_DELAY`].
    async fn count_overlap(self, key: Bytes, number: u64) {
        tokio::time::sleep(CANCELLATION_DELAY).await;
        let mut state = self.lock();
        let older = state.open.get(&key).is_some_and(|all| all.range(..number).next().is_some());
        state.overlaps += u64::from(older);
    }

    /// Returns the number of attempts that overlapped with an older attempt of the same key.
    pub fn overlap_count(&self) -> u64 {
        self.lock().overlaps
    }

    /// Returns all attempts so far, in the order of their arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }
}

impl OpenAttempt {
    /// Returns the number of this attempt in the log, counted from 1.
    pub fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        let mut state = self.log.lock();
        if let Some(arrival) = state.arrivals.get_mut(self.number as usize - 1) {
            arrival.ended_at = Some(Instant::now());
        }
        if let Some(attempts) = state.open.get_mut(&self.key) {
            attempts.remove(&self.number);
            if attempts.is_empty() {
                state.open.remove(&self.key);
            }
        }
    }
}
