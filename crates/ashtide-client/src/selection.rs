//! The addresses of the balancers: which to try, which to leave and for how long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::{Instant, Settings};

/// Most addresses of a pool; further ones are passed over.
pub const MAX_ADDRESSES: usize = 256;
/// Most refusals that are remembered, by site and class.
pub const MAX_REJECTIONS: usize = 1024;
/// Errors in a row after which an address counts as failing.
const ERRORS_BEFORE_FAILURE: u32 = 3;
/// While another session tries an address that had failed, those that have no other look again after this.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the placings that try an address which had failed, where another is well.
const TRIAL_PROBABILITY: f64 = 0.1;
/// After a break, other addresses go first for so long: a balancer that dies breaks all it has.
const SUSPECT_DURATION: Duration = Duration::from_secs(10);
/// A trial that has not ended by then is over: its session may have gone another way.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);

/// One balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Where it listens.
    pub socket_addr: SocketAddr,
    /// Its zone; an empty one is nobody's own.
    pub zone: String,
    /// The site that it serves: who is refused by one of a site's balancers is not to try another.
    pub site: String,
}

impl Address {
    /// An address of the only site and zone there is.
    pub fn new(at: SocketAddr) -> Self {
        Self { socket_addr: at, zone: String::new(), site: String::new() }
    }
}

#[derive(Debug, Clone)]
struct Entry {
    address: Address,
    /// Failures in a row.
    consecutive_failures: u32,
    /// Answers of `ERR` in a row.
    consecutive_errors: u32,
    /// Not before then.
    ejected_until: Instant,
    /// A session tries it since then, after it had failed.
    trial_started_at: Option<Instant>,
    /// A connection by it broke: until then others go first.
    suspect_until: Instant,
}

/// What the book says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Selection {
    /// Try this one.
    Selected(SocketAddr),
    /// All refuse: not before then.
    Rejected(Instant),
    /// All are set aside: not before then.
    Ejected(Instant),
    /// There are none.
    NoAddresses,
}

/// All addresses, and what is known of them.
#[derive(Debug)]
pub(crate) struct AddressBook {
    zone: Option<String>,
    aside: (Duration, Duration),
    entries: BTreeMap<SocketAddr, Entry>,
    /// Until when a site refuses a class.
    rejections: BTreeMap<(String, String), Instant>,
}

impl AddressBook {
    pub(crate) fn new(settings: &Settings) -> Self {
        let aside = (settings.aside_from, settings.aside_to);
        Self { zone: settings.zone.clone(), aside, entries: BTreeMap::new(), rejections: BTreeMap::new() }
    }

