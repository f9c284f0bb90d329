//! What a cold server may be sent while it warms up, and in whose turn: the fourth rule in one place.
//!
//! A server falls when more than N + 2 x root of N + 2 requests of mean work come within `overload_for`, N being what
//! the settings allow it at its age ([`Ramp::falls_at`]). No gateway sees what the others send. So connections are
//! numbered: turn n comes when as many have come as the age allows, each turn has one holder, who may spend it once,
//! and a turn that is not spent in time is lost. Whoever wakes after a rest has one turn at most, like all others, and
//! all that can be spent within any window stands between the oldest turn that is not lost when it begins and the
//! newest that has come when it ends. No socket, no clock and no state.

use crate::decision::interface::{Settings, Span, Time};

/// Part of what pushes a server over that its owners grant, where gateways answer each other; the rest is for those
/// that nobody answers. Both may happen at once, so the two add up to one; and owners that see the others use what they
/// have, while of turns kept for the unanswered most are lost (`docs/design/fleet.md`).
const GRANTED_SHARE: f64 = 1.0;
/// Multiples of N, and of the 2 x root of N + 1 that the rule adds for chance, of which the turns of a window come within
/// it. The rest may be spent late: much lateness suits gateways that see a client every few seconds, little suits
/// owners, who are asked for all.
const UNGRANTED_PACES: [f64; 2] = [0.8, 0.0];
const GRANTED_PACES: [f64; 2] = [0.72, 0.72];
/// Turns by which the clocks of two processes of one holder may differ.
const CLOCK_SKEW_PERMITS: f64 = 1.0;
/// More than any settings allow; keeps what follows finite where servers are never cold.
const MAX_REQUESTS: f64 = 1e9;

/// What the settings allow a cold server (the fourth rule).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartConfig {
    /// It falls when sent more than this multiple of its capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_window: Span,
    /// It begins with this part of its capacity at least...
    pub initial_capacity_share: f64,
    /// ...and has all of it this long after its start at most.
    pub warm_up_time: Span,
}

impl SlowStartConfig {
    /// What these settings tell.
    pub const fn new(settings: &Settings) -> Self {
        Self {
            overload_factor: settings.overload_factor,
            overload_window: settings.overload_window,
            initial_capacity_share: settings.initial_capacity_share,
            warm_up_time: settings.warm_up_time,
        }
    }

    /// N: requests within `overload_for` that the settings allow a server of this age which `full` connections fill.
    /// We take it that it can take no more than fills it over its warm-up.
    pub fn allowed_requests(&self, age: Span, connections_when_full: f64) -> f64 {
        let warm = self.warm_up_time.as_secs().max(f64::MIN_POSITIVE);
        let part = self.initial_capacity_share
            + (1.0 - self.initial_capacity_share) * (age.as_secs() / warm).clamp(0.0, 1.0);
        (self.overload_factor * part * connections_when_full / warm * self.overload_window.as_secs())
            .clamp(0.0, MAX_REQUESTS)
    }

    /// More than this many within `overload_for` push it over (STANDING, on cold servers).
    pub fn overload_threshold(&self, age: Span, connections_when_full: f64) -> f64 {
        let n = self.allowed_requests(age, connections_when_full);
        n + 2.0 * n.sqrt() + 2.0
    }

    /// The integrals of N and of 2 x root of N + 1 from the start to this age, in windows.
    fn integrals(&self, age: Span, connections_when_full: f64) -> [f64; 2] {
        let ramp = age.min(self.warm_up_time);
        let (ramp_s, flat_s) = (ramp.as_secs(), age.as_secs() - ramp.as_secs());
        let (first, last) = (
            self.allowed_requests(Span::ZERO, connections_when_full),
            self.allowed_requests(ramp, connections_when_full),
        );
        // The mean of the root of what grows steadily.
        let (a, b) = (first.sqrt(), last.sqrt());
        let root = if b > 0.0 { (a * a + a * b + b * b) / (a + b) * 2.0 / 3.0 } else { 0.0 };
        let sums = [
            (first + last) / 2.0 * ramp_s + last * flat_s,
            (2.0 * root + 1.0) * ramp_s + (2.0 * b + 1.0) * flat_s,
        ];
        sums.map(|sum| sum / self.overload_window.as_secs().max(f64::MIN_POSITIVE))
    }

    /// The turns that owners grant, each spent within `lease`.
    pub const fn granted_permits(self, lease: Span) -> PermitSchedule {
        PermitSchedule { config: self, share: GRANTED_SHARE, paces: GRANTED_PACES, lease }
    }
}

