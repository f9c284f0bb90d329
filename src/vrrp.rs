//! VRRP version 3 (RFC 9568): the advertisement and the state machine of one virtual router.
//!
//! The packet format is that of the standard. Packets are carried in UDP datagrams, so the checksum covers
//! the packet alone, without an IP pseudo-header.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::{Buf, BufMut};

/// First byte of a packet: version 3, type 1 (advertisement).
const VERSION_AND_TYPE: u8 = 0x31;
/// Length of a packet without addresses, in bytes.
const HEADER_LENGTH: usize = 8;
/// Byte range of the checksum in a packet.
const CHECKSUM_RANGE: std::ops::Range<usize> = 6..8;
/// Length of an IPv4 address, in bytes.
const ADDRESS_LENGTH: usize = 4;
/// Mask of the Max Advertise Interval in its 16-bit field; the upper four bits are reserved.
const INTERVAL_MASK: u16 = 0x0fff;
/// Maximum number of virtual addresses in a packet.
const MAX_ADDRESSES: usize = 16;
/// Priority of the router that owns the virtual addresses; no other router may have it.
pub const OWNER_PRIORITY: u8 = 255;
/// Priority in the advertisement of an active router that shuts down.
const SHUTDOWN_PRIORITY: u8 = 0;

/// VRRP advertisement (RFC 9568, section 5).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual router id.
    pub virtual_router_id: u8,
    /// Priority of the sender; 0 if it shuts down.
    pub priority: u8,
    /// Max Advertise Interval of the sender in hundredths of a second, less than 4096.
    pub max_advertise_interval: u16,
    /// Virtual IPv4 addresses that the sender advertises.
    pub addresses: Vec<Ipv4Addr>,
}

/// Reason for discarding a received packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The packet is too short, or its length does not match its number of addresses.
    #[error(
        "packet length is invalid; expected {HEADER_LENGTH} bytes and {ADDRESS_LENGTH} for each of the \
         declared 0 to {MAX_ADDRESSES} addresses"
    )]
    Length,
    /// The packet has another version or type.
    #[error("packet is not an advertisement of VRRP version 3")]
    Version,
    /// The checksum is wrong.
    #[error("packet checksum is incorrect")]
    Checksum,
    /// The virtual router id or the interval is 0.
    #[error("virtual router id or advertisement interval is 0, expected at least 1")]
    Range,
}

/// Computes the Internet checksum (RFC 1071).
fn checksum(packet: &[u8]) -> u16 {
    let sum: u32 = packet.chunks(2).map(big_endian_u16).sum();
    let folded = (sum & 0xffff) + (sum >> 16);
    !((folded & 0xffff) + (folded >> 16)) as u16
}

/// Converts two bytes in network order to a number; a single byte is padded with a zero byte.
fn big_endian_u16(pair: &[u8]) -> u32 {
    let low = pair.get(1).copied().unwrap_or(0);
    u32::from(pair[0]) << 8 | u32::from(low)
}

impl Advertisement {
    /// Encodes the advertisement as a packet.
    pub fn encode(&self) -> Vec<u8> {
        let addresses = &self.addresses[..self.addresses.len().min(MAX_ADDRESSES)];
        let mut packet = Vec::with_capacity(HEADER_LENGTH + ADDRESS_LENGTH * addresses.len());
        packet.put_slice(&[VERSION_AND_TYPE, self.virtual_router_id, self.priority, addresses.len() as u8]);
        packet.put_u16(self.max_advertise_interval & INTERVAL_MASK);
        packet.put_u16(0);
        addresses.iter().for_each(|address| packet.put_slice(&address.octets()));
        let checksum = checksum(&packet);
        packet[CHECKSUM_RANGE].copy_from_slice(&checksum.to_be_bytes());
        packet
    }

