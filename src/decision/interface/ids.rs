//! Ids of all that the module decides about.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A server, numbered by the embedder in the order in which its gateway first knew of it.
    ServerId(u32);
    /// A request, and the connection that comes of it. Never used twice by one gateway.
    RequestId(u32);
    /// A zone; only "the same or not" has a meaning.
    ZoneId(u32);
    /// A kind of machine; only "the same or not" has a meaning.
    KindId(u32);
    /// A small group of servers that share which idempotency keys they have seen.
    CellId(u32);
    /// A request class: its index in [`Settings::classes`](super::Settings::classes).
    ClassId(u32);
    /// A tenant: its index in [`Settings::tenants`](super::Settings::tenants).
    TenantId(u32);
    /// A group of connections that share work on their server.
    GroupId(u32);
    /// A gateway of the fleet.
    GatewayId(u32);
    /// A timer's token, chosen by the module.
    TimerToken(u64);
}

impl GroupId {
    /// Returns the group's weight of the server of this hash, for rendezvous hashing: the same at all gateways, whatever
    /// they are built with. The finalizer of SplitMix64.
    pub fn rendezvous_hash(self, server_hash: u32, round: u32) -> u64 {
        let salt = u64::from(round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = ((u64::from(self.0) << 32) | u64::from(server_hash)) ^ salt;
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
