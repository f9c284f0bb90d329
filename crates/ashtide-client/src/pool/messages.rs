//! Events that a session pool receives and commands that it returns.

use std::net::SocketAddr;

use ashtide_protocol::{GatewayEvent, PeerFault};
use bytes::Bytes;

use crate::{Address, Attempt, GiveUpReason, SessionId, SessionNotification};

/// Event that a session pool processes. Events of an ended attempt are counted and otherwise ignored.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolEvent {
    /// The transport connection of an attempt is established.
    Connected(SessionId, Attempt),
    /// The transport connection of an attempt could not be established; its socket is closed.
    ConnectFailed(SessionId, Attempt),
    /// A line was received from the gateway and parsed by [`GatewaySide`](ashtide_protocol::GatewaySide).
    /// Lines of an established connection need not be reported. The socket is still open.
    Received(SessionId, Attempt, Result<GatewayEvent, PeerFault>),
    /// The connection ended and its socket is closed. Contains the protocol violation of the peer, if any.
    ConnectionEnded(SessionId, Attempt, Option<PeerFault>),
    /// The socket of a [`PoolCommand::Close`] is closed, or was closed before.
    SocketClosed(SessionId, Attempt),
    /// The application closes the session.
    CloseSession(SessionId),
    /// The device lost its network.
    NetworkLost,
    /// The device has a network again, possibly a different one.
    NetworkRestored,
    /// The address list of the gateways is replaced. Established connections are not affected.
    AddressesChanged(Vec<Address>),
    /// The time of [`SessionPool::next_wake`](crate::SessionPool::next_wake) was reached.
    TimerFired,
}

/// Command for the driver. Commands have to be executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolCommand {
    /// Connect to a gateway and report [`PoolEvent::Connected`] or [`PoolEvent::ConnectFailed`].
    Connect {
        /// Session of the attempt.
        session: SessionId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Address of the gateway.
        gateway: SocketAddr,
    },
    /// Write the request line on the connection immediately; its time-out `d` is measured from this moment.
    SendRequest {
        /// Session of the attempt.
        session: SessionId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Request line with its CRLF.
        line: Bytes,
    },
    /// Close the attempt's socket or abort its connecting, and report [`PoolEvent::SocketClosed`].
    Close {
        /// Session of the attempt.
        session: SessionId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// Notify the application.
    Notify(SessionId, SessionNotification),
    /// Notify the application that the session ended, and release the session's resources.
    EndSession(SessionId, GiveUpReason),
}
