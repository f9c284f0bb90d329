//! The addresses of the balancers: which to try, which to leave and for how long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::{Moment, Settings};

/// Most addresses of a pool; further ones are passed over.
pub const MAX_ADDRESSES: usize = 256;
/// Most refusals that are remembered, by site and class.
pub const MAX_HOLDS: usize = 1024;
/// Errors in a row after which an address counts as failing.
const ERRORS: u32 = 3;
/// While another session tries an address that had failed, those that have no other look again after this.
const TRIAL_LOOK: Duration = Duration::from_millis(250);
/// Part of the placings that try an address which had failed, where another is well.
const TRIAL_PART: f64 = 0.1;
/// After a break, other addresses go first for so long: a balancer that dies breaks all it has.
const SUSPECT: Duration = Duration::from_secs(10);
/// A trial that has not ended by then is over: its session may have gone another way.
const TRIAL_MOST: Duration = Duration::from_secs(60);

/// One balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Where it listens.
    pub at: SocketAddr,
    /// Its zone; an empty one is nobody's own.
    pub zone: String,
    /// The site that it serves: who is refused by one of a site's balancers is not to try another.
    pub site: String,
}

impl Address {
    /// An address of the only site and zone there is.
    pub fn new(at: SocketAddr) -> Self {
        Self { at, zone: String::new(), site: String::new() }
    }
}

#[derive(Debug, Clone)]
struct Entry {
    address: Address,
    /// Failures in a row.
    streak: u32,
    /// Answers of `ERR` in a row.
    errors: u32,
    /// Not before then.
    aside: Moment,
    /// A session tries it since then, after it had failed.
    trial: Option<Moment>,
    /// A connection by it broke: until then others go first.
    suspect: Moment,
}

/// What the book says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// Try this one.
    At(SocketAddr),
    /// All refuse: not before then.
    Held(Moment),
    /// All are set aside: not before then.
    Aside(Moment),
    /// There are none.
    Nothing,
}

/// All addresses, and what is known of them.
#[derive(Debug)]
pub(crate) struct Book {
    zone: Option<String>,
    aside: (Duration, Duration),
    entries: BTreeMap<SocketAddr, Entry>,
    /// Until when a site refuses a class.
    holds: BTreeMap<(String, String), Moment>,
}

impl Book {
    pub(crate) fn new(settings: &Settings) -> Self {
        let aside = (settings.aside_from, settings.aside_to);
        Self { zone: settings.zone.clone(), aside, entries: BTreeMap::new(), holds: BTreeMap::new() }
    }

    /// Takes a new list. What is known of an address that stays on it is kept; how many were passed over.
    pub(crate) fn replace(&mut self, list: Vec<Address>) -> usize {
        let mut old = std::mem::take(&mut self.entries);
        let mut over = 0;
        for address in list {
            if self.entries.len() >= MAX_ADDRESSES || self.entries.contains_key(&address.at) {
                over += 1;
                continue;
            }
            let entry = match old.remove(&address.at) {
                Some(entry) => Entry { address, ..entry },
                None => Entry {
                    address,
                    streak: 0,
                    errors: 0,
                    aside: Moment::default(),
                    trial: None,
                    suspect: Moment::default(),
                },
            };
            self.entries.insert(entry.address.at, entry);
        }
        over
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn hold(&self, site: &str, class: &str) -> Option<Moment> {
        if self.holds.is_empty() {
            return None;
        }
        self.holds.get(&(site.to_owned(), class.to_owned())).copied()
    }

    /// Which address a session of this class is to try now; another than `avoid` if that can be.
    pub(crate) fn choose(
        &mut self,
        now: Moment,
        class: &str,
        avoid: Option<SocketAddr>,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Choice {
        let mut fit = Vec::new();
        let mut later: Option<(Moment, bool)> = None;
        for entry in self.entries.values() {
            let held = self.hold(&entry.address.site, class).filter(|&until| until > now);
            let trying = entry.trial.filter(|&since| since + TRIAL_MOST > now).map(|_| now + TRIAL_LOOK);
            let aside = (entry.streak > 0).then_some(entry.aside).filter(|&until| until > now).or(trying);
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
                Some((until, true)) => Choice::Held(until),
                Some((until, false)) => Choice::Aside(until),
                None => Choice::Nothing,
            };
        }
        // Those that are well go first, wherever they are; now and then one session finds out whether an
        // address that had failed is well again. For a device with one session that is a try at stake.
        let well = |entry: &&Entry| entry.streak == 0 && entry.suspect <= now;
        if fit.iter().any(well) {
            let trial = rng.random::<f64>() < TRIAL_PART && fit.iter().any(|entry| entry.streak > 0);
            fit.retain(|entry| if trial { entry.streak > 0 } else { well(entry) });
        }
        let near = |entry: &&Entry| self.zone.as_ref().is_some_and(|zone| *zone == entry.address.zone);
        if fit.iter().any(near) {
            fit.retain(near);
        }
        if fit.len() > 1 {
            fit.retain(|entry| Some(entry.address.at) != avoid);
        }
        let Some(chosen) = fit.choose(rng) else { return Choice::Nothing };
        let at = chosen.address.at;
        if let Some(entry) = self.entries.get_mut(&at).filter(|entry| entry.streak > 0) {
            entry.trial = Some(now);
        }
        Choice::At(at)
    }

    /// It answered as it should, be it with a refusal.
    pub(crate) fn answered(&mut self, at: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&at) {
            (entry.streak, entry.errors, entry.trial, entry.suspect) = (0, 0, None, Moment::default());
        }
    }

