//! Invariants, each named by the violation that reports it, and defects that tests inject.

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Violation {
    /// A register differs from the reports of its gateway.
    #[error(
        "weights: the register of gateway {gateway} differs from that gateway's reports; expected equality"
    )]
    Altered {
        /// Gateway whose register differs.
        gateway: u16,
    },
    /// The ratio of a weight to the listed weight exceeds the clamp.
    #[error(
        "weights: server {server:#010x} has weight {weight}; expected it within the clamp around {listed}"
    )]
    OutOfClamp {
        /// Server with the weight.
        server: u32,
        /// Weight found.
        weight: f64,
        /// Listed weight.
        listed: f64,
    },
    /// A weight changed faster than the configured rate.
    #[error(
        "weights: server {server:#010x} changed by {change} in one update; expected at most {max} \
         (logarithms)"
    )]
    Jumped {
        /// Server with the weight.
        server: u32,
        /// Change of the weight's natural logarithm.
        change: f64,
        /// Largest permitted change of the weight's natural logarithm.
        max: f64,
    },
    /// A weight changed without a quorum of reporting gateways.
    #[error(
        "weights: server {server:#010x} changed with a fraction of {reporting} of the gateways reporting; \
         expected a quorum"
    )]
    MovedUnheard {
        /// Server with the weight.
        server: u32,
        /// Fraction of the gateways that reported.
        reporting: f64,
    },
    /// The weight of a server that is warming up exceeds its recovery ramp.
    #[error("weights: server {server:#010x} has weight {weight} while warming up; expected at most {max}")]
    ColdWhole {
        /// Server that is warming up.
        server: u32,
        /// Weight found.
        weight: f64,
        /// Largest weight by the ramp.
        max: f64,
    },
    /// Evidence of a server's former incarnation counts.
    #[error(
        "weights: {entries} entries of a former incarnation of server {server:#010x} were counted; expected \
         none"
    )]
    OtherLife {
        /// Server with the entries.
        server: u32,
        /// Number of entries of another incarnation.
        entries: u32,
    },
    /// One gateway's set-ups count for more than their limit.
    #[error(
        "weights: {counted} set-ups of one gateway count for server {server:#010x}; expected at most {max}"
    )]
    TooLoud {
        /// Server of the set-ups.
        server: u32,
        /// Number of set-ups counted of one gateway.
        counted: f64,
        /// Largest number that may be counted of one gateway.
        max: f64,
    },
    /// An estimate follows its measurement more closely than the variance permits.
    #[error(
        "weights: a fraction of {gamma} of the measured difference of server {server:#010x} enters the \
         estimate; expected 0 to {max}"
    )]
    NotPooled {
        /// Server of the estimate.
        server: u32,
        /// Fraction of the measured difference that enters the estimate.
        gamma: f64,
        /// Largest fraction that the variance permits.
        max: f64,
    },
    /// The capacity estimate depends on the load that the server was given, which would form a feedback loop.
    #[error(
        "weights: server {server:#010x} has a capacity estimate of {found} at half its load; expected \
         {expected} as at full load"
    )]
    FollowsLoad {
        /// Server of the estimate.
        server: u32,
        /// Capacity estimate at half the load.
        found: f64,
        /// Capacity estimate at the present load.
        expected: f64,
    },
    /// A server has more stored samples than the limit.
    #[error("weights: {found} samples are stored for one server; expected at most {max}")]
    TooMany {
        /// Number of stored samples.
        found: usize,
        /// Largest permitted number.
        max: usize,
    },
}

impl Violation {
    /// Returns what an operator can do about the violation.
    pub fn help(&self) -> &'static str {
        "Disable weights in the deployment file (the listed weights then take effect) and report this \
         line: it is a fault of the program, not of the deployment."
    }
}

/// Defects that tests inject to show that the check finds each of them. Without the feature `broken`, which
/// only tests enable, none can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// The load of a server is used as its capacity.
    CapacityIsLoad,
    /// Registers are added up when they are merged.
    #[cfg(feature = "broken")]
    MergeBySum,
    /// The estimate equals the measurement, without pooling.
    NoPooling,
    /// The change of a weight per second is unbounded.
    NoRateLimit,
    /// Evidence of a former incarnation counts.
    FormerIncarnation,
    /// A server that is warming up has its full weight.
    NoRamp,
    /// The set-ups that one gateway reports count without a limit.
    NoContributionLimit,
    /// Weights change without a quorum of reporting gateways.
    NoQuorum,
}
