//! VRRP version 3 (RFC 9568): the advertisement and the state machine of one virtual router.
//!
//! The packets are the standard's own. Here they travel in UDP datagrams, so the checksum covers the
//! packet alone, without the pseudo-header of an IP protocol.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::{Buf, BufMut};

/// A packet of version 3, type 1.
const VERSION_AND_TYPE: u8 = 0x31;
/// Virtual addresses that one packet may carry here.
const MAX_ADDRESSES: usize = 16;
/// The owner of the address has this priority, and no other router may.
pub const OWNER_PRIORITY: u8 = 255;

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router's number.
    pub virtual_router_id: u8,
    /// The sender's priority; 0 means that it leaves.
    pub priority: u8,
    /// The sender's interval, in hundredths of a second, below 4096.
    pub max_advertise_interval: u16,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// Too short, or not as long as its count of addresses says.
    #[error("wrong length")]
    Length,
    /// Another version or type.
    #[error("not an advertisement of version 3")]
    Version,
    /// The checksum is wrong.
    #[error("wrong checksum")]
    Checksum,
    /// No router is number 0, and an interval of 0 would mean a packet at every moment.
    #[error("a field is out of its range")]
    Range,
}

fn checksum(packet: &[u8]) -> u16 {
    let words = packet.chunks(2).map(|pair| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0)));
    let sum = words.sum::<u32>();
    let folded = (sum & 0xffff) + (sum >> 16);
    !((folded & 0xffff) + (folded >> 16)) as u16
}

impl Advertisement {
    /// The packet.
    pub fn encode(&self) -> Vec<u8> {
        let addresses = &self.addresses[..self.addresses.len().min(MAX_ADDRESSES)];
        let mut out = Vec::with_capacity(8 + 4 * addresses.len());
        out.put_slice(&[VERSION_AND_TYPE, self.virtual_router_id, self.priority, addresses.len() as u8]);
        out.put_u16(self.max_advertise_interval & 0x0fff);
        out.put_u16(0);
        addresses.iter().for_each(|address| out.put_slice(&address.octets()));
        let sum = checksum(&out);
        out[6..8].copy_from_slice(&sum.to_be_bytes());
        out
    }

    /// Reads a packet.
    ///
    /// # Errors
    ///
    /// Says why the packet is to be dropped.
    pub fn decode(mut packet: &[u8]) -> Result<Self, PacketError> {
        if packet.len() < 8 {
            return Err(PacketError::Length);
        }
        if packet[0] != VERSION_AND_TYPE {
            return Err(PacketError::Version);
        }
        let count = usize::from(packet[3]);
        if count > MAX_ADDRESSES || packet.len() != 8 + 4 * count {
            return Err(PacketError::Length);
        }
        if checksum(packet) != 0 {
            return Err(PacketError::Checksum);
        }
        let (router, priority) = (packet[1], packet[2]);
        let interval = u16::from_be_bytes([packet[4], packet[5]]) & 0x0fff;
        if router == 0 || interval == 0 {
            return Err(PacketError::Range);
        }
        packet.advance(8);
        let addresses = (0..count).map(|_| Ipv4Addr::from(packet.get_u32())).collect();
        Ok(Self { virtual_router_id: router, priority, max_advertise_interval: interval, addresses })
    }
}

/// What a virtual router is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VirtualRouterConfig {
    /// Its number, 1 to 255.
    pub virtual_router_id: u8,
    /// 1 to 254, or [`OWNER`].
    pub priority: u8,
    /// Hundredths of a second between advertisements, 1 to 4095.
    pub advertisement_interval: u16,
    /// Whether it takes over from an active router of lower priority.
    pub preempt: bool,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// A router's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterState {
    /// Not started.
    Initialize,
    /// Listens for the active router.
    Backup,
    /// Serves the virtual addresses.
    Active,
}

/// What the state machine asks of its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterAction {
    /// Send this to the other routers.
    Send(Advertisement),
    /// The state is now this.
    EnterState(RouterState),
    /// Call [`Machine::timer`] after this long, instead of what was asked before.
    StartTimer(Duration),
    /// No timer runs any more.
    StopTimer,
}

/// The state machine of section 6.4. `id` sets apart senders of one priority, as their primary
/// addresses do in the standard.
pub struct VirtualRouter {
    config: VirtualRouterConfig,
    state: RouterState,
    /// The active router's interval, learnt from its packets.
    active_advertisement_interval: u16,
}

fn centiseconds(count: u32) -> Duration {
    Duration::from_millis(u64::from(count) * 10)
}

