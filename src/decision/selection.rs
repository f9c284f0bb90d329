//! Selection of a server: of two servers sampled at random, the one with fewer of this gateway's own
//! connections.
//!
//! The method is that of Luczak and McDiarmid, "On the power of two choices: balls and bins in continuous
//! time" (2005).

use std::cmp::Reverse;

use rand::seq::IndexedRandom;

use super::Balancer;
use super::interface::{GroupId, ServerId, Time};
use super::request::PendingRequest;
use super::server::Server;

/// Number of samples taken in search of an eligible server before the entire endpoint list is searched.
const MAX_SAMPLES: u32 = 6;
/// Multiple of the other candidate's load up to which a server with affinity to the request's group is
/// preferred.
const AFFINITY_LOAD_FACTOR: f64 = 2.0;
/// Number of this gateway's connections that fill a server, below which groups are placed by rendezvous
/// hashing. With so few connections, a group would spread over all servers if each gateway sampled servers
/// independently.
const MAX_CONNECTIONS_FOR_HASHING: f64 = 2.0;
/// Factor applied in comparisons to the load of a server in another zone, if crossing zones has a price.
const CROSS_ZONE_LOAD_FACTOR: f64 = 1.25;

/// Rank of a ready server as a candidate for a request, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CandidateRank {
    /// No reason to avoid the server is known.
    Preferred,
    /// The server's responses are slow, it sheds load, or it is at capacity.
    Loaded,
    /// The request has been attempted on the server before.
    AlreadyTried,
    /// The server is ejected. It is used only if there is no better candidate.
    Ejected,
    /// The server is saturated and is never used. If there is no other server, the request is queued and in
    /// the end rejected, so that the connections already on the server are served.
    Saturated,
}

/// Set of servers from which samples are taken.
#[derive(Clone, Copy)]
enum Pool {
    /// All ready servers.
    Ready,
    /// Ready servers that are warming up.
    Warming,
}

/// Pair of servers for a comparison of loads.
struct Candidates {
    first: ServerId,
    second: ServerId,
}

/// Range of round numbers for the samples of one candidate. Rendezvous hashing takes the round number as
/// input, so that different rounds yield different samples.
#[derive(Clone, Copy)]
enum SampleRounds {
    First,
    Second,
}

impl SampleRounds {
    fn start(self) -> u32 {
        match self {
            SampleRounds::First => 0,
            SampleRounds::Second => MAX_SAMPLES,
        }
    }
}

impl Balancer {
    /// Selects a server for a request; returns `None` if no server is eligible.
    ///
    /// Two eligible servers are sampled with replacement. The less loaded one is selected, or the first one
    /// if both have the same load. A warming server to which a connection is admitted replaces one of the two
    /// samples, because its low connection count alone does not distinguish it if most servers have a count
    /// of zero. Samples are taken from all zones: with a preference for the gateway's own zone, the only
    /// server of a zone would receive most requests.
    pub(super) fn select_server(&mut self, now: Time, request: &PendingRequest) -> Option<ServerId> {
        self.update_typical_load(now);
        if let Some(uncordoned) = self.uncordoned_server(now, request) {
            return Some(uncordoned);
        }
        let affinity = self.affinity_server(now, request);
        let warming = self.sample_candidate(now, request, Pool::Warming, SampleRounds::First);
        if affinity.is_none() && warming.is_some_and(|id| self.is_below_fair_share(now, id)) {
            return warming;
        }
        let first =
            affinity.or_else(|| self.sample_candidate(now, request, Pool::Ready, SampleRounds::First));
        let second =
            warming.or_else(|| self.sample_candidate(now, request, Pool::Ready, SampleRounds::Second));
        let Candidates { first, second } = match (first, second) {
            (Some(first), Some(second)) => Candidates { first, second },
            (first, _) => self.draw_eligible(now, request, first)?,
        };
        let has_affinity = affinity.is_some() || self.hashed_group(request).is_some();
        let factor = if has_affinity { AFFINITY_LOAD_FACTOR } else { 1.0 };
        let is_second_better = factor * self.relative_load(second) < self.relative_load(first);
        Some(if is_second_better { second } else { first })
    }

    /// Returns a server that was uncordoned and has had no connection since; `None` if there is no such
    /// server.
    fn uncordoned_server(&self, now: Time, request: &PendingRequest) -> Option<ServerId> {
        let mut warming = self.endpoints.warming().iter().copied();
        warming
            .find(|&id| self.server(id).is_due_first_connection(now) && self.may_execute_on(now, request, id))
    }

