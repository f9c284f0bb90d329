//! Slow start: how many connections a server may be sent while it warms up, and who may send them.
//!
//! A server is overloaded when more than N + 2 x root of N + 2 requests of mean work come within the overload window, N
//! being what the settings allow it at its age ([`SlowStartConfig::overload_threshold`]). No gateway sees what the others
//! send. So permits for one connection are numbered: permit n is issued when as many are due at the server's age, each has
//! one holder, who may use it once, and one that is not used in time expires. Whoever has sent nothing for a while has one
//! permit at most, like all others, and all that can be used within any window stand between the oldest that has not
//! expired when it begins and the newest that has been issued when it ends. No socket, no clock and no state.

use super::interface::{Settings, Span, Time};

/// The share of the overload threshold that goes to permits granted for the whole fleet, where gateways answer each other;
/// the rest goes to those of gateways that nobody answers. Both may be used at once, so the two add up to one. Of permits
/// kept for the unanswered most would expire (`docs/design/fleet.md`).
const GRANTED_SHARE: f64 = 1.0;

/// How many of a window's permits are issued within it. The others may be used late.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Paces {
    /// Multiple of N.
    requests: f64,
    /// Multiple of the 2 x root of N + 1 that the threshold adds for chance.
    variance_allowance: f64,
}

/// Slow, as gateways that see a client every few seconds use their permits late.
const OWN_PERMIT_PACES: Paces = Paces { requests: 0.8, variance_allowance: 0.0 };
/// Fast, as those who grant permits are asked for all of them.
const GRANTED_PERMIT_PACES: Paces = Paces { requests: 0.72, variance_allowance: 0.72 };
/// Permits by which the clocks of two processes of one holder may differ.
const CLOCK_SKEW_PERMITS: f64 = 1.0;
/// More than any settings allow; keeps what follows finite where servers need no warm-up.
const MAX_REQUESTS: f64 = 1e9;

/// What the settings allow a server that is warming up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartConfig {
    /// It is overloaded when sent more than this multiple of its capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_window: Span,
    /// It starts with this share of its capacity at least...
    pub initial_capacity_share: f64,
    /// ...and has all of it this long after its start at most.
    pub warm_up_time: Span,
}

/// The additions to the threshold that have come up to some age, in requests.
struct Allowance {
    /// The sum of N.
    requests: f64,
    /// The sum of 2 x root of N + 1.
    variance_allowance: f64,
}

impl SlowStartConfig {
    /// Takes what these settings tell.
    pub const fn new(settings: &Settings) -> Self {
        Self {
            overload_factor: settings.overload_factor,
            overload_window: settings.overload_window,
            initial_capacity_share: settings.initial_capacity_share,
            warm_up_time: settings.warm_up_time,
        }
    }

    /// N: requests within the overload window that the settings allow a server of this age which so many connections fill.
    /// It is taken to accept no more than fills it over its warm-up.
    pub fn allowed_requests(&self, age: Span, connections_when_full: f64) -> f64 {
        let warm_up = self.warm_up_time.as_secs().max(f64::MIN_POSITIVE);
        let progress = (age.as_secs() / warm_up).clamp(0.0, 1.0);
        let share = self.initial_capacity_share + (1.0 - self.initial_capacity_share) * progress;
        let window = self.overload_window.as_secs();
        (self.overload_factor * share * connections_when_full / warm_up * window).clamp(0.0, MAX_REQUESTS)
    }

    /// More requests than this within the overload window overload the server.
    pub fn overload_threshold(&self, age: Span, connections_when_full: f64) -> f64 {
        let allowed = self.allowed_requests(age, connections_when_full);
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// The integrals of N and of 2 x root of N + 1 from the start to this age, in windows.
    fn integrals(&self, age: Span, connections_when_full: f64) -> Allowance {
        let warming = age.min(self.warm_up_time);
        let ramp_secs = warming.as_secs();
        let flat_secs = age.as_secs() - ramp_secs;
        let first = self.allowed_requests(Span::ZERO, connections_when_full);
        let last = self.allowed_requests(warming, connections_when_full);
        let requests = (first + last) / 2.0 * ramp_secs + last * flat_secs;
        let last_root = last.sqrt();
        let mean_root = mean_root_of_linear(first.sqrt(), last_root);
        let variance_allowance = (2.0 * mean_root + 1.0) * ramp_secs + (2.0 * last_root + 1.0) * flat_secs;
        let window = self.overload_window.as_secs().max(f64::MIN_POSITIVE);
        Allowance { requests: requests / window, variance_allowance: variance_allowance / window }
    }

    /// The permits that are granted for the whole fleet, each used within `lease`.
    pub const fn granted_permits(self, lease: Span) -> PermitSchedule {
        PermitSchedule { config: self, share: GRANTED_SHARE, paces: GRANTED_PERMIT_PACES, lease }
    }
}

/// The mean root of what grows linearly, from its first and last root.
fn mean_root_of_linear(first_root: f64, last_root: f64) -> f64 {
    if last_root > 0.0 {
        let squares = first_root * first_root + first_root * last_root + last_root * last_root;
        squares / (first_root + last_root) * 2.0 / 3.0
    } else {
        0.0
    }
}

/// Whose permits are looked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitHolder {
    /// Its permits are those with this remainder...
    pub index: u32,
    /// ...when divided by the number of holders.
    pub holders: u32,
    /// When its process started: permits issued before were an earlier process's.
    pub started_at: Time,
    /// The last permit it has used.
    pub last_used_permit: u64,
}

