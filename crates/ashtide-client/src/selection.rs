//! Address book of the gateways: address selection, ejection of failing addresses, and active rejections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::{Instant, Settings};

/// Maximum number of addresses in a pool; further addresses are skipped.
pub const MAX_ADDRESSES: usize = 256;
/// Maximum number of active rejections that are stored, by site and class.
pub const MAX_REJECTIONS: usize = 1024;
/// Number of consecutive `ERR` answers that count as a failure of the address.
const ERRORS_BEFORE_FAILURE: u32 = 3;
/// Interval after which sessions without another address retry the selection while a trial is in progress.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Probability with which a selection makes a trial of a failed address although a healthy one is available.
const TRIAL_PROBABILITY: f64 = 0.1;
/// Duration for which other addresses are preferred after a connection broke. When a gateway fails, all of
/// its connections break.
const SUSPECT_DURATION: Duration = Duration::from_secs(10);
/// Time after which a trial without a result no longer counts as in progress; its session may have ended
/// otherwise.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);

/// Address of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Address on which the gateway listens.
    pub socket_addr: SocketAddr,
    /// Zone of the gateway; empty if it belongs to no zone.
    pub zone: String,
    /// Site that the gateway serves. A rejection by one gateway of a site applies to all gateways of the
    /// site.
    pub site: String,
}

impl Address {
    /// Creates an address with an empty zone and an empty site name, for deployments with a single site.
    pub fn new(socket_addr: SocketAddr) -> Self {
        Self { socket_addr, zone: String::new(), site: String::new() }
    }
}

#[derive(Debug, Clone)]
struct Entry {
    address: Address,
    /// Number of consecutive failures.
    consecutive_failures: u32,
    /// Number of consecutive `ERR` answers.
    consecutive_errors: u32,
    /// End of the ejection, if the address has failed.
    ejected_until: Instant,
    /// Start of the trial that is in progress after a failure, if any.
    trial_started_at: Option<Instant>,
    /// Time until which other addresses are preferred because a connection through this gateway broke.
    suspect_until: Instant,
}

/// Result of an address selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Selection {
    /// Address for the next attempt.
    Selected(SocketAddr),
    /// No address is available, and the first one becomes available at this time, when its site's rejection
    /// ends.
    Rejected(Instant),
    /// No address is available, and the first one becomes available at this time, when its ejection ends or
    /// the result of its trial is checked again.
    Ejected(Instant),
    /// The address list is empty.
    NoAddresses,
}

/// Addresses of all gateways with their health, and the active rejections.
#[derive(Debug)]
pub(crate) struct AddressBook {
    zone: Option<String>,
    min_ejection: Duration,
    max_ejection: Duration,
    entries: BTreeMap<SocketAddr, Entry>,
    /// End of each active rejection, by site and class.
    rejections: BTreeMap<(String, String), Instant>,
}

