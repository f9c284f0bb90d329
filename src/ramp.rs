//! What a cold server may be sent while it warms up, and in whose turn: the fourth rule in one place.
//!
//! A server falls when more than N + 2 x root of N + 2 requests of mean work come within `overload_for`, N being what
//! the settings allow it at its age ([`Ramp::falls_at`]). No gateway sees what the others send. So connections are
//! numbered: turn n comes when as many have come as the age allows, each turn has one holder, who may spend it once,
//! and a turn that is not spent in time is lost. Whoever wakes after a rest has one turn at most, like all others, and
//! all that can be spent within any window stands between the oldest turn that is not lost when it begins and the
//! newest that has come when it ends. No socket, no clock and no state.

use crate::interface::{Settings, Span, Time};

/// Part of what pushes a server over that its owners grant, where gateways answer each other; the rest is for those
/// that nobody answers. Both may happen at once, so the two add up to one; and owners that see the others use what they
/// have, while of turns kept for the unanswered most are lost (`docs/design/fleet.md`).
const GRANTED_PART: f64 = 1.0;
/// Multiples of N, and of the 2 x root of N + 1 that the rule adds for chance, of which the turns of a window come within
/// it. The rest may be spent late: much lateness suits gateways that see a client every few seconds, little suits
/// owners, who are asked for all.
const OWN_PACES: [f64; 2] = [0.8, 0.0];
const GRANTED_PACES: [f64; 2] = [0.72, 0.72];
/// Turns by which the clocks of two processes of one holder may differ.
const CLOCK_SLACK: f64 = 1.0;
/// More than any settings allow; keeps what follows finite where servers are never cold.
const MOST: f64 = 1e9;

/// What the settings allow a cold server (the fourth rule).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    /// It falls when sent more than this multiple of its capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub overload_for: Span,
    /// It begins with this part of its capacity at least...
    pub cold_from: f64,
    /// ...and has all of it this long after its start at most.
    pub warm_within: Span,
}

impl Ramp {
    /// What these settings tell.
    pub const fn new(settings: &Settings) -> Self {
        Self {
            fall_multiple: settings.fall_multiple,
            overload_for: settings.overload_for,
            cold_from: settings.cold_from,
            warm_within: settings.warm_within,
        }
    }

    /// N: requests within `overload_for` that the settings allow a server of this age which `full` connections fill.
    /// We take it that it can take no more than fills it over its warm-up.
    pub fn allowed(&self, age: Span, full: f64) -> f64 {
        let warm = self.warm_within.as_secs().max(f64::MIN_POSITIVE);
        let part = self.cold_from + (1.0 - self.cold_from) * (age.as_secs() / warm).clamp(0.0, 1.0);
        (self.fall_multiple * part * full / warm * self.overload_for.as_secs()).clamp(0.0, MOST)
    }

    /// More than this many within `overload_for` push it over (STANDING, on cold servers).
    pub fn falls_at(&self, age: Span, full: f64) -> f64 {
        let n = self.allowed(age, full);
        n + 2.0 * n.sqrt() + 2.0
    }

    /// The integrals of N and of 2 x root of N + 1 from the start to this age, in windows.
    fn sums(&self, age: Span, full: f64) -> [f64; 2] {
        let ramp = age.min(self.warm_within);
        let (ramp_s, flat_s) = (ramp.as_secs(), age.as_secs() - ramp.as_secs());
        let (first, last) = (self.allowed(Span::ZERO, full), self.allowed(ramp, full));
        // The mean of the root of what grows steadily.
        let (a, b) = (first.sqrt(), last.sqrt());
        let root = if b > 0.0 { (a * a + a * b + b * b) / (a + b) * 2.0 / 3.0 } else { 0.0 };
        let sums = [
            (first + last) / 2.0 * ramp_s + last * flat_s,
            (2.0 * root + 1.0) * ramp_s + (2.0 * b + 1.0) * flat_s,
        ];
        sums.map(|sum| sum / self.overload_for.as_secs().max(f64::MIN_POSITIVE))
    }

