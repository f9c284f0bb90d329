//! What all servers of a fleet have seen of the attempts that reached them, kept together: an attempt at one
//! server overlaps with one at another.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashtide_protocol::Open;
use bytes::Bytes;
use tokio::time::Instant;

/// An attempt that was given up may still be on its way through the balancer for so long.
const SLACK: Duration = Duration::from_millis(50);

/// Attempts by key, and when each arrived.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog(Arc<Mutex<Inside>>);

#[derive(Debug, Default)]
struct Inside {
    attempts: u64,
    /// Attempts that have no answer yet and whose connection is open, by key.
    open: HashMap<Bytes, BTreeMap<u64, Instant>>,
    arrivals: Vec<Arrival>,
    overlaps: u64,
}

/// One attempt that arrived at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When its line was read.
    pub at: Instant,
    /// Which server.
    pub server: Arc<str>,
    /// The request's id.
    pub id: Bytes,
    /// When it was answered or its connection ended; it is out until then.
    pub ended_at: Option<Instant>,
    /// Marked as a retry.
    pub retry: bool,
    /// Marked as coming back after a move or a break.
    pub reconnect: bool,
}

impl Arrival {
    /// The receipt that attempt `number` of the ledger, counted from 1, gets from this server.
    pub fn receipt(server: &str, number: u64) -> String {
        format!("{server}.{number}")
    }
}

/// An attempt that is out; it is no longer so once this is dropped.
#[derive(Debug)]
pub struct OpenAttempt {
    ledger: AttemptLog,
    key: Bytes,
    number: u64,
}

impl AttemptLog {
    fn inside(&self) -> MutexGuard<'_, Inside> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An attempt has arrived at this server.
    pub fn record_arrival(&self, server: &Arc<str>, open: &Open) -> OpenAttempt {
        let at = Instant::now();
        let key = open
            .raw
            .split(|&byte| byte == b' ')
            .nth(2)
            .map(|key| open.raw.slice_ref(key))
            .unwrap_or_default();
        // A copy, so that it does not keep the whole line.
        let key = Bytes::copy_from_slice(&key);
        let said = |mark: &[u8]| open.raw.windows(mark.len()).any(|part| part == mark);
        let mut inside = self.inside();
        inside.attempts += 1;
        let number = inside.attempts;
        inside.arrivals.push(Arrival {
            at,
            server: server.clone(),
            id: Bytes::copy_from_slice(&open.id),
            ended_at: None,
            retry: said(b",r=1"),
            reconnect: said(b",again=1"),
        });
        let others = inside.open.entry(key.clone()).or_default();
        others.insert(number, at);
        if others.len() > 1 {
            tokio::spawn(self.clone().overlaps(key.clone(), number));
        }
        OpenAttempt { ledger: self.clone(), key, number }
    }

    /// Counts an overlap if an older attempt of this key is still out a little later.
    async fn overlaps(self, key: Bytes, number: u64) {
        tokio::time::sleep(SLACK).await;
        let mut inside = self.inside();
        let older = inside.open.get(&key).is_some_and(|all| all.range(..number).next().is_some());
        inside.overlaps += u64::from(older);
    }

    /// Attempts that overlapped with an older one of the same key.
    pub fn overlap_count(&self) -> u64 {
        self.inside().overlaps
    }

    /// All attempts so far, in the order in which they came.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.inside().arrivals.clone()
    }
}

impl OpenAttempt {
    /// Its number among all attempts of the ledger, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        let mut inside = self.ledger.inside();
        if let Some(arrival) = inside.arrivals.get_mut(self.number as usize - 1) {
            arrival.ended_at = Some(Instant::now());
        }
        if let Some(all) = inside.open.get_mut(&self.key) {
            all.remove(&self.number);
            if all.is_empty() {
                inside.open.remove(&self.key);
            }
        }
    }
}