impl VirtualRouter {
    /// A router that has not started.
    pub fn new(settings: VirtualRouterConfig) -> Self {
        let active_interval = settings.advertisement_interval;
        Self {
            config: settings,
            state: RouterState::Initialize,
            active_advertisement_interval: active_interval,
        }
    }

    /// Its state.
    pub fn state(&self) -> RouterState {
        self.state
    }

    fn advertisement(&self, priority: u8) -> RouterAction {
        let VirtualRouterConfig {
            virtual_router_id: router,
            advertisement_interval: interval,
            ref addresses,
            ..
        } = self.config;
        RouterAction::Send(Advertisement {
            virtual_router_id: router,
            priority,
            max_advertise_interval: interval,
            addresses: addresses.clone(),
        })
    }

    /// Lower priorities wait longer, so that the highest takes over first.
    fn skew_time(&self) -> u32 {
        (256 - u32::from(self.config.priority)) * u32::from(self.active_advertisement_interval) / 256
    }

    fn start_active_down_timer(&self) -> RouterAction {
        RouterAction::StartTimer(centiseconds(
            3 * u32::from(self.active_advertisement_interval) + self.skew_time(),
        ))
    }

    fn enter_state(&mut self, state: RouterState, out: &mut Vec<RouterAction>) {
        self.state = state;
        out.push(RouterAction::EnterState(state));
    }

    fn become_active(&mut self, out: &mut Vec<RouterAction>) {
        out.push(self.advertisement(self.config.priority));
        self.enter_state(RouterState::Active, out);
        out.push(RouterAction::StartTimer(centiseconds(u32::from(self.config.advertisement_interval))));
    }

    /// The startup event.
    pub fn handle_startup(&mut self, out: &mut Vec<RouterAction>) {
        if self.state != RouterState::Initialize {
            return;
        }
        if self.config.priority == OWNER_PRIORITY {
            return self.become_active(out);
        }
        self.active_advertisement_interval = self.config.advertisement_interval;
        self.enter_state(RouterState::Backup, out);
        out.push(self.start_active_down_timer());
    }

    /// The shutdown event: an active router says that it leaves, so that another takes over at once.
    pub fn handle_shutdown(&mut self, out: &mut Vec<RouterAction>) {
        if self.state == RouterState::Active {
            out.push(self.advertisement(0));
        }
        out.push(RouterAction::StopTimer);
        self.enter_state(RouterState::Initialize, out);
    }

    /// The timer has run out.
    pub fn handle_timer(&mut self, out: &mut Vec<RouterAction>) {
        match self.state {
            RouterState::Initialize => {}
            RouterState::Backup => self.become_active(out),
            RouterState::Active => {
                out.push(self.advertisement(self.config.priority));
                out.push(RouterAction::StartTimer(centiseconds(u32::from(
                    self.config.advertisement_interval,
                ))));
            }
        }
    }

    /// An advertisement of another router; `sender_is_higher` where its address is above ours.
    pub fn handle_advertisement(
        &mut self,
        heard: &Advertisement,
        sender_is_higher: bool,
        out: &mut Vec<RouterAction>,
    ) {
        if heard.virtual_router_id != self.config.virtual_router_id {
            return;
        }
        match self.state {
            RouterState::Initialize => {}
            RouterState::Backup if heard.priority == 0 => {
                out.push(RouterAction::StartTimer(centiseconds(self.skew_time())));
            }
            RouterState::Backup => {
                if !self.config.preempt || heard.priority >= self.config.priority {
                    self.active_advertisement_interval = heard.max_advertise_interval;
                    out.push(self.start_active_down_timer());
                }
            }
            RouterState::Active if heard.priority == 0 => {
                out.push(self.advertisement(self.config.priority));
                out.push(RouterAction::StartTimer(centiseconds(u32::from(
                    self.config.advertisement_interval,
                ))));
            }
            RouterState::Active => {
                let ours = self.config.priority;
                if heard.priority > ours || (heard.priority == ours && sender_is_higher) {
                    self.active_advertisement_interval = heard.max_advertise_interval;
                    self.enter_state(RouterState::Backup, out);
                    out.push(self.start_active_down_timer());
                } else {
                    // RFC 9568 has the lesser one told at once, so that it steps down.
                    out.push(self.advertisement(ours));
                    out.push(RouterAction::StartTimer(centiseconds(u32::from(
                        self.config.advertisement_interval,
                    ))));
                }
            }
        }
    }
}