    /// The turns that owners grant, each spent within `lease`.
    pub const fn granted(self, lease: Span) -> Schedule {
        Schedule { ramp: self, part: GRANTED_PART, paces: GRANTED_PACES, lease }
    }
}

/// Whose turns are looked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holder {
    /// The turns of this remainder...
    pub number: u32,
    /// ...among so many holders.
    pub of: u32,
    /// When its process began: turns that came before were an earlier process's.
    pub began: Time,
    /// The last turn it has spent.
    pub spent: u64,
}

impl Holder {
    /// The gateway of these settings, for its own turns at the server of this key.
    pub const fn gateway(settings: &Settings, key: u32, began: Time, spent: u64) -> Self {
        // Spread, so that servers with keys in a row do not have their turns with the same gateways.
        let (of, first) = (settings.relays, key.wrapping_mul(0x9e37_79b9));
        Self { number: (settings.own.0 + of - first % of) % of, of, began, spent }
    }
}

/// The turns of a part of what pushes a server over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    ramp: Ramp,
    part: f64,
    paces: [f64; 2],
    lease: Span,
}

impl Schedule {
    /// The turns of gateways that nobody grants rights: all there are, or what owners leave, if anything.
    pub const fn own(settings: &Settings) -> Self {
        let part = if settings.peers { 1.0 - GRANTED_PART } else { 1.0 };
        Self { ramp: Ramp::new(settings), part, paces: OWN_PACES, lease: Span::ZERO }
    }

    /// How many turns have come at this age. The first comes at the start.
    pub fn come(&self, age: Span, full: f64) -> f64 {
        let [n, spare] = self.ramp.sums(age, full);
        1.0 + self.part * (self.paces[0] * n + self.paces[1] * spare)
    }

    /// Turns up to this one are lost at this age, and stay so. In a window that begins at age a, turns are spent that
    /// come before its end and were not lost a lease before it, so that `edge(a)` is the least that has to be lost by
    /// then. It is convex while the server warms up (the pace grows, what the rule adds to it shrinks) and grows
    /// afterwards, so its greatest value so far is its first or its last.
    pub fn lost(&self, age: Span, full: f64) -> f64 {
        let edge = |age: Span| {
            self.come(age + self.ramp.overload_for, full) + 1.0 - self.part * self.ramp.falls_at(age, full)
        };
        edge(Span::ZERO).max(edge(age + self.lease))
    }

    /// The last turn spent by another process of the holder, as that tells; none where it has not come yet: then
    /// it is of the server's last life.
    pub fn told(&self, now: Time, born: Option<Time>, full: f64, spent: u64) -> u64 {
        let come = born.map_or(0.0, |born| self.come(now.since(born), full) + CLOCK_SLACK);
        if spent as f64 <= come { spent } else { 0 }
    }

    /// The oldest of a holder's turns for a server born then that has come and is neither spent nor lost.
    ///
    /// # Errors
    ///
    /// Tells how long until the next comes, by the present pace.
    pub fn turn(&self, now: Time, born: Time, full: f64, holder: Holder) -> Result<u64, Span> {
        let age = now.since(born);
        // The first comes with the server, also where this process is older.
        let earlier = if holder.began > born { self.come(holder.began.since(born), full) } else { 0.0 };
        let before = earlier.max(self.lost(age, full));
        let (first, of) = (holder.spent.max(before.max(0.0) as u64) + 1, u64::from(holder.of.max(1)));
        let turn = first + (u64::from(holder.number) % of + of - first % of) % of;
        let missing = turn as f64 - self.come(age, full);
        if missing <= 0.0 {
            return Ok(turn);
        }
        let window = self.ramp.overload_for;
        let n = self.ramp.allowed(age, full);
        let pace = self.part * (self.paces[0] * n + self.paces[1] * (2.0 * n.sqrt() + 1.0));
        Err(window.scale(missing / pace.max(f64::MIN_POSITIVE)).max(Span::from_micros(1)))
    }
}
