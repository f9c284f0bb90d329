//! Slow start: how many connections a server may be sent while it warms up, and which gateways may send them.
//!
//! Let N be the number of requests that the settings allow a server at its age within the overload window.
//! The server is overloaded when more than N + 2 sqrt(N) + 2 requests of mean work arrive within the window
//! ([`SlowStartConfig::overload_threshold`]). A gateway doesn't know what the other gateways send.
//!
//! Therefore connections need permits. Each permit admits one connection, has a number and has one holder,
//! which may use it once. Permit n is issued when the server's age allows n permits. A permit that is not
//! used in time expires, so that a holder that has sent nothing for a while has at most one permit, like any
//! other holder. All permits that can be used within a window have numbers between the oldest permit that is
//! unexpired at the beginning of the window and the newest permit issued by its end.
//!
//! The module has no state and uses no socket and no clock.

use super::interface::{Settings, Span, Time};

/// Share of the overload threshold for permits that are granted for the entire fleet. It applies to fleets in
/// which gateways answer each other. The remainder is for the own permits of gateways that receive no answer.
/// Both kinds may be used at the same time, so that the two shares add up to one. Most permits reserved for
/// gateways without an answer would expire unused (`docs/design/fleet.md`).
const GRANTED_SHARE: f64 = 1.0;

/// Rate at which permits are issued: the number issued per overload window, relative to the overload
/// threshold. The remainder of the threshold is for permits that were issued before the window and are used
/// late.
#[derive(Debug, Clone, Copy, PartialEq)]
struct IssueRate {
    /// Multiple of N.
    requests: f64,
    /// Multiple of 2 sqrt(N) + 1, the variance allowance that the threshold adds to N.
    variance_allowance: f64,
}

/// Issue rate of the gateways' own permits. The rate is low, because gateways that receive a client only
/// every few seconds use their permits late.
const OWN_PERMIT_RATE: IssueRate = IssueRate { requests: 0.8, variance_allowance: 0.0 };
/// Issue rate of permits granted for the fleet. The rate is high, because all of the grantors' permits are
/// requested.
const GRANTED_PERMIT_RATE: IssueRate = IssueRate { requests: 0.72, variance_allowance: 0.72 };
/// Maximum difference, in permits, between the counts of two processes of one holder. The counts differ
/// because the clocks do.
const CLOCK_SKEW_PERMITS: f64 = 1.0;
/// Upper limit of N, larger than any settings allow. It ensures that the computations remain finite if
/// servers need no warm-up.
const MAX_REQUESTS: f64 = 1e9;

/// Settings that limit what a warming server may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartConfig {
    /// Multiple of its present capacity above which a warming server is overloaded, if sent for
    /// `overload_window`.
    pub overload_factor: f64,
    /// Time after which a warming server that is sent more than `overload_factor` allows is overloaded.
    pub overload_window: Span,
    /// Minimum share of its capacity that a server has at its start, from 0 to 1.
    pub initial_capacity_share: f64,
    /// Maximum time from a server's start until it has its full capacity.
    pub warm_up_time: Span,
}

/// Allowances accumulated from a server's start to some age, in requests.
struct Allowance {
    /// Sum of N.
    requests: f64,
    /// Sum of 2 sqrt(N) + 1.
    variance_allowance: f64,
}

impl SlowStartConfig {
    /// Copies the slow-start settings from the settings of a gateway.
    pub const fn new(settings: &Settings) -> Self {
        Self {
            overload_factor: settings.overload_factor,
            overload_window: settings.overload_window,
            initial_capacity_share: settings.initial_capacity_share,
            warm_up_time: settings.warm_up_time,
        }
    }

    /// Returns N: the number of requests within the overload window that the settings allow a server of this
    /// age, if `connections_when_full` connections fill the server. The server is assumed to accept, over its
    /// warm-up time, no more connections than fill it.
    pub fn allowed_requests(&self, age: Span, connections_when_full: f64) -> f64 {
        let warm_up = self.warm_up_time.as_secs().max(f64::MIN_POSITIVE);
        let progress = (age.as_secs() / warm_up).clamp(0.0, 1.0);
        let share = self.initial_capacity_share + (1.0 - self.initial_capacity_share) * progress;
        let window = self.overload_window.as_secs();
        (self.overload_factor * share * connections_when_full / warm_up * window).clamp(0.0, MAX_REQUESTS)
    }

