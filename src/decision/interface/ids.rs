//! Ids of the objects that the decision module handles.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Id of a server. The embedder numbers servers in the order in which its gateway first learns of them.
    ServerId(u32);
    /// Id of a request and of the connection established from it. A gateway uses each id only once.
    RequestId(u32);
    /// Id of a zone, which may only be compared for equality.
    ZoneId(u32);
    /// Id of a machine kind, which may only be compared for equality.
    KindId(u32);
    /// Id of a cell: a small group of servers that share the idempotency keys they have seen.
    CellId(u32);
    /// Id of a request class: the index of the class in [`Settings::classes`](super::Settings::classes).
    ClassId(u32);
    /// Id of a tenant: the index of the tenant in [`Settings::tenants`](super::Settings::tenants).
    TenantId(u32);
    /// Id of a group of connections that share work on their server.
    GroupId(u32);
    /// Id of a gateway in the fleet.
    GatewayId(u32);
    /// Token of a timer, assigned by the decision module.
    TimerToken(u64);
}

impl GroupId {
    /// Returns the group's weight for the server with this hash, for rendezvous hashing.
    ///
    /// The weight is computed with the finalizer of SplitMix64, so that it is equal at all gateways,
    /// independent of the compiler and libraries they are built with.
    pub fn rendezvous_hash(self, server_hash: u32, round: u32) -> u64 {
        let salt = u64::from(round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = ((u64::from(self.0) << 32) | u64::from(server_hash)) ^ salt;
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