impl PermitHolder {
    /// The gateway of these settings, for its own permits at the server of this hash key.
    pub const fn for_gateway(
        settings: &Settings,
        hash_key: u32,
        started_at: Time,
        last_used_permit: u64,
    ) -> Self {
        // Spread, so that servers with keys in a row do not have their permits with the same gateways.
        let holders = settings.gateways;
        let first = hash_key.wrapping_mul(0x9e37_79b9);
        let index = (settings.gateway_id.0 + holders - first % holders) % holders;
        Self { index, holders, started_at, last_used_permit }
    }

    /// The first permit of this holder after one of any holder.
    fn first_permit_after(&self, permit: u64) -> u64 {
        let holders = u64::from(self.holders.max(1));
        let next = permit + 1;
        next + (u64::from(self.index) % holders + holders - next % holders) % holders
    }
}

/// The permits for a share of the overload threshold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitSchedule {
    config: SlowStartConfig,
    share: f64,
    paces: Paces,
    lease: Span,
}

impl PermitSchedule {
    /// The permits of gateways that nobody grants any: all there are, or what is left by those that are granted, if any.
    pub const fn ungranted_permits(settings: &Settings) -> Self {
        let share = if settings.fleet_permits { 1.0 - GRANTED_SHARE } else { 1.0 };
        let config = SlowStartConfig::new(settings);
        Self { config, share, paces: OWN_PERMIT_PACES, lease: Span::ZERO }
    }

    /// How many permits have been issued at this age. The first is issued at the start.
    pub fn permits_issued(&self, age: Span, connections_when_full: f64) -> f64 {
        let allowance = self.config.integrals(age, connections_when_full);
        let paced = self.paces.requests * allowance.requests
            + self.paces.variance_allowance * allowance.variance_allowance;
        1.0 + self.share * paced
    }

    /// Permits up to this one have expired at this age, and stay so.
    ///
    /// In a window that begins at age a, permits are used that are issued before its end and had not expired a lease before
    /// it, so that `min_expired(a)` is the least that has to have expired by then. It is convex while the server warms up
    /// (the pace grows, what the threshold adds to it shrinks) and grows afterwards, so its greatest value so far is its
    /// first or its last.
    pub fn permits_expired(&self, age: Span, connections_when_full: f64) -> f64 {
        let min_expired = |age: Span| {
            let issued = self.permits_issued(age + self.config.overload_window, connections_when_full);
            issued + 1.0 - self.share * self.config.overload_threshold(age, connections_when_full)
        };
        min_expired(Span::ZERO).max(min_expired(age + self.lease))
    }

    /// The last permit used by another process of the holder, as reported; none where it has not been issued yet: then
    /// it is of the server's previous process.
    pub fn accept_reported_permit(
        &self,
        now: Time,
        server_started_at: Option<Time>,
        connections_when_full: f64,
        last_used_permit: u64,
    ) -> u64 {
        let issued = server_started_at.map_or(0.0, |started_at| {
            self.permits_issued(now.since(started_at), connections_when_full) + CLOCK_SKEW_PERMITS
        });
        if last_used_permit as f64 <= issued { last_used_permit } else { 0 }
    }

    /// The oldest of a holder's permits for a server that started then that has been issued and is neither used nor
    /// expired.
    ///
    /// # Errors
    ///
    /// Fails with the time until the next is issued, by the present pace.
    pub fn next_permit(
        &self,
        now: Time,
        server_started_at: Time,
        connections_when_full: f64,
        holder: PermitHolder,
    ) -> Result<u64, Span> {
        let age = now.since(server_started_at);
        let unavailable = self.last_unavailable_permit(server_started_at, age, connections_when_full, holder);
        let permit = holder.first_permit_after(unavailable);
        let missing = permit as f64 - self.permits_issued(age, connections_when_full);
        if missing <= 0.0 {
            return Ok(permit);
        }
        let wait = self.config.overload_window.scale(missing / self.pace(age, connections_when_full));
        Err(wait.max(Span::from_micros(1)))
    }

    /// The last permit that is used, expired, or was an earlier process's. The first is issued with the server, also where
    /// the holder's process is older.
    fn last_unavailable_permit(
        &self,
        server_started_at: Time,
        age: Span,
        connections_when_full: f64,
        holder: PermitHolder,
    ) -> u64 {
        let issued_before = if holder.started_at > server_started_at {
            self.permits_issued(holder.started_at.since(server_started_at), connections_when_full)
        } else {
            0.0
        };
        let expired = self.permits_expired(age, connections_when_full);
        holder.last_used_permit.max(issued_before.max(expired).max(0.0) as u64)
    }

    /// Permits issued within a window at this age.
    fn pace(&self, age: Span, connections_when_full: f64) -> f64 {
        let allowed = self.config.allowed_requests(age, connections_when_full);
        let chance = 2.0 * allowed.sqrt() + 1.0;
        let pace = self.share * (self.paces.requests * allowed + self.paces.variance_allowance * chance);
        pace.max(f64::MIN_POSITIVE)
    }
}