    /// Takes a new list. What is known of an address that stays on it is kept; how many were passed over.
    pub(crate) fn replace(&mut self, list: Vec<Address>) -> usize {
        let mut old = std::mem::take(&mut self.entries);
        let mut over = 0;
        for address in list {
            if self.entries.len() >= MAX_ADDRESSES || self.entries.contains_key(&address.socket_addr) {
                over += 1;
                continue;
            }
            let entry = match old.remove(&address.socket_addr) {
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
        over
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

    /// Which address a session of this class is to try now; another than `avoid` if that can be.
    pub(crate) fn select(
        &mut self,
        now: Instant,
        class: &str,
        previous: Option<SocketAddr>,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Selection {
        let mut fit = Vec::new();
        let mut later: Option<(Instant, bool)> = None;
        for entry in self.entries.values() {
            let held = self.rejected_until(&entry.address.site, class).filter(|&until| until > now);
            let trying = entry
                .trial_started_at
                .filter(|&since| since + TRIAL_TIMEOUT > now)
                .map(|_| now + TRIAL_POLL_INTERVAL);
            let aside = (entry.consecutive_failures > 0)
                .then_some(entry.ejected_until)
                .filter(|&until| until > now)
                .or(trying);
            match held.max(aside) {
                None => fit.push(entry),
                Some(until) if later.is_none_or(|(first, _)| until < first) => {
                    later = Some((until, held.is_some()));
                }
                Some(_) => {}
            }
        }
        if fit.is_empty() {
            return match later {
                Some((until, true)) => Selection::Rejected(until),
                Some((until, false)) => Selection::Ejected(until),
                None => Selection::NoAddresses,
            };
        }
        // Those that are well go first, wherever they are; now and then one session finds out whether an
        // address that had failed is well again. For a device with one session that is a try at stake.
        let well = |entry: &&Entry| entry.consecutive_failures == 0 && entry.suspect_until <= now;
        if fit.iter().any(well) {
            let trial = rng.random::<f64>() < TRIAL_PROBABILITY
                && fit.iter().any(|entry| entry.consecutive_failures > 0);
            fit.retain(|entry| if trial { entry.consecutive_failures > 0 } else { well(entry) });
        }
        let near = |entry: &&Entry| self.zone.as_ref().is_some_and(|zone| *zone == entry.address.zone);
        if fit.iter().any(near) {
            fit.retain(near);
        }
        if fit.len() > 1 {
            fit.retain(|entry| Some(entry.address.socket_addr) != previous);
        }
        let Some(chosen) = fit.choose(rng) else { return Selection::NoAddresses };
        let at = chosen.address.socket_addr;
        if let Some(entry) = self.entries.get_mut(&at).filter(|entry| entry.consecutive_failures > 0) {
            entry.trial_started_at = Some(now);
        }
        Selection::Selected(at)
    }

    /// It answered as it should, be it with a refusal.
    pub(crate) fn record_answer(&mut self, at: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&at) {
            (
                entry.consecutive_failures,
                entry.consecutive_errors,
                entry.trial_started_at,
                entry.suspect_until,
            ) = (0, 0, None, Instant::default());
        }
    }

    /// A connection by it broke. That may be the server's end, or its own.
    pub(crate) fn record_connection_loss(&mut self, now: Instant, at: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&at) {
            entry.suspect_until = now + SUSPECT_DURATION;
        }
    }

    /// It could not be reached, said nothing, or broke the protocol.
    pub(crate) fn record_failure(&mut self, now: Instant, at: SocketAddr, rng: &mut Xoshiro256PlusPlus) {
        let (from, to) = self.aside;
        if let Some(entry) = self.entries.get_mut(&at) {
            // Those that were on their way when it failed are one failure together.
            if entry.consecutive_failures > 0 && entry.trial_started_at.is_none() && entry.ejected_until > now
            {
                return;
            }
            entry.consecutive_failures = entry.consecutive_failures.saturating_add(1);
            let time = from.saturating_mul(1 << (entry.consecutive_failures - 1).min(16)).min(to);
            entry.ejected_until = now + time.mul_f64(rng.random_range(0.5..1.5));
            entry.consecutive_errors = 0;
            entry.trial_started_at = None;
        }
    }

    /// It answered `ERR`: that may be the request's fault, but not time after time.
    pub(crate) fn record_error(&mut self, now: Instant, at: SocketAddr, rng: &mut Xoshiro256PlusPlus) {
        let Some(entry) = self.entries.get_mut(&at) else { return };
        entry.consecutive_errors += 1;
        if entry.consecutive_errors >= ERRORS_BEFORE_FAILURE {
            self.record_failure(now, at, rng);
        }
    }

    /// A trial that came to nothing either way: the next one may try.
    pub(crate) fn cancel_trial(&mut self, at: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&at) {
            entry.trial_started_at = None;
        }
    }

    /// The site of this address refuses the class until then.
    pub(crate) fn record_rejection(&mut self, now: Instant, at: SocketAddr, class: &str, until: Instant) {
        let Some(entry) = self.entries.get(&at) else { return };
        let site = entry.address.site.clone();
        if self.rejections.len() >= MAX_REJECTIONS {
            self.rejections.retain(|_, until| *until > now);
        }
        if self.rejections.len() >= MAX_REJECTIONS {
            let first = self.rejections.iter().min_by_key(|(_, until)| **until).map(|(of, _)| of.clone());
            first.map(|first| self.rejections.remove(&first));
        }
        let hold = self.rejections.entry((site, class.to_owned())).or_default();
        *hold = (*hold).max(until);
    }

    /// Refusals that still hold: site, class, and for how long.
    pub(crate) fn active_rejections(&self, now: Instant) -> impl Iterator<Item = (&str, &str, Duration)> {
        self.rejections
            .iter()
            .filter(move |(_, until)| **until > now)
            .map(move |((site, class), until)| (site.as_str(), class.as_str(), until.duration_since(now)))
    }

    /// Addresses that have failed: which, how often in a row, and for how long they are left.
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

    pub(crate) fn restore_failure(&mut self, at: SocketAddr, streak: u32, until: Instant) {
        if let Some(entry) = self.entries.get_mut(&at) {
            entry.consecutive_failures = streak;
            entry.ejected_until = until;
        }
    }
}
