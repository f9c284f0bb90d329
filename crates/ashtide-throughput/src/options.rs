//! Settings of the capacity estimate and the weights, with their valid ranges.

use std::time::Duration;

/// Settings of the capacity estimate and the weights. All times refer to the caller's clock, which may be
/// virtual.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Number of gateways in the fleet, this one included (key `gateways`).
    pub gateways: u32,
    /// Load that a listed weight of 1 stands for, in the unit of the reported loads: microseconds of work per
    /// second (key `unit`). With `None`, it is derived from the loads at which overloaded servers were seen.
    pub load_per_weight: Option<f64>,
    /// Time for which set-ups and overload signals count (key `window`).
    pub window: Duration,
    /// Longest disturbance that is treated as a transient fault and not as a property of the hardware (key
    /// `trouble`).
    pub max_fault: Duration,
    /// Time for which a gateway's report counts unless a newer one replaces it (key `keep`).
    pub report_ttl: Duration,
    /// Fraction of the gateways that must have reported within [`Options::report_ttl`] for weights to change
    /// (key `quorum`).
    pub quorum: f64,
    /// Maximum change of a weight's natural logarithm per second (key `rate`).
    pub max_rate: f64,
    /// Distance from the target, as a natural logarithm, above which a weight starts to change (key
    /// `hysteresis`).
    pub hysteresis: f64,
    /// Largest ratio of a weight to the listed weight, in either direction (key `clamp`).
    pub clamp: f64,
    /// Fraction of its throughput that a server has when it starts (key `cold_from`).
    pub cold_from: f64,
    /// Time after its start at which a server is warm (key `warm_within`).
    pub warm_within: Duration,
}

impl Options {
    /// Returns the default settings for a fleet of `gateways` gateways.
    pub fn new(gateways: u32) -> Self {
        Self {
            gateways,
            load_per_weight: Some(1e6),
            window: Duration::from_secs(480),
            max_fault: Duration::from_secs(30),
            report_ttl: Duration::from_secs(60),
            quorum: 0.75,
            max_rate: 0.02,
            hysteresis: 0.05,
            clamp: 3.0,
            cold_from: 0.13,
            warm_within: Duration::from_secs(24),
        }
    }

    /// Checks that every setting is within its range; the error names the first one that is not.
    pub fn check(&self) -> Result<(), Unusable> {
        let within = |key, found: f64, min: f64, max: f64, expected| {
            let valid = found.is_finite() && (min..=max).contains(&found);
            if valid { Ok(()) } else { Err(Unusable { key, found, expected }) }
        };
        let window = self.window.as_secs_f64();
        let max_fault = self.max_fault.as_secs_f64();
        within("gateways", f64::from(self.gateways), 1.0, 8192.0, "1 to 8192")?;
        within("unit", self.load_per_weight.unwrap_or(1.0), 1e-6, 1e12, "a load above zero")?;
        within("window", window, 10.0, 3600.0, "10 s to an hour")?;
        within("trouble", max_fault, 0.0, window / 4.0, "at most a quarter of the window")?;
        within("keep", self.report_ttl.as_secs_f64(), 1.0, window, "1 s to the window")?;
        within("quorum", self.quorum, 0.5, 1.0, "0.5 to 1")?;
        within("rate", self.max_rate, 1e-4, 0.1, "0.0001 to 0.1 a second")?;
        within("hysteresis", self.hysteresis, 0.0, 0.5, "0 to 0.5")?;
        within("clamp", self.clamp, 1.0, 10.0, "1 to 10")?;
        within("cold_from", self.cold_from, 0.01, 1.0, "0.01 to 1")?;
        within("warm_within", self.warm_within.as_secs_f64(), 0.0, 3600.0, "at most an hour")
    }
}

/// A setting that is out of its range.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("weights: setting `{key}` is {found}; expected {expected}")]
pub struct Unusable {
    /// Key of the setting.
    pub key: &'static str,
    /// Configured value; durations in seconds.
    pub found: f64,
    /// Valid range, in words.
    pub expected: &'static str,
}

impl Unusable {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        "Set it within the range, or leave it out to use the default. The listed weights are in effect until \
         the file is valid."
    }
}
