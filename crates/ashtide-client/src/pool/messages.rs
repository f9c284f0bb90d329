//! What goes into a session pool and what comes out of it.

use std::net::SocketAddr;

use ashtide_protocol::{GatewayEvent, PeerFault};
use bytes::Bytes;

use crate::{Address, Attempt, GiveUpReason, SessionId, SessionNotification};

/// What happens to a pool. Events of an attempt that is over are counted and change nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolEvent {
    /// The connection of an attempt has come up.
    Connected(SessionId, Attempt),
    /// It has not; there is no socket any more.
    ConnectFailed(SessionId, Attempt),
    /// What the balancer said, as [`GatewaySide`](ashtide_protocol::GatewaySide) reads it. Lines of a
    /// standing connection need not be reported. The socket is still open.
    Received(SessionId, Attempt, Result<GatewayEvent, PeerFault>),
    /// The connection has ended and its socket is closed; the peer's fault where there was one.
    ConnectionEnded(SessionId, Attempt, Option<PeerFault>),
    /// A socket that was to be closed is closed, or there was none any more.
    SocketClosed(SessionId, Attempt),
    /// The application wants no more of this session.
    CloseSession(SessionId),
    /// The device has no network.
    NetworkLost,
    /// It has one, perhaps another.
    NetworkRestored,
    /// The balancers' addresses are these from now on. Standing connections stay.
    AddressesChanged(Vec<Address>),
    /// Time has passed.
    TimerFired,
}

/// What a driver is to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolCommand {
    /// Connect there and report [`PoolEvent::Connected`] or [`PoolEvent::ConnectFailed`].
    Connect {
        /// For which session.
        session: SessionId,
        /// For which attempt.
        attempt: Attempt,
        /// Where.
        gateway: SocketAddr,
    },
    /// Write the request's line on that connection, now: its `d` counts from here.
    SendRequest {
        /// For which session.
        session: SessionId,
        /// For which attempt.
        attempt: Attempt,
        /// The line with its CRLF.
        line: Bytes,
    },
    /// Close the attempt's socket, or give its dialling up, and report [`PoolEvent::SocketClosed`].
    Close {
        /// Of which session.
        session: SessionId,
        /// Of which attempt.
        attempt: Attempt,
    },
    /// Tell the application.
    Notify(SessionId, SessionNotification),
    /// The session is over: tell the application, and forget it.
    EndSession(SessionId, GiveUpReason),
}
