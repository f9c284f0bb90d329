//! Faults put in on purpose, each where the driver, a front or the network would have it.

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A front writes as soon as its connection is up.
    WritesWithoutPermission,
    /// A front reports an attempt as one that never came up once it is written, and lets it go on.
    KeepsEndedAttempt,
    /// A front reports a reset after the last byte as a connection that never came up.
    ResetReportedAsConnectError,
    /// A front answers a client that it has passed `UP` to.
    AnswersServedClient,
    /// The driver does not tell the core that a client has left.
    LosesClientDeparture,
    /// The driver loses one answer in ten.
    LosesAnswers,
    /// The driver gives every unserved client a refusal.
    RejectsAll,
    /// The driver takes each class's name for that of the next.
    SwapsClasses,
    /// The driver passes drains on to the core late.
    LateDrains,
    /// The driver does not tell the core that its watch is silent.
    LosesWatchSilence,
    /// The settings that the core is given remember repeats ten times as long as servers do.
    LongWindow,
    /// The settings that the core is given name all servers where only a group remembers.
    WideGroup,
    /// The network makes a right of every refusal.
    ForgesPermits,
    /// Each gateway is told that it is alone.
    EachGatewayAlone,
}
