//! Runs a virtual router over UDP; the QUIC front takes new connections only while it is active.

use std::net::SocketAddr;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::config::VrrpConfig;
use crate::vrrp::{Advertisement, RouterAction, RouterState, VirtualRouter};

/// Longer packets are none of ours.
const MAX_PACKET_LENGTH: usize = 128;

/// Runs until `stop` turns true; `active` tells whether this copy is the active one.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn run(
    front: VrrpConfig,
    active: watch::Sender<bool>,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let socket = UdpSocket::bind(front.listen).await?;
    let own = socket.local_addr()?;
    let mut machine = VirtualRouter::new(front.virtual_router_config());
    let mut effects = Vec::new();
    machine.handle_startup(&mut effects);
    let (mut wake, mut dropped) = (None, 0_u64);
    let mut packet = [0; MAX_PACKET_LENGTH];
    loop {
        for effect in effects.drain(..) {
            match effect {
                RouterAction::Send(advertisement) => send(&socket, &front.peers, &advertisement).await,
                RouterAction::EnterState(state) => {
                    info!("vrrp: router {} is {state:?}", front.virtual_router_id);
                    active.send_replace(state == RouterState::Active);
                }
                RouterAction::StartTimer(wait) => wake = Some(Instant::now() + wait),
                RouterAction::StopTimer => wake = None,
            }
        }
        if machine.state() == RouterState::Initialize {
            return Ok(());
        }
        tokio::select! {
            heard = socket.recv_from(&mut packet) => {
                // A peer that is not there shows as an error of the socket; it is no concern of ours.
                let Ok((length, from)) = heard else { continue };
                // Only the routers of the deploy file count: anyone can send to a UDP port.
                let known = front.peers.contains(&from);
                match Advertisement::decode(&packet[..length]) {
                    Ok(heard) if known => machine.handle_advertisement(&heard, from > own, &mut effects),
                    Ok(_) | Err(_) => {
                        dropped += 1;
                        info!("vrrp: packet of {from} dropped, {dropped} so far");
                    }
                }
            }
            () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                wake = None;
                machine.handle_timer(&mut effects);
            }
            _ = stop.wait_for(|&stop| stop) => machine.handle_shutdown(&mut effects),
        }
    }
}

async fn send(socket: &UdpSocket, peers: &[SocketAddr], advertisement: &Advertisement) {
    let packet = advertisement.encode();
    for peer in peers {
        let _ = socket.send_to(&packet, peer).await;
    }
}