/// Whose turns are looked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitHolder {
    /// The turns of this remainder...
    pub index: u32,
    /// ...among so many holders.
    pub holders: u32,
    /// When its process began: turns that came before were an earlier process's.
    pub began: Time,
    /// The last turn it has spent.
    pub last_used_permit: u64,
}

impl PermitHolder {
    /// The gateway of these settings, for its own turns at the server of this key.
    pub const fn for_gateway(
        settings: &Settings,
        hash_key: u32,
        started_at: Time,
        last_used_permit: u64,
    ) -> Self {
        // Spread, so that servers with keys in a row do not have their turns with the same gateways.
        let (of, first) = (settings.gateways, hash_key.wrapping_mul(0x9e37_79b9));
        Self {
            index: (settings.gateway_id.0 + of - first % of) % of,
            holders: of,
            began: started_at,
            last_used_permit,
        }
    }
}

/// The turns of a part of what pushes a server over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitSchedule {
    config: SlowStartConfig,
    share: f64,
    paces: [f64; 2],
    lease: Span,
}

impl PermitSchedule {
    /// The turns of gateways that nobody grants rights: all there are, or what owners leave, if anything.
    pub const fn ungranted_permits(settings: &Settings) -> Self {
        let part = if settings.fleet_permits { 1.0 - GRANTED_SHARE } else { 1.0 };
        Self {
            config: SlowStartConfig::new(settings),
            share: part,
            paces: UNGRANTED_PACES,
            lease: Span::ZERO,
        }
    }

    /// How many turns have come at this age. The first comes at the start.
    pub fn permits_issued(&self, age: Span, connections_when_full: f64) -> f64 {
        let [n, spare] = self.config.integrals(age, connections_when_full);
        1.0 + self.share * (self.paces[0] * n + self.paces[1] * spare)
    }

    /// Turns up to this one are lost at this age, and stay so. In a window that begins at age a, turns are spent that
    /// come before its end and were not lost a lease before it, so that `edge(a)` is the least that has to be lost by
    /// then. It is convex while the server warms up (the pace grows, what the rule adds to it shrinks) and grows
    /// afterwards, so its greatest value so far is its first or its last.
    pub fn permits_expired(&self, age: Span, connections_when_full: f64) -> f64 {
        let edge = |age: Span| {
            self.permits_issued(age + self.config.overload_window, connections_when_full) + 1.0
                - self.share * self.config.overload_threshold(age, connections_when_full)
        };
        edge(Span::ZERO).max(edge(age + self.lease))
    }

    /// The last turn spent by another process of the holder, as that tells; none where it has not come yet: then
    /// it is of the server's last life.
    pub fn accept_reported_permit(
        &self,
        now: Time,
        server_started_at: Option<Time>,
        connections_when_full: f64,
        last_used_permit: u64,
    ) -> u64 {
        let come = server_started_at.map_or(0.0, |born| {
            self.permits_issued(now.since(born), connections_when_full) + CLOCK_SKEW_PERMITS
        });
        if last_used_permit as f64 <= come { last_used_permit } else { 0 }
    }

    /// The oldest of a holder's turns for a server born then that has come and is neither spent nor lost.
    ///
    /// # Errors
    ///
    /// Tells how long until the next comes, by the present pace.
    pub fn next_permit(
        &self,
        now: Time,
        server_started_at: Time,
        connections_when_full: f64,
        holder: PermitHolder,
    ) -> Result<u64, Span> {
        let age = now.since(server_started_at);
        // The first comes with the server, also where this process is older.
        let earlier = if holder.began > server_started_at {
            self.permits_issued(holder.began.since(server_started_at), connections_when_full)
        } else {
            0.0
        };
        let before = earlier.max(self.permits_expired(age, connections_when_full));
        let (first, of) =
            (holder.last_used_permit.max(before.max(0.0) as u64) + 1, u64::from(holder.holders.max(1)));
        let turn = first + (u64::from(holder.index) % of + of - first % of) % of;
        let missing = turn as f64 - self.permits_issued(age, connections_when_full);
        if missing <= 0.0 {
            return Ok(turn);
        }
        let window = self.config.overload_window;
        let n = self.config.allowed_requests(age, connections_when_full);
        let pace = self.share * (self.paces[0] * n + self.paces[1] * (2.0 * n.sqrt() + 1.0));
        Err(window.scale(missing / pace.max(f64::MIN_POSITIVE)).max(Span::from_micros(1)))
    }
}
