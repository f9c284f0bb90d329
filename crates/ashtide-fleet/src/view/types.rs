//! The configuration, member states, changes and metrics of a membership view.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::frame::{DatagramCount, DecodeError};
use crate::member::Member;

/// The configuration of a membership view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewConfig {
    /// The ID of the fleet. Datagrams of other fleets are rejected.
    pub fleet_id: u32,
    /// The approximate number of members. The suspicion timeout grows with its logarithm.
    pub expected_members: u32,
    /// The maximum number of datagrams that this member sends per second, whatever the size of the fleet.
    pub datagrams_per_second: u32,
    /// The maximum number of datagrams that this member sends at once.
    pub burst: u32,
}

impl ViewConfig {
    /// Creates a configuration with the default budget: 24 datagrams per second, 48 at once.
    pub fn new(fleet_id: u32, expected_members: u32) -> Self {
        Self { fleet_id, expected_members, datagrams_per_second: 24, burst: 48 }
    }
}

/// The state of a member in the view of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member has not answered a probe, and the time for a refutation has not expired.
    Suspect,
    /// The member left deliberately.
    Left,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// The status of one member in the local view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member that the status describes.
    pub member: Member,
    /// The state of the member.
    pub state: MemberState,
    /// The number of suspicions that the member has refuted in this incarnation.
    pub refutations: u16,
    /// The local time at which the member last came up or went down.
    pub since: Duration,
}

/// A change of the membership view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewChange {
    /// A member is up.
    Up(Member),
    /// A member left deliberately.
    Left(Member),
    /// A member was declared dead.
    Dead(Member),
    /// This member rejoined with a new incarnation: other members had declared it dead, or had recorded a
    /// later incarnation of its address.
    Rejoined(Member),
    /// This process stalled for the given time. It suspects no member because of the stall.
    Stalled(Duration),
}

/// Counters of a membership view since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewMetrics {
    /// The datagrams sent.
    pub sent: DatagramCount,
    /// The datagrams received and accepted.
    pub received: DatagramCount,
    /// The number of datagrams dropped because the budget was exhausted or the send queue was full.
    pub dropped: u64,
    /// The number of datagrams rejected, by reason.
    pub rejected: BTreeMap<DecodeError, u64>,
    /// The number of times this member recorded another member as dead.
    pub deaths: u64,
    /// The number of deaths after which the member returned with the same incarnation or the next one, which
    /// shows that its process was running all the time.
    pub false_deaths: u64,
    /// The number of times other members declared this member dead.
    pub own_deaths: u64,
    /// The number of stalls of this process.
    pub stalls: u64,
}
