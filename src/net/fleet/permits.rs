//! Carries what gateways ask and answer each other over UDP.

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::config::PeerAddresses;
use crate::decision::interface::GatewayId;
use crate::fleet::permits::{MAX_DATAGRAM_LENGTH, PermitDatagram};
use crate::net::bind_retry;
use crate::net::messages::{DriverEvent, EventLoopHandle};
use crate::net::rate_limited_log::RateLimitedLog;

/// Datagrams that may wait for the socket; further ones are dropped, as the network may drop any.
pub const SEND_QUEUE_LENGTH: usize = 64;

static REJECTED_DATAGRAMS: RateLimitedLog = RateLimitedLog::new("rights");

/// Sends and hears until the core ends. What is to be sent before there is a socket is lost, and the gateway keeps
/// to its own part meanwhile.
pub async fn run(
    peers: PeerAddresses,
    mut datagrams: mpsc::Receiver<PermitDatagram>,
    event_loop: EventLoopHandle,
) {
    let socket = bind_retry::bind_udp_with_retry("rights", peers.listen).await;
    // What was to be asked meanwhile has been given up by now.
    while datagrams.try_recv().is_ok() {}
    // One byte more than the longest: a longer datagram shows.
    let mut packet = [0; MAX_DATAGRAM_LENGTH + 1];
    loop {
        tokio::select! {
            datagram = datagrams.recv() => {
                let Some(datagram) = datagram else { return };
                if let Some(&to) = peers.by_index.get(datagram.to.0 as usize) {
                    // Late or never: nobody waits for it.
                    let _ = socket.send_to(datagram.bytes(), to).await;
                }
            }
            heard = socket.recv_from(&mut packet) => {
                // A peer that is not there shows as an error of the socket; it is no concern of ours.
                let Ok((length, from)) = heard else { continue };
                match peers.by_index.iter().position(|&peer| peer == from) {
                    Some(at) => {
                        let bytes = Bytes::copy_from_slice(&packet[..length]);
                        event_loop.send(DriverEvent::DatagramReceived { from: GatewayId(at as u32), payload: bytes }).await;
                    }
                    None => REJECTED_DATAGRAMS.log(format_args!("a datagram of {from}, which is no gateway of `peers`")),
                }
            }
        }
    }
}
