//! Faults that a run injects into the driver, a front end, the network or the settings.

/// An injected fault that an invariant has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A front end sends the first byte as soon as its connection is open, without permission of the engine.
    WritesWithoutPermission,
    /// A front end reports a connect error once the request is written, and leaves the connection open.
    ContinuesEndedAttempt,
    /// A front end reports a connection reset as a connect error, also after the last byte.
    ResetReportedAsConnectError,
    /// A front end sends a second answer to a client after it has forwarded `UP`.
    AnswersServedClient,
    /// The driver does not report to the engine that a client has left.
    LosesClientDeparture,
    /// The driver loses one final answer in ten.
    LosesAnswers,
    /// The driver sends a rejection to every client that is not served.
    RejectsUnservedClients,
    /// The driver passes each request to the engine with the next class instead of its own.
    SwapsClasses,
    /// The driver forwards list updates with draining or removed servers 1.5 s late.
    DelaysDrains,
    /// The driver does not report to the engine that its watch was closed or is silent.
    LosesWatchEnd,
    /// The idempotency window in the settings of the engine is ten times as long as that of the servers.
    LongIdempotencyWindow,
    /// The engine is configured as if all servers recognised retries, although only those of a zone or cell
    /// do.
    WideDeduplicationScope,
    /// The network changes every denied permit into a granted one.
    ForgesPermits,
    /// Each gateway is configured as the only gateway of the deployment.
    SingleGatewaySettings,
}