    /// Returns N + 2 sqrt(N) + 2, the overload threshold: more requests within the overload window overload
    /// the server.
    pub fn overload_threshold(&self, age: Span, connections_when_full: f64) -> f64 {
        let allowed = self.allowed_requests(age, connections_when_full);
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// Returns the integrals of N and of 2 sqrt(N) + 1 from the server's start to this age, with time in
    /// overload windows.
    fn integrals(&self, age: Span, connections_when_full: f64) -> Allowance {
        let warming = age.min(self.warm_up_time);
        let ramp_secs = warming.as_secs();
        let flat_secs = age.as_secs() - ramp_secs;
        let first = self.allowed_requests(Span::ZERO, connections_when_full);
        let last = self.allowed_requests(warming, connections_when_full);
        let requests = (first + last) / 2.0 * ramp_secs + last * flat_secs;
        let last_sqrt = last.sqrt();
        let mean_sqrt = mean_sqrt_of_linear(first.sqrt(), last_sqrt);
        let variance_allowance = (2.0 * mean_sqrt + 1.0) * ramp_secs + (2.0 * last_sqrt + 1.0) * flat_secs;
        let window = self.overload_window.as_secs().max(f64::MIN_POSITIVE);
        Allowance { requests: requests / window, variance_allowance: variance_allowance / window }
    }

    /// Returns the schedule of the permits that are granted for the entire fleet, each to be used within
    /// `lease`.
    pub const fn granted_permits(self, lease: Span) -> PermitSchedule {
        PermitSchedule { config: self, share: GRANTED_SHARE, issue_rate: GRANTED_PERMIT_RATE, lease }
    }
}

/// Returns the mean of the square root of a linear function, given the square roots of its first and last
/// value.
fn mean_sqrt_of_linear(first_sqrt: f64, last_sqrt: f64) -> f64 {
    if last_sqrt > 0.0 {
        let squares = first_sqrt * first_sqrt + first_sqrt * last_sqrt + last_sqrt * last_sqrt;
        squares / (first_sqrt + last_sqrt) * 2.0 / 3.0
    } else {
        0.0
    }
}

/// Holder of permits. Permit n belongs to the holder if n divided by `holders` leaves the remainder
/// `index`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitHolder {
    /// Remainder that identifies the holder's permits.
    pub index: u32,
    /// Number of holders of permits for the server.
    pub holders: u32,
    /// Start of the holder's process. Permits issued earlier belonged to a previous process.
    pub started_at: Time,
    /// Number of the last permit that the holder has used.
    pub last_used_permit: u64,
}

impl PermitHolder {
    /// Returns the gateway with these settings as the holder of its own permits for the server with this hash
    /// key.
    pub const fn for_gateway(
        settings: &Settings,
        hash_key: u32,
        started_at: Time,
        last_used_permit: u64,
    ) -> Self {
        // Multiplicative hashing spreads the first holders, so that servers with consecutive hash keys do not
        // issue their permits to the same gateways.
        let holders = settings.gateways;
        let first = hash_key.wrapping_mul(0x9e37_79b9);
        let index = (settings.gateway_id.0 + holders - first % holders) % holders;
        Self { index, holders, started_at, last_used_permit }
    }

    /// Returns the first permit of this holder with a higher number than `permit`, which may be any holder's.
    fn first_permit_after(&self, permit: u64) -> u64 {
        let holders = u64::from(self.holders.max(1));
        let next = permit + 1;
        next + (u64::from(self.index) % holders + holders - next % holders) % holders
    }
}

/// Schedule of the issue and expiry of permits for a share of the overload threshold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitSchedule {
    config: SlowStartConfig,
    /// Share of the overload threshold, from 0 to 1.
    share: f64,
    issue_rate: IssueRate,
    /// Time within which a granted permit is used.
    lease: Span,
}

impl PermitSchedule {
    /// Returns the schedule of the gateways' own permits. Their share is the entire overload threshold, or
    /// the part that granted permits leave, if the fleet grants any.
    pub const fn ungranted_permits(settings: &Settings) -> Self {
        let share = if settings.fleet_permits { 1.0 - GRANTED_SHARE } else { 1.0 };
        let config = SlowStartConfig::new(settings);
        Self { config, share, issue_rate: OWN_PERMIT_RATE, lease: Span::ZERO }
    }

    /// Returns the number of permits issued up to this age of the server. The first is issued at the server's
    /// start.
    pub fn permits_issued(&self, age: Span, connections_when_full: f64) -> f64 {
        let allowance = self.config.integrals(age, connections_when_full);
        let issued_after_first = self.issue_rate.requests * allowance.requests
            + self.issue_rate.variance_allowance * allowance.variance_allowance;
        1.0 + self.share * issued_after_first
    }

    /// Returns the number of the last permit that has expired at this age of the server. The number never
    /// decreases.
    ///
    /// The permits used in a window that begins at age a are issued before its end and had not expired one
    /// lease before its beginning. Therefore `min_expired(a)` is the minimum number of permits that must have
    /// expired one lease before age a. The function is convex while the server warms up, since the issue rate
    /// grows and the part that the threshold adds to it shrinks. Afterwards the function grows. Its maximum
    /// up to any age is thus its first or its last value.
    pub fn permits_expired(&self, age: Span, connections_when_full: f64) -> f64 {
        let min_expired = |age: Span| {
            let issued = self.permits_issued(age + self.config.overload_window, connections_when_full);
            issued + 1.0 - self.share * self.config.overload_threshold(age, connections_when_full)
        };
        min_expired(Span::ZERO).max(min_expired(age + self.lease))
    }

    /// Returns the last permit used by another process of the holder, as reported. Returns zero if the permit
    /// has not been issued yet, since then it was a permit for the server's previous process.
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

    /// Returns the oldest permit of a holder that has been issued and is neither used nor expired, for a
    /// server that started at `server_started_at`.
    ///
    /// # Errors
    ///
    /// If there is no such permit, returns the time until the holder's next permit is issued at the present
    /// rate.
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
        let wait =
            self.config.overload_window.scale(missing / self.permits_per_window(age, connections_when_full));
        Err(wait.max(Span::from_micros(1)))
    }

    /// Returns the last permit that is used, is expired or belonged to a previous process of the holder. The
    /// first permit is issued at the server's start, also if the holder's process is older than the server.
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

    /// Returns the number of permits issued per overload window at this age of the server.
    fn permits_per_window(&self, age: Span, connections_when_full: f64) -> f64 {
        let allowed = self.config.allowed_requests(age, connections_when_full);
        let variance_allowance = 2.0 * allowed.sqrt() + 1.0;
        let rate = self.share
            * (self.issue_rate.requests * allowed + self.issue_rate.variance_allowance * variance_allowance);
        rate.max(f64::MIN_POSITIVE)
    }
}
