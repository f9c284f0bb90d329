//! Selection of a server: of two drawn at random, the one with fewer of this gateway's own connections.
//!
//! The method is that of Luczak and McDiarmid, "On the power of two choices: balls and bins in continuous time" (2005).

use std::cmp::Reverse;

use rand::seq::IndexedRandom;

use super::Balancer;
use super::interface::{GroupId, ServerId, Time};
use super::request::PendingRequest;
use super::server::Server;

/// Samples taken in search of an eligible server before the whole list is walked.
const MAX_SAMPLES: u32 = 6;
/// A server that holds connections of the group is kept up to this multiple of the other candidate's load.
const AFFINITY_LOAD_FACTOR: f64 = 2.0;
/// Where fewer connections of this gateway fill a server, groups are placed by rendezvous hashing: drawn by each gateway
/// on its own, a group would spread over all servers.
const MAX_CONNECTIONS_FOR_HASHING: f64 = 2.0;
/// A server of another zone counts as this much fuller, where crossing zones has a price.
const CROSS_ZONE_LOAD_FACTOR: f64 = 1.25;

/// How good a candidate a ready server is for a request; the first is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CandidateRank {
    Preferred,
    /// Its responses are slow, or it sheds load.
    Loaded,
    /// The request has been attempted there.
    AlreadyTried,
    /// Used where nothing better is there.
    Ejected,
    /// Never used: the request is queued, and rejected in the end, so that those placed there are served.
    Saturated,
}

#[derive(Clone, Copy)]
enum Pool {
    Ready,
    /// Ready servers that are warming up.
    Warming,
}

/// The two servers that are compared.
struct Candidates {
    first: ServerId,
    second: ServerId,
}

/// Numbers of the samples, by which rendezvous hashing tells them apart.
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
    /// Selects a server for a request; none where no server is eligible.
    ///
    /// Of two eligible servers drawn with replacement, the less loaded one is taken, and the first of equal ones. A
    /// warming server that is admitted a connection takes the place of one of them: most counts may be zero, and nothing
    /// else sets it apart. Samples are drawn from all zones: the only server of the own zone would get most of all.
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

    /// A server that was uncordoned and has had no connection since.
    fn uncordoned_server(&self, now: Time, request: &PendingRequest) -> Option<ServerId> {
        let mut warming = self.endpoints.warming().iter().copied();
        warming
            .find(|&id| self.server(id).wants_first_connection(now) && self.may_execute_on(now, request, id))
    }

    /// Samples servers until one is of the best rank and admitted a connection.
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

    /// The request's group, where servers are sampled by its hash.
    fn hashed_group(&self, request: &PendingRequest) -> Option<GroupId> {
        let is_hashed = self.typical_load.connections_when_full() < MAX_CONNECTIONS_FOR_HASHING;
        request.group.filter(|_| is_hashed)
    }

    fn rendezvous_hash(&self, group: GroupId, server: ServerId, round: u32) -> u64 {
        group.rendezvous_hash(self.server(server).endpoint.hash_key, round)
    }

    /// The eligible server that holds most of this gateway's connections of the request's group.
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

    /// Draws two servers from all that are eligible, or the second one where there is a first.
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

    /// The servers of the best rank there is that can be sent the request now. One that is only not admitted a connection
    /// yet keeps the request from ejected ones: it is queued for that one.
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
            || server.shedding.is_shedding_or_full(now, server.total_connections())
        {
            CandidateRank::Loaded
        } else {
            CandidateRank::Preferred
        }
    }

    /// What selection compares: own connections, and one more, against the listed weight. A live weight also follows,
    /// seconds late, what all gateways hold there, which decides where most own counts are equal.
    fn relative_load(&self, id: ServerId) -> f64 {
        let server = self.server(id);
        let load = f64::from(server.total_connections() + 1) / server.endpoint.weight;
        let is_priced = self.settings.prices.cross_zone > 0.0 && server.endpoint.zone != self.settings.zone;
        load * if is_priced { CROSS_ZONE_LOAD_FACTOR } else { 1.0 }
    }

    /// Whether a ready server gets nothing while others are eligible.
    pub fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        self.is_listed(server)
            && self.candidate_rank(now, &PendingRequest::default(), self.server(server))
                > CandidateRank::Preferred
    }
}