    /// Decodes an advertisement from a packet.
    ///
    /// # Errors
    ///
    /// Returns the reason for discarding an invalid packet.
    pub fn decode(mut packet: &[u8]) -> Result<Self, PacketError> {
        if packet.len() < HEADER_LENGTH {
            return Err(PacketError::Length);
        }
        if packet[0] != VERSION_AND_TYPE {
            return Err(PacketError::Version);
        }
        let address_count = usize::from(packet[3]);
        let expected_length = HEADER_LENGTH + ADDRESS_LENGTH * address_count;
        if address_count > MAX_ADDRESSES || packet.len() != expected_length {
            return Err(PacketError::Length);
        }
        if checksum(packet) != 0 {
            return Err(PacketError::Checksum);
        }
        let virtual_router_id = packet[1];
        let priority = packet[2];
        let max_advertise_interval = u16::from_be_bytes([packet[4], packet[5]]) & INTERVAL_MASK;
        if virtual_router_id == 0 || max_advertise_interval == 0 {
            return Err(PacketError::Range);
        }
        packet.advance(HEADER_LENGTH);
        let addresses = (0..address_count).map(|_| Ipv4Addr::from(packet.get_u32())).collect();
        Ok(Self { virtual_router_id, priority, max_advertise_interval, addresses })
    }
}

/// Configuration of a virtual router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VirtualRouterConfig {
    /// Virtual router id, 1 to 255.
    pub virtual_router_id: u8,
    /// Priority, 1 to 254, or [`OWNER_PRIORITY`].
    pub priority: u8,
    /// Advertisement_Interval in hundredths of a second, 1 to 4095.
    pub advertisement_interval: u16,
    /// Preempt_Mode: whether the router takes over from an active router of lower priority.
    pub preempt: bool,
    /// Virtual IPv4 addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// State of a virtual router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterState {
    /// The router has not been started, or has been shut down.
    Initialize,
    /// The router monitors the active router.
    Backup,
    /// The router serves the virtual addresses.
    Active,
}

/// Action that the driver of a virtual router performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterAction {
    /// Send an advertisement to the other routers.
    Send(Advertisement),
    /// Report that the router has entered this state.
    EnterState(RouterState),
    /// Call [`VirtualRouter::handle_timer`] after this time. The timer replaces an earlier one.
    StartTimer(Duration),
    /// Stop the timer.
    StopTimer,
}

/// State machine of a virtual router (RFC 9568, section 6.4).
pub struct VirtualRouter {
    config: VirtualRouterConfig,
    state: RouterState,
    /// Active_Adver_Interval: the interval in the active router's advertisements, in hundredths of a second.
    active_advertisement_interval: u16,
}

fn centiseconds(value: u32) -> Duration {
    Duration::from_millis(u64::from(value) * 10)
}

impl VirtualRouter {
    /// Creates a router in state [`RouterState::Initialize`].
    pub fn new(config: VirtualRouterConfig) -> Self {
        let active_advertisement_interval = config.advertisement_interval;
        Self { config, state: RouterState::Initialize, active_advertisement_interval }
    }

    /// Returns the current state.
    pub fn state(&self) -> RouterState {
        self.state
    }

    /// Handles the startup event.
    pub fn handle_startup(&mut self, actions: &mut Vec<RouterAction>) {
        if self.state != RouterState::Initialize {
            return;
        }
        if self.config.priority == OWNER_PRIORITY {
            return self.become_active(actions);
        }
        self.active_advertisement_interval = self.config.advertisement_interval;
        self.become_backup(actions);
    }

    /// Handles the shutdown event. An active router advertises priority 0, so that a backup takes over after
    /// its Skew_Time.
    pub fn handle_shutdown(&mut self, actions: &mut Vec<RouterAction>) {
        if self.state == RouterState::Active {
            actions.push(self.advertise(SHUTDOWN_PRIORITY));
        }
        actions.push(RouterAction::StopTimer);
        self.enter_state(RouterState::Initialize, actions);
    }