impl AddressBook {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            zone: settings.zone.clone(),
            min_ejection: settings.aside_from,
            max_ejection: settings.aside_to,
            entries: BTreeMap::new(),
            rejections: BTreeMap::new(),
        }
    }

    /// Replaces the address list. The health of addresses that remain in the list is retained. Returns the
    /// number of addresses that were skipped.
    pub(crate) fn replace(&mut self, addresses: Vec<Address>) -> usize {
        let mut old_entries = std::mem::take(&mut self.entries);
        let mut skipped = 0;
        for address in addresses {
            if self.entries.len() >= MAX_ADDRESSES || self.entries.contains_key(&address.socket_addr) {
                skipped += 1;
                continue;
            }
            let entry = match old_entries.remove(&address.socket_addr) {
                Some(entry) => Entry { address, ..entry },
                None => Entry {
                    address,
                    consecutive_failures: 0,
                    consecutive_errors: 0,
                    ejected_until: Instant::default(),
                    trial_started_at: None,
                    suspect_until: Instant::default(),
                },
            };
            self.entries.insert(entry.address.socket_addr, entry);
        }
        skipped
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn rejected_until(&self, site: &str, class: &str) -> Option<Instant> {
        if self.rejections.is_empty() {
            return None;
        }
        self.rejections.get(&(site.to_owned(), class.to_owned())).copied()
    }

    /// Selects the address for the next attempt of a session of this class; `previous` is avoided if
    /// possible.
    pub(crate) fn select(
        &mut self,
        now: Instant,
        class: &str,
        previous: Option<SocketAddr>,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Selection {
        let mut candidates = Vec::new();
        // Earliest time at which an address becomes available, and whether a rejection causes the delay.
        let mut next_available: Option<(Instant, bool)> = None;
        for entry in self.entries.values() {
            let rejected_until = self.rejected_until(&entry.address.site, class).filter(|&until| until > now);
            let trial_poll_at = entry
                .trial_started_at
                .filter(|&since| since + TRIAL_TIMEOUT > now)
                .map(|_| now + TRIAL_POLL_INTERVAL);
            let ejected_until = (entry.consecutive_failures > 0)
                .then_some(entry.ejected_until)
                .filter(|&until| until > now)
                .or(trial_poll_at);
            match rejected_until.max(ejected_until) {
                None => candidates.push(entry),
                Some(until) if next_available.is_none_or(|(earliest, _)| until < earliest) => {
                    next_available = Some((until, rejected_until.is_some()));
                }
                Some(_) => {}
            }
        }
        if candidates.is_empty() {
            return match next_available {
                Some((until, true)) => Selection::Rejected(until),
                Some((until, false)) => Selection::Ejected(until),
                None => Selection::NoAddresses,
            };
        }
        // Healthy addresses are preferred in any zone. Occasionally one session makes a trial of a failed
        // address, to detect its recovery. A device with a single session risks one of its attempts on the
        // trial.
        let is_healthy = |entry: &&Entry| entry.consecutive_failures == 0 && entry.suspect_until <= now;
        if candidates.iter().any(is_healthy) {
            let trial = rng.random::<f64>() < TRIAL_PROBABILITY
                && candidates.iter().any(|entry| entry.consecutive_failures > 0);
            candidates.retain(|entry| if trial { entry.consecutive_failures > 0 } else { is_healthy(entry) });
        }
        let is_local = |entry: &&Entry| self.zone.as_ref().is_some_and(|zone| *zone == entry.address.zone);
        if candidates.iter().any(is_local) {
            candidates.retain(is_local);
        }
        if candidates.len() > 1 {
            candidates.retain(|entry| Some(entry.address.socket_addr) != previous);
        }
        let Some(chosen) = candidates.choose(rng) else { return Selection::NoAddresses };
        let gateway = chosen.address.socket_addr;
        if let Some(entry) = self.entries.get_mut(&gateway).filter(|entry| entry.consecutive_failures > 0) {
            entry.trial_started_at = Some(now);
        }
        Selection::Selected(gateway)
    }

    /// Records a valid answer of a gateway, which may be a rejection. The address is then healthy.
    pub(crate) fn record_answer(&mut self, gateway: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&gateway) {
            (
                entry.consecutive_failures,
                entry.consecutive_errors,
                entry.trial_started_at,
                entry.suspect_until,
            ) = (0, 0, None, Instant::default());
        }
    }

    /// Records that an established connection broke. The server or the gateway may have failed.
    pub(crate) fn record_connection_loss(&mut self, now: Instant, gateway: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&gateway) {
            entry.suspect_until = now + SUSPECT_DURATION;
        }
    }

    /// Records that a gateway was unreachable, did not answer in time, or violated the protocol.
    pub(crate) fn record_failure(&mut self, now: Instant, gateway: SocketAddr, rng: &mut Xoshiro256PlusPlus) {
        if let Some(entry) = self.entries.get_mut(&gateway) {
            // Attempts that were in progress when the address was ejected count as one failure.
            if entry.consecutive_failures > 0 && entry.trial_started_at.is_none() && entry.ejected_until > now
            {
                return;
            }
            entry.consecutive_failures = entry.consecutive_failures.saturating_add(1);
            let ejection = self
                .min_ejection
                .saturating_mul(1 << (entry.consecutive_failures - 1).min(16))
                .min(self.max_ejection);
            entry.ejected_until = now + ejection.mul_f64(rng.random_range(0.5..1.5));
            entry.consecutive_errors = 0;
            entry.trial_started_at = None;
        }
    }

    /// Records an `ERR` answer. A single one may be caused by the request; several in a row count as a
    /// failure of the address.
    pub(crate) fn record_error(&mut self, now: Instant, gateway: SocketAddr, rng: &mut Xoshiro256PlusPlus) {
        let Some(entry) = self.entries.get_mut(&gateway) else { return };
        entry.consecutive_errors += 1;
        if entry.consecutive_errors >= ERRORS_BEFORE_FAILURE {
            self.record_failure(now, gateway, rng);
        }
    }

    /// Ends a trial that had no result, so that another session may start one.
    pub(crate) fn cancel_trial(&mut self, gateway: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&gateway) {
            entry.trial_started_at = None;
        }
    }

    /// Records that the site of this gateway rejects the class until `until`.
    pub(crate) fn record_rejection(
        &mut self,
        now: Instant,
        gateway: SocketAddr,
        class: &str,
        until: Instant,
    ) {
        let Some(entry) = self.entries.get(&gateway) else { return };
        let site = entry.address.site.clone();
        if self.rejections.len() >= MAX_REJECTIONS {
            self.rejections.retain(|_, until| *until > now);
        }
        if self.rejections.len() >= MAX_REJECTIONS {
            let earliest =
                self.rejections.iter().min_by_key(|(_, until)| **until).map(|(key, _)| key.clone());
            earliest.map(|key| self.rejections.remove(&key));
        }
        let rejected_until = self.rejections.entry((site, class.to_owned())).or_default();
        *rejected_until = (*rejected_until).max(until);
    }

    /// Returns the active rejections: site, class, and remaining duration.
    pub(crate) fn active_rejections(&self, now: Instant) -> impl Iterator<Item = (&str, &str, Duration)> {
        self.rejections
            .iter()
            .filter(move |(_, until)| **until > now)
            .map(move |((site, class), until)| (site.as_str(), class.as_str(), until.duration_since(now)))
    }

    /// Returns the failing addresses: address, number of consecutive failures, and remaining ejection time.
    pub(crate) fn failing_addresses(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, u32, Duration)> {
        self.entries.values().filter(|entry| entry.consecutive_failures > 0).map(move |entry| {
            (entry.address.socket_addr, entry.consecutive_failures, entry.ejected_until.duration_since(now))
        })
    }

    pub(crate) fn restore_rejection(&mut self, site: &str, class: &str, until: Instant) {
        if self.rejections.len() < MAX_REJECTIONS {
            self.rejections.insert((site.to_owned(), class.to_owned()), until);
        }
    }

    pub(crate) fn restore_failure(&mut self, gateway: SocketAddr, consecutive_failures: u32, until: Instant) {
        if let Some(entry) = self.entries.get_mut(&gateway) {
            entry.consecutive_failures = consecutive_failures;
            entry.ejected_until = until;
        }
    }
}
