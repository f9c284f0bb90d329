//! Carries what gateways tell each other over UDP.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::handover::unix_micros;
use super::log::Limited;
use super::report::{Handle, Report};
use crate::config::Peers;
use crate::gossip::{Gossip, LENGTH};
use crate::interface::{PeerId, Word};
use crate::quic::placing::ServerKey;

/// Words that may wait for the socket; further ones are dropped, as the network may drop any.
pub const QUEUE: usize = 64;

/// Between two tries to bind the address.
const BIND_AGAIN: Duration = Duration::from_millis(500);

static UNHEARD: Limited = Limited::new("gossip");

/// Another process of this gateway may still have the address, as in an upgrade: it is tried again until
/// it can be had, and the gateway keeps to its own part meanwhile.
async fn bound(listen: SocketAddr) -> UdpSocket {
    let mut said = false;
    loop {
        match UdpSocket::bind(listen).await {
            Ok(socket) => return socket,
            Err(error) if !said => {
                eprintln!("gossip: {listen}: {error}; tried again, silently, until it can be had")
            }
            Err(_) => {}
        }
        said = true;
        sleep(BIND_AGAIN).await;
    }
}

/// Tells and hears until the core ends. What is to be told before there is a socket is lost.
pub async fn run(peers: Peers, mut words: mpsc::Receiver<(ServerKey, Word)>, core: Handle) {
    let socket = bound(peers.listen).await;
    // What was to be told meanwhile is old by now.
    while words.try_recv().is_ok() {}
    let mut gossip = Gossip::new(PeerId(peers.own), peers.each.len());
    let to: Vec<SocketAddr> = match peers.all {
        Some(all) => vec![all],
        None => peers.others().collect(),
    };
    // One byte more than a word: a longer datagram shows.
    let mut packet = [0; LENGTH + 1];
    loop {
        tokio::select! {
            word = words.recv() => {
                let Some((server, word)) = word else { return };
                let bytes = gossip.say(unix_micros() / 1000, server, word);
                for &peer in &to {
                    // Late or never: nobody waits for it.
                    let _ = socket.send_to(&bytes, peer).await;
                }
            }
            heard = socket.recv_from(&mut packet) => {
                // A peer that is not there shows as an error of the socket; it is no concern of ours.
                let Ok((length, from)) = heard else { continue };
                let peer = peers.each.iter().position(|&peer| peer == from).map(|at| PeerId(at as u32));
                match (peer, gossip.hear(unix_micros() / 1000, peer, &packet[..length])) {
                    (_, Ok((server, word))) => core.tell(Report::Told(server, word)).await,
                    (peer, Err(_)) if peer == Some(PeerId(peers.own)) => {}
                    (_, Err(why)) => UNHEARD.say(format_args!("datagram of {from}: {why}")),
                }
            }
        }
    }
}