    /// Samples servers of a pool until one has the best rank and admits a connection. Returns `None` after
    /// [`MAX_SAMPLES`] samples.
    fn sample_candidate(
        &mut self,
        now: Time,
        request: &PendingRequest,
        pool: Pool,
        rounds: SampleRounds,
    ) -> Option<ServerId> {
        let hashed_group = self.hashed_group(request);
        for round in rounds.start()..rounds.start() + MAX_SAMPLES {
            let servers = match pool {
                Pool::Ready => self.endpoints.ready(),
                Pool::Warming => self.endpoints.warming(),
            };
            let id = *match hashed_group {
                Some(group) => servers.iter().max_by_key(|id| self.rendezvous_hash(group, **id, round)),
                None => servers.choose(&mut self.rng),
            }?;
            let is_in_pool = match pool {
                Pool::Ready => true,
                Pool::Warming => self.is_warming_up(now, id),
            };
            if self.candidate_rank(now, request, self.server(id)) == CandidateRank::Preferred
                && is_in_pool
                && self.may_execute_on(now, request, id)
                && self.admits_connection(now, id)
            {
                return Some(id);
            }
        }
        None
    }

    /// Returns the request's group if its servers are sampled by rendezvous hashing, and `None` otherwise.
    fn hashed_group(&self, request: &PendingRequest) -> Option<GroupId> {
        let is_hashed = self.typical_load.connections_when_full() < MAX_CONNECTIONS_FOR_HASHING;
        request.group.filter(|_| is_hashed)
    }

    fn rendezvous_hash(&self, group: GroupId, server: ServerId, round: u32) -> u64 {
        group.rendezvous_hash(self.server(server).endpoint.hash_key, round)
    }

    /// Returns the eligible server with most of this gateway's connections of the request's group; `None` if
    /// there is no such server or it does not admit a connection.
    fn affinity_server(&mut self, now: Time, request: &PendingRequest) -> Option<ServerId> {
        let shares = self.groups.servers_of(request.group?);
        let eligible = shares.filter(|share| {
            let server = self.server(share.server);
            server.is_ready()
                && self.candidate_rank(now, request, server) == CandidateRank::Preferred
                && self.may_execute_on(now, request, share.server)
        });
        let largest = eligible.max_by_key(|share| (share.connections, Reverse(share.server)))?.server;
        self.admits_connection(now, largest).then_some(largest)
    }

    /// Draws two servers at random from all eligible ones, or only the second one if `first` is given.
    /// Returns `None` if no server is eligible.
    fn draw_eligible(
        &mut self,
        now: Time,
        request: &PendingRequest,
        first: Option<ServerId>,
    ) -> Option<Candidates> {
        let eligible = self.eligible_servers(now, request);
        let first = match first {
            Some(first) => first,
            None => *eligible.choose(&mut self.rng)?,
        };
        let second = *eligible.choose(&mut self.rng)?;
        Some(Candidates { first, second })
    }

    /// Returns the servers of the best available rank to which the request can be sent now. While a better
    /// server doesn't admit a connection yet, ejected servers are not eligible: the request is queued for the
    /// better server.
    fn eligible_servers(&mut self, now: Time, request: &PendingRequest) -> Vec<ServerId> {
        let mut best = CandidateRank::Saturated;
        let mut eligible = Vec::new();
        for index in 0..self.endpoints.ready().len() {
            let id = self.endpoints.ready()[index];
            let rank = self.candidate_rank(now, request, self.server(id));
            if rank == CandidateRank::Saturated || rank > best || !self.may_execute_on(now, request, id) {
                continue;
            }
            let is_admitted = self.admits_connection(now, id);
            let effective_rank = if is_admitted { rank } else { rank.max(CandidateRank::AlreadyTried) };
            if effective_rank < best {
                best = effective_rank;
                eligible.clear();
            }
            if is_admitted {
                eligible.push(id);
            }
        }
        eligible
    }

    /// Returns the rank of a ready server as a candidate for a request.
    pub(super) fn candidate_rank(
        &self,
        now: Time,
        request: &PendingRequest,
        server: &Server,
    ) -> CandidateRank {
        if server.response_level.is_saturated(now) {
            CandidateRank::Saturated
        } else if server.ejection.is_ejected(now, server.open_connections()) {
            CandidateRank::Ejected
        } else if request.was_attempted_on(server.endpoint.server) {
            CandidateRank::AlreadyTried
        } else if server.response_level.is_slow(now)
            || server.shedding.is_shedding_or_at_capacity(now, server.total_connections())
        {
            CandidateRank::Loaded
        } else {
            CandidateRank::Preferred
        }
    }

    /// Returns the load that is compared between candidates: this gateway's own connections plus one, divided
    /// by the weight in the endpoint list. A live weight also reflects, some seconds late, the connections of
    /// all gateways, which is decisive if most of the own counts are equal.
    fn relative_load(&self, id: ServerId) -> f64 {
        let server = self.server(id);
        let load = f64::from(server.total_connections() + 1) / server.endpoint.weight;
        let is_priced = self.settings.prices.cross_zone > 0.0 && server.endpoint.zone != self.settings.zone;
        load * if is_priced { CROSS_ZONE_LOAD_FACTOR } else { 1.0 }
    }

    /// Checks whether a ready server receives no connections while others are eligible.
    pub fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        self.is_listed(server)
            && self.candidate_rank(now, &PendingRequest::default(), self.server(server))
                > CandidateRank::Preferred
    }
}