    /// Handles the expiry of the timer.
    pub fn handle_timer(&mut self, actions: &mut Vec<RouterAction>) {
        match self.state {
            RouterState::Initialize => {}
            RouterState::Backup => self.become_active(actions),
            RouterState::Active => self.advertise_and_restart_timer(actions),
        }
    }

    /// Handles an advertisement of another router.
    ///
    /// `sender_is_higher` is whether the sender's primary address is greater than that of this router.
    /// It breaks a tie between equal priorities.
    pub fn handle_advertisement(
        &mut self,
        advertisement: &Advertisement,
        sender_is_higher: bool,
        actions: &mut Vec<RouterAction>,
    ) {
        if advertisement.virtual_router_id != self.config.virtual_router_id {
            return;
        }
        match self.state {
            RouterState::Initialize => {}
            RouterState::Backup => self.handle_advertisement_as_backup(advertisement, actions),
            RouterState::Active => {
                self.handle_advertisement_as_active(advertisement, sender_is_higher, actions);
            }
        }
    }

    fn handle_advertisement_as_backup(
        &mut self,
        advertisement: &Advertisement,
        actions: &mut Vec<RouterAction>,
    ) {
        if advertisement.priority == SHUTDOWN_PRIORITY {
            actions.push(RouterAction::StartTimer(centiseconds(self.skew_time())));
        } else if !self.config.preempt || advertisement.priority >= self.config.priority {
            self.active_advertisement_interval = advertisement.max_advertise_interval;
            actions.push(self.start_active_down_timer());
        }
    }

    fn handle_advertisement_as_active(
        &mut self,
        advertisement: &Advertisement,
        sender_is_higher: bool,
        actions: &mut Vec<RouterAction>,
    ) {
        let own_priority = self.config.priority;
        let sender_has_precedence = advertisement.priority > own_priority
            || (advertisement.priority == own_priority && sender_is_higher);
        if advertisement.priority != SHUTDOWN_PRIORITY && sender_has_precedence {
            self.active_advertisement_interval = advertisement.max_advertise_interval;
            self.become_backup(actions);
        } else {
            // An immediate advertisement makes a sender without precedence become a backup.
            self.advertise_and_restart_timer(actions);
        }
    }

    /// Returns Skew_Time in hundredths of a second. It is shortest for the router with the highest priority,
    /// which therefore takes over first.
    fn skew_time(&self) -> u32 {
        (256 - u32::from(self.config.priority)) * u32::from(self.active_advertisement_interval) / 256
    }

    /// Returns the action that starts the Active_Down_Timer.
    fn start_active_down_timer(&self) -> RouterAction {
        let active_down_interval = 3 * u32::from(self.active_advertisement_interval) + self.skew_time();
        RouterAction::StartTimer(centiseconds(active_down_interval))
    }

    /// Returns the action that starts the Adver_Timer.
    fn start_advertisement_timer(&self) -> RouterAction {
        RouterAction::StartTimer(centiseconds(u32::from(self.config.advertisement_interval)))
    }

    fn advertise(&self, priority: u8) -> RouterAction {
        RouterAction::Send(Advertisement {
            virtual_router_id: self.config.virtual_router_id,
            priority,
            max_advertise_interval: self.config.advertisement_interval,
            addresses: self.config.addresses.clone(),
        })
    }

    fn advertise_and_restart_timer(&self, actions: &mut Vec<RouterAction>) {
        actions.push(self.advertise(self.config.priority));
        actions.push(self.start_advertisement_timer());
    }

    fn become_active(&mut self, actions: &mut Vec<RouterAction>) {
        actions.push(self.advertise(self.config.priority));
        self.enter_state(RouterState::Active, actions);
        actions.push(self.start_advertisement_timer());
    }

    fn become_backup(&mut self, actions: &mut Vec<RouterAction>) {
        self.enter_state(RouterState::Backup, actions);
        actions.push(self.start_active_down_timer());
    }

    fn enter_state(&mut self, state: RouterState, actions: &mut Vec<RouterAction>) {
        self.state = state;
        actions.push(RouterAction::EnterState(state));
    }
}
