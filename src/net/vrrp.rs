//! Runs a virtual router over UDP; the QUIC front end accepts new connections only while it is active.

use std::net::SocketAddr;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tracing::info;

use crate::config::VrrpConfig;
use crate::net::bind_retry::bind_udp_with_retry;
use crate::net::rate_limited_log::RateLimitedLog;
use crate::vrrp::{Advertisement, RouterAction, RouterState, VirtualRouter};

/// Size of the receive buffer in bytes. A longer packet is truncated, and is no valid advertisement anyway.
const MAX_PACKET_LENGTH: usize = 128;

static DISCARDED_PACKETS: RateLimitedLog = RateLimitedLog::new("vrrp");

/// Runs a virtual router until `stop` becomes true, and publishes on `active` whether it is the active
/// router. The router starts as soon as its address is free.
pub async fn run(config: VrrpConfig, active: watch::Sender<bool>, mut stop: watch::Receiver<bool>) {
    let socket = tokio::select! {
        socket = bind_udp_with_retry("vrrp", config.listen) => socket,
        _ = stop.wait_for(|&stop| stop) => return,
    };
    let mut driver = RouterDriver {
        own_address: socket.local_addr().unwrap_or(config.listen),
        router: VirtualRouter::new(config.virtual_router_config()),
        config,
        socket,
        active,
        timer_at: None,
        discarded_packets: 0,
    };
    let mut actions = Vec::new();
    driver.router.handle_startup(&mut actions);
    let mut packet = [0; MAX_PACKET_LENGTH];
    loop {
        driver.perform(&mut actions).await;
        if driver.router.state() == RouterState::Initialize {
            return;
        }
        tokio::select! {
            // An error means that a peer is unreachable, which requires no action.
            received = driver.socket.recv_from(&mut packet) => if let Ok((length, sender)) = received {
                driver.handle_packet(&packet[..length], sender, &mut actions);
            },
            () = sleep_until(driver.timer_at.unwrap_or_else(Instant::now)), if driver.timer_at.is_some() => {
                driver.timer_at = None;
                driver.router.handle_timer(&mut actions);
            }
            _ = stop.wait_for(|&stop| stop) => driver.router.handle_shutdown(&mut actions),
        }
    }
}

/// A virtual router with its socket and timer.
struct RouterDriver {
    config: VrrpConfig,
    router: VirtualRouter,
    socket: UdpSocket,
    own_address: SocketAddr,
    active: watch::Sender<bool>,
    timer_at: Option<Instant>,
    discarded_packets: u64,
}

impl RouterDriver {
    /// Performs the actions of the state machine, in order.
    async fn perform(&mut self, actions: &mut Vec<RouterAction>) {
        for action in actions.drain(..) {
            match action {
                RouterAction::Send(advertisement) => self.send(&advertisement).await,
                RouterAction::EnterState(state) => self.enter_state(state),
                RouterAction::StartTimer(delay) => self.timer_at = Some(Instant::now() + delay),
                RouterAction::StopTimer => self.timer_at = None,
            }
        }
    }

    async fn send(&self, advertisement: &Advertisement) {
        let packet = advertisement.encode();
        for peer in &self.config.peers {
            let _ = self.socket.send_to(&packet, peer).await;
        }
    }

    fn enter_state(&self, state: RouterState) {
        info!("vrrp: router {} is {state:?}", self.config.virtual_router_id);
        self.active.send_replace(state == RouterState::Active);
    }

    fn handle_packet(&mut self, packet: &[u8], sender: SocketAddr, actions: &mut Vec<RouterAction>) {
        // Any host can send to a UDP port, so only packets of the configured peers are handled.
        let is_peer = self.config.peers.contains(&sender);
        match Advertisement::decode(packet) {
            Ok(advertisement) if is_peer => {
                let sender_is_higher = sender > self.own_address;
                self.router.handle_advertisement(&advertisement, sender_is_higher, actions);
            }
            Ok(_) | Err(_) => {
                self.discarded_packets += 1;
                DISCARDED_PACKETS.log(format_args!(
                    "discarded a packet from {sender}, \
                     which is invalid or not from a configured peer; {} discarded so far",
                    self.discarded_packets
                ));
            }
        }
    }
}