    /// A connection by it broke. That may be the server's end, or its own.
    pub(crate) fn broke(&mut self, now: Moment, at: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&at) {
            entry.suspect = now + SUSPECT;
        }
    }

    /// It could not be reached, said nothing, or broke the protocol.
    pub(crate) fn failed(&mut self, now: Moment, at: SocketAddr, rng: &mut Xoshiro256PlusPlus) {
        let (from, to) = self.aside;
        if let Some(entry) = self.entries.get_mut(&at) {
            // Those that were on their way when it failed are one failure together.
            if entry.streak > 0 && entry.trial.is_none() && entry.aside > now {
                return;
            }
            entry.streak = entry.streak.saturating_add(1);
            let time = from.saturating_mul(1 << (entry.streak - 1).min(16)).min(to);
            entry.aside = now + time.mul_f64(rng.random_range(0.5..1.5));
            (entry.errors, entry.trial) = (0, None);
        }
    }

    /// It answered `ERR`: that may be the request's fault, but not time after time.
    pub(crate) fn erred(&mut self, now: Moment, at: SocketAddr, rng: &mut Xoshiro256PlusPlus) {
        let Some(entry) = self.entries.get_mut(&at) else { return };
        entry.errors += 1;
        if entry.errors >= ERRORS {
            self.failed(now, at, rng);
        }
    }

    /// A trial that came to nothing either way: the next one may try.
    pub(crate) fn untried(&mut self, at: SocketAddr) {
        if let Some(entry) = self.entries.get_mut(&at) {
            entry.trial = None;
        }
    }

    /// The site of this address refuses the class until then.
    pub(crate) fn refused(&mut self, now: Moment, at: SocketAddr, class: &str, until: Moment) {
        let Some(entry) = self.entries.get(&at) else { return };
        let site = entry.address.site.clone();
        if self.holds.len() >= MAX_HOLDS {
            self.holds.retain(|_, until| *until > now);
        }
        if self.holds.len() >= MAX_HOLDS {
            let first = self.holds.iter().min_by_key(|(_, until)| **until).map(|(of, _)| of.clone());
            first.map(|first| self.holds.remove(&first));
        }
        let hold = self.holds.entry((site, class.to_owned())).or_default();
        *hold = (*hold).max(until);
    }

    /// Refusals that still hold: site, class, and for how long.
    pub(crate) fn held(&self, now: Moment) -> impl Iterator<Item = (&str, &str, Duration)> {
        self.holds
            .iter()
            .filter(move |(_, until)| **until > now)
            .map(move |((site, class), until)| (site.as_str(), class.as_str(), until.since(now)))
    }

    /// Addresses that have failed: which, how often in a row, and for how long they are left.
    pub(crate) fn failing(&self, now: Moment) -> impl Iterator<Item = (SocketAddr, u32, Duration)> {
        self.entries
            .values()
            .filter(|entry| entry.streak > 0)
            .map(move |entry| (entry.address.at, entry.streak, entry.aside.since(now)))
    }

    pub(crate) fn recall_hold(&mut self, site: &str, class: &str, until: Moment) {
        if self.holds.len() < MAX_HOLDS {
            self.holds.insert((site.to_owned(), class.to_owned()), until);
        }
    }

    pub(crate) fn recall_failing(&mut self, at: SocketAddr, streak: u32, until: Moment) {
        if let Some(entry) = self.entries.get_mut(&at) {
            (entry.streak, entry.aside) = (streak, until);
        }
    }
}
