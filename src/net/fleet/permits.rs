//! Carries permit requests and replies between gateways over UDP.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::config::PeerAddresses;
use crate::decision::interface::GatewayId;
use crate::fleet::permits::{MAX_DATAGRAM_LENGTH, PermitDatagram};
use crate::net::bind_retry;
use crate::net::messages::{DriverEvent, EventLoopHandle};
use crate::net::rate_limited_log::RateLimitedLog;

/// Maximum number of datagrams queued for the socket. Further ones are dropped, which senders handle like a
/// loss in the network.
pub const SEND_QUEUE_LENGTH: usize = 64;
/// Length of the receive buffer in bytes, one more than the longest datagram, so that an overlong one is
/// detected.
const RECEIVE_BUFFER_LENGTH: usize = MAX_DATAGRAM_LENGTH + 1;

static REJECTED_DATAGRAMS: RateLimitedLog = RateLimitedLog::new("permits");

/// Sends and receives datagrams until the event loop ends. Datagrams queued before the socket is bound are
/// dropped; until then the gateway receives no permits from others.
pub async fn run(
    peers: PeerAddresses,
    mut datagrams: mpsc::Receiver<PermitDatagram>,
    event_loop: EventLoopHandle,
) {
    let socket = bind_retry::bind_udp_with_retry("permits", peers.listen).await;
    // Drops the queued datagrams: their requests have timed out by now.
    while datagrams.try_recv().is_ok() {}
    let mut packet = [0; RECEIVE_BUFFER_LENGTH];
    loop {
        tokio::select! {
            datagram = datagrams.recv() => {
                let Some(datagram) = datagram else { return };
                send(&socket, &peers, &datagram).await;
            }
            received = socket.recv_from(&mut packet) => {
                // The socket reports an error when a peer is unreachable; it needs no handling.
                let Ok((length, from)) = received else { continue };
                forward(&event_loop, &peers, from, &packet[..length]).await;
            }
        }
    }
}

async fn send(socket: &UdpSocket, peers: &PeerAddresses, datagram: &PermitDatagram) {
    if let Some(&to) = peers.by_index.get(datagram.to.0 as usize) {
        // A send error is equivalent to a loss in the network: the request times out.
        let _ = socket.send_to(datagram.bytes(), to).await;
    }
}

async fn forward(event_loop: &EventLoopHandle, peers: &PeerAddresses, from: SocketAddr, packet: &[u8]) {
    let Some(index) = peers.by_index.iter().position(|&peer| peer == from) else {
        return REJECTED_DATAGRAMS
            .log(format_args!("rejected a datagram from {from}: expected an address listed in `peers`"));
    };
    let payload = Bytes::copy_from_slice(packet);
    event_loop.send(DriverEvent::DatagramReceived { from: GatewayId(index as u32), payload }).await;
}
