//! Injected faults, each in the driver, a frontend or the network.

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A frontend writes as soon as its connection is open.
    WritesWithoutPermission,
    /// A frontend reports a failed connect once the request is written, and does not close the connection.
    ContinuesEndedAttempt,
    /// A frontend reports a reset after the last byte as a failed connect.
    ResetReportedAsConnectError,
    /// A frontend answers a client that it has forwarded `UP` to.
    AnswersServedClient,
    /// The driver does not report to the engine that a client has left.
    LosesClientDeparture,
    /// The driver loses one answer in ten.
    LosesAnswers,
    /// The driver rejects every client that is not served.
    RejectsAll,
    /// The driver mistakes each class for the next one.
    SwapsClasses,
    /// The driver forwards drains to the engine late.
    LateDrains,
    /// The driver does not report to the engine that its watch is silent.
    LosesWatchSilence,
    /// The settings of the engine recognise retries ten times as long as servers do.
    LongWindow,
    /// The settings of the engine name all servers where only a group recognises retries.
    WideGroup,
    /// The network turns every denied permit into a granted one.
    ForgesPermits,
    /// The settings of each gateway say that it is the only one.
    EachGatewayAlone,
}
