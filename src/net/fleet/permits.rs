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

/// Datagrams that may wait for the socket; further ones are dropped, as the network may drop any.
pub const SEND_QUEUE_LENGTH: usize = 64;
/// One byte more than the longest datagram, so that a longer one is noticed.
const RECEIVE_BUFFER_LENGTH: usize = MAX_DATAGRAM_LENGTH + 1;

static REJECTED_DATAGRAMS: RateLimitedLog = RateLimitedLog::new("permits");

/// Sends and receives datagrams until the event loop ends. Datagrams that are to be sent before the socket is bound are
/// lost; meanwhile the gateway goes without permits.
pub async fn run(
    peers: PeerAddresses,
    mut datagrams: mpsc::Receiver<PermitDatagram>,
    event_loop: EventLoopHandle,
) {
    let socket = bind_retry::bind_udp_with_retry("permits", peers.listen).await;
    // Their requests have timed out by now.
    while datagrams.try_recv().is_ok() {}
    let mut packet = [0; RECEIVE_BUFFER_LENGTH];
    loop {
        tokio::select! {
            datagram = datagrams.recv() => {
                let Some(datagram) = datagram else { return };
                send(&socket, &peers, &datagram).await;
            }
            received = socket.recv_from(&mut packet) => {
                // The socket reports a peer that does not run as an error.
                let Ok((length, from)) = received else { continue };
                forward(&event_loop, &peers, from, &packet[..length]).await;
            }
        }
    }
}

async fn send(socket: &UdpSocket, peers: &PeerAddresses, datagram: &PermitDatagram) {
    if let Some(&to) = peers.by_index.get(datagram.to.0 as usize) {
        // A datagram that cannot be sent is a lost one: its request times out.
        let _ = socket.send_to(datagram.bytes(), to).await;
    }
}

async fn forward(event_loop: &EventLoopHandle, peers: &PeerAddresses, from: SocketAddr, packet: &[u8]) {
    let Some(index) = peers.by_index.iter().position(|&peer| peer == from) else {
        return REJECTED_DATAGRAMS.log(format_args!("datagram from {from}, which is no gateway of `peers`"));
    };
    let payload = Bytes::copy_from_slice(packet);
    event_loop.send(DriverEvent::DatagramReceived { from: GatewayId(index as u32), payload }).await;
}
