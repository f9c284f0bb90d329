//! What must hold at any time, by name.

/// An invariant that does not hold.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Violation {
    /// A register is not what its gateway said.
    #[error("weights: the register of gateway {gateway} is not what it said; expected its own words alone")]
    Altered {
        /// Whose.
        gateway: u16,
    },
    /// A weight is off the list's by more than the clamp.
    #[error("weights: server {server:#010x} weighs {weight}; expected it within the clamp round {list}")]
    OutOfClamp {
        /// Which.
        server: u32,
        /// Its weight.
        weight: f64,
        /// The list's.
        list: f64,
    },
    /// A weight moved faster than it may.
    #[error(
        "weights: server {server:#010x} moved by {moved} in a turn; expected at most {most} (logarithms)"
    )]
    Jumped {
        /// Which.
        server: u32,
        /// How far.
        moved: f64,
        /// How far it might.
        most: f64,
    },
    /// A weight moved though too few gateways were heard.
    #[error("weights: server {server:#010x} moved with {heard} of the gateways heard; expected a quorum")]
    MovedUnheard {
        /// Which.
        server: u32,
        /// Part of the gateways.
        heard: f64,
    },
    /// A cold server has more than its ramp.
    #[error("weights: server {server:#010x} weighs {weight} while it warms up; expected at most {most}")]
    ColdWhole {
        /// Which.
        server: u32,
        /// Its weight.
        weight: f64,
        /// The most by its ramp.
        most: f64,
    },
    /// What a former server of this name did counts.
    #[error("weights: {entries} entries of a former life of server {server:#010x} count; expected none")]
    OtherLife {
        /// Which.
        server: u32,
        /// How many.
        entries: u32,
    },
    /// One gateway counts for more than it may.
    #[error(
        "weights: one gateway counts {counted} set-ups of server {server:#010x}; expected at most {most}"
    )]
    TooLoud {
        /// Which.
        server: u32,
        /// What it counts.
        counted: f64,
        /// What it may.
        most: f64,
    },
    /// Too much is believed of a measurement.
    #[error(
        "weights: {believed} of what was measured of server {server:#010x} is believed; expected 0 to {most}"
    )]
    NotPooled {
        /// Which.
        server: u32,
        /// The part believed.
        believed: f64,
        /// The most that its evidence allows.
        most: f64,
    },
    /// What a server was given changes what it is held to bear: the feedback loop.
    #[error("weights: server {server:#010x}, given half, would bear {found}; expected {expected} as before")]
    FollowsLoad {
        /// Which.
        server: u32,
        /// With half the load.
        found: f64,
        /// With all.
        expected: f64,
    },
    /// More is kept than may be.
    #[error("weights: {found} set-ups kept of one server; expected at most {most}")]
    TooMany {
        /// What is kept.
        found: usize,
        /// What may be.
        most: usize,
    },
}

impl Violation {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        "Turn weights off in the deploy file (the list's count from then on) and report this line: it is a fault \
         of the program, not of the site."
    }
}

/// Variants of the program that are wrong on purpose: tests show that the check finds each. Without the
/// feature `broken`, which only tests turn on, none can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// What a server holds is taken for what it bears.
    CapacityIsUse,
    /// Registers are added up where they are joined.
    #[cfg(feature = "broken")]
    MergeBySum,
    /// What was measured is believed whole.
    NoPooling,
    /// No bound on the change a second.
    NoBound,
    /// Evidence of a former life counts.
    OtherLife,
    /// A cold server has its whole weight.
    ColdWhole,
    /// One gateway counts for all it says.
    NoCap,
    /// Weights move whoever is heard.
    MovesUnheard,
}
