//! What a view is configured with, and what it shows.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::frame::{DatagramCount, DecodeError};
use crate::member::Member;

/// The configuration of a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewConfig {
    /// The tier's key: datagrams of other tiers are rejected.
    pub fleet_id: u32,
    /// About how many members there are; how long a suspicion lasts grows as its logarithm.
    pub expected_members: u32,
    /// Datagrams a second that this member sends at most, whatever the size of the tier.
    pub datagrams_per_second: u32,
    /// Datagrams that it sends at once at most.
    pub burst: u32,
}

impl ViewConfig {
    /// The default budget: 24 datagrams a second, 48 at once.
    pub fn new(fleet_id: u32, expected_members: u32) -> Self {
        Self { fleet_id, expected_members, datagrams_per_second: 24, burst: 48 }
    }
}

/// The state of a member, as another one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered, and has time to refute that it is dead.
    Suspect,
    /// It left on purpose.
    Left,
    /// It has not refuted in time.
    Dead,
}

/// One member as this one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Which.
    pub member: Member,
    /// Its state.
    pub state: MemberState,
    /// How often it has refuted a suspicion in this incarnation.
    pub refutations: u16,
    /// Since when it is up or down, by this member's time.
    pub since: Duration,
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewChange {
    /// A member is there.
    Up(Member),
    /// A member has left.
    Left(Member),
    /// A member is dead.
    Dead(Member),
    /// Others had declared this member dead; it has rejoined as this.
    Rejoined(Member),
    /// This process stalled for so long; it suspects nobody for it.
    Stalled(Duration),
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ViewMetrics {
    /// Datagrams sent.
    pub sent: DatagramCount,
    /// Datagrams received.
    pub received: DatagramCount,
    /// Datagrams that the budget or the queue had no room for.
    pub dropped: u64,
    /// Datagrams rejected, by reason.
    pub rejected: BTreeMap<DecodeError, u64>,
    /// Members that were declared dead here.
    pub deaths: u64,
    /// Of these, members that came back in the same incarnation or the next number: they were alive.
    pub false_deaths: u64,
    /// How often others declared this member dead.
    pub own_deaths: u64,
    /// Stalls of this process.
    pub stalls: u64,
}
