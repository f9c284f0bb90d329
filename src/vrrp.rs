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
pub const OWNER: u8 = 255;

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router's number.
    pub router: u8,
    /// The sender's priority; 0 means that it leaves.
    pub priority: u8,
    /// The sender's interval, in hundredths of a second, below 4096.
    pub interval: u16,
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
        out.put_slice(&[VERSION_AND_TYPE, self.router, self.priority, addresses.len() as u8]);
        out.put_u16(self.interval & 0x0fff);
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
        Ok(Self { router, priority, interval, addresses })
    }
}

/// What a virtual router is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Its number, 1 to 255.
    pub router: u8,
    /// 1 to 254, or [`OWNER`].
    pub priority: u8,
    /// Hundredths of a second between advertisements, 1 to 4095.
    pub interval: u16,
    /// Whether it takes over from an active router of lower priority.
    pub preempt: bool,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// A router's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started.
    Initialize,
    /// Listens for the active router.
    Backup,
    /// Serves the virtual addresses.
    Active,
}

/// What the state machine asks of its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this to the other routers.
    Send(Advertisement),
    /// The state is now this.
    Enter(State),
    /// Call [`Machine::timer`] after this long, instead of what was asked before.
    Timer(Duration),
    /// No timer runs any more.
    NoTimer,
}

/// The state machine of section 6.4. `id` sets apart senders of one priority, as their primary
/// addresses do in the standard.
pub struct Machine {
    settings: Settings,
    state: State,
    /// The active router's interval, learnt from its packets.
    active_interval: u16,
}

fn hundredths(count: u32) -> Duration {
    Duration::from_millis(u64::from(count) * 10)
}

impl Machine {
    /// A router that has not started.
    pub fn new(settings: Settings) -> Self {
        let active_interval = settings.interval;
        Self { settings, state: State::Initialize, active_interval }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    fn advertisement(&self, priority: u8) -> Effect {
        let Settings { router, interval, ref addresses, .. } = self.settings;
        Effect::Send(Advertisement { router, priority, interval, addresses: addresses.clone() })
    }

    /// Lower priorities wait longer, so that the highest takes over first.
    fn skew(&self) -> u32 {
        (256 - u32::from(self.settings.priority)) * u32::from(self.active_interval) / 256
    }

    fn active_down(&self) -> Effect {
        Effect::Timer(hundredths(3 * u32::from(self.active_interval) + self.skew()))
    }

    fn enter(&mut self, state: State, out: &mut Vec<Effect>) {
        self.state = state;
        out.push(Effect::Enter(state));
    }

    fn become_active(&mut self, out: &mut Vec<Effect>) {
        out.push(self.advertisement(self.settings.priority));
        self.enter(State::Active, out);
        out.push(Effect::Timer(hundredths(u32::from(self.settings.interval))));
    }

    /// The startup event.
    pub fn start(&mut self, out: &mut Vec<Effect>) {
        if self.state != State::Initialize {
            return;
        }
        if self.settings.priority == OWNER {
            return self.become_active(out);
        }
        self.active_interval = self.settings.interval;
        self.enter(State::Backup, out);
        out.push(self.active_down());
    }

    /// The shutdown event: an active router says that it leaves, so that another takes over at once.
    pub fn stop(&mut self, out: &mut Vec<Effect>) {
        if self.state == State::Active {
            out.push(self.advertisement(0));
        }
        out.push(Effect::NoTimer);
        self.enter(State::Initialize, out);
    }

    /// The timer has run out.
    pub fn timer(&mut self, out: &mut Vec<Effect>) {
        match self.state {
            State::Initialize => {}
            State::Backup => self.become_active(out),
            State::Active => {
                out.push(self.advertisement(self.settings.priority));
                out.push(Effect::Timer(hundredths(u32::from(self.settings.interval))));
            }
        }
    }

    /// An advertisement of another router; `sender_is_higher` where its address is above ours.
    pub fn heard(&mut self, heard: &Advertisement, sender_is_higher: bool, out: &mut Vec<Effect>) {
        if heard.router != self.settings.router {
            return;
        }
        match self.state {
            State::Initialize => {}
            State::Backup if heard.priority == 0 => {
                out.push(Effect::Timer(hundredths(self.skew())));
            }
            State::Backup => {
                if !self.settings.preempt || heard.priority >= self.settings.priority {
                    self.active_interval = heard.interval;
                    out.push(self.active_down());
                }
            }
            State::Active if heard.priority == 0 => {
                out.push(self.advertisement(self.settings.priority));
                out.push(Effect::Timer(hundredths(u32::from(self.settings.interval))));
            }
            State::Active => {
                let ours = self.settings.priority;
                if heard.priority > ours || (heard.priority == ours && sender_is_higher) {
                    self.active_interval = heard.interval;
                    self.enter(State::Backup, out);
                    out.push(self.active_down());
                } else {
                    // RFC 9568 has the lesser one told at once, so that it steps down.
                    out.push(self.advertisement(ours));
                    out.push(Effect::Timer(hundredths(u32::from(self.settings.interval))));
                }
            }
        }
    }
}
