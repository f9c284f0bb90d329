//! Convergence of membership views: after the end of a fault, all views become correct within a bound, and no
//! running member remains recorded as dead.

mod simulated_fleet;

use std::time::Duration;

use ashtide_fleet::{MemberState, Membership, ViewChange, ViewConfig};
use simulated_fleet::{FLEET_ID, SimulatedFleet, address, ms};

fn converged_fleet(size: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(size, seed);
    fleet.converge(ms(30_000));
    fleet.run(ms(2_000));
    fleet.changes.clear();
    fleet
}

/// Returns the recorded deaths as pairs of the observer's number and the dead member's address.
fn deaths(fleet: &SimulatedFleet) -> Vec<(usize, std::net::SocketAddr)> {
    let dead = fleet.changes.iter().filter_map(|&(_, observer, change)| match change {
        ViewChange::Dead(member) => Some((observer, member.address)),
        _ => None,
    });
    dead.collect()
}

/// Returns the state of `member` in the view of `observer`.
fn state_seen_by(fleet: &SimulatedFleet, observer: usize, member: usize) -> Option<MemberState> {
    let mut statuses = fleet.members[observer].as_ref()?.members();
    statuses.find(|status| status.member.address == address(member)).map(|status| status.state)
}

#[test]
fn members_join_through_a_seed_with_30_percent_datagram_loss() {
    for (size, loss) in [(2, 0.0), (9, 0.0), (30, 0.0), (9, 0.3)] {
        let mut fleet = SimulatedFleet::new(size, 11);
        fleet.loss = loss;
        let took = fleet.converge(ms(30_000));
        assert!(loss > 0.0 || took < ms(20_000), "{size} members took {took:?}");
    }
}

#[test]
fn a_killed_member_is_declared_dead_by_all_and_alive_after_its_restart() {
    for seed in 0..4 {
        let mut fleet = converged_fleet(9, seed);
        fleet.kill(4);
        fleet.converge(ms(20_000));
        assert_eq!(deaths(&fleet).len(), 8, "each of the other 8 members records one death");
        fleet.start(4, 1_030_000);
        fleet.converge(ms(20_000));
        let false_deaths: u64 =
            fleet.members.iter().flatten().map(|member| member.metrics().false_deaths).sum();
        assert_eq!(false_deaths, 0, "a restart does not count as a false death");
    }
}

#[test]
fn a_restart_before_detection_replaces_the_incarnation_without_a_death() {
    let mut fleet = converged_fleet(7, 3);
    fleet.start(2, 1_010_000);
    fleet.converge(ms(20_000));
    assert!(deaths(&fleet).is_empty(), "{:?}", deaths(&fleet));
}

#[test]
fn a_member_whose_clock_was_set_back_rejoins() {
    for seed in 0..3 {
        let mut fleet = converged_fleet(7, seed);
        fleet.kill(2);
        fleet.run(ms(700));
        fleet.start(2, 400_000);
        fleet.converge(ms(40_000));
    }
}

#[test]
fn partitions_merge_after_healing() {
    for seed in 0..4 {
        let mut fleet = converged_fleet(5, seed);
        fleet.partition(&[0, 1, 2], &[3, 4]);
        fleet.run(ms(20_000));
        assert_eq!(
            (state_seen_by(&fleet, 0, 3), state_seen_by(&fleet, 4, 1)),
            (Some(MemberState::Dead), Some(MemberState::Dead))
        );
        assert_eq!(
            state_seen_by(&fleet, 3, 4),
            Some(MemberState::Alive),
            "members of the same partition remain alive"
        );
        fleet.blocked_links.clear();
        fleet.converge(ms(20_000));
    }
}

fn member_without_seeds(number: usize, incarnation: u64, now: Duration) -> Membership {
    Membership::new(ViewConfig::new(FLEET_ID, 2), address(number), incarnation, vec![], number as u64, now)
}

#[test]
fn a_restarted_member_without_seeds_is_found_by_its_peer() {
    let mut fleet = converged_fleet(2, 1);
    // The restarted member has no peers and sends no announcements. Its peer continues to probe the previous
    // incarnation.
    fleet.members[1] = Some(member_without_seeds(1, 1_050_000, fleet.now));
    fleet.converge(ms(2_000));
    assert!(deaths(&fleet).is_empty());
}

#[test]
fn two_members_without_seeds_reconnect_after_a_partition() {
    let mut fleet = SimulatedFleet::new(2, 1);
    fleet.converge(ms(10_000));
    for number in [0, 1] {
        fleet.members[number] = Some(member_without_seeds(number, 1_050_000, fleet.now));
        fleet.converge(ms(10_000));
    }
    fleet.partition(&[0], &[1]);
    fleet.run(ms(30_000));
    assert_eq!(deaths(&fleet).len(), 2);
    fleet.blocked_links.clear();
    fleet.converge(ms(5_000));
}

#[test]
fn a_link_blocked_in_one_or_both_directions_causes_no_death() {
    for seed in 0..4 {
        let mut fleet = converged_fleet(7, seed);
        fleet.blocked_links.insert((1, 5));
        if seed % 2 == 0 {
            fleet.blocked_links.insert((5, 1));
        }
        fleet.run(ms(40_000));
        assert!(
            deaths(&fleet).is_empty(),
            "deaths although other members reach both ends of the link: {:?}",
            deaths(&fleet)
        );
        fleet.converge(ms(3_000));
    }
}

#[test]
fn a_stalled_member_declares_no_deaths_and_recovers() {
    for seed in 0..4 {
        let mut fleet = converged_fleet(7, seed);
        fleet.stalled.insert(3, Vec::new());
        fleet.run(ms(3_000));
        fleet.resume(3);
        fleet.converge(ms(12_000));
        let deaths_seen_by_3: Vec<_> =
            deaths(&fleet).into_iter().filter(|&(observer, _)| observer == 3).collect();
        assert!(deaths_seen_by_3.is_empty(), "{deaths_seen_by_3:?}");
        let stalls = fleet.members[3].as_ref().map(|member| member.metrics().stalls);
        assert_eq!(stalls, Some(1));
    }
}

#[test]
fn views_converge_after_a_long_stall() {
    let mut fleet = converged_fleet(7, 1);
    fleet.stalled.insert(3, Vec::new());
    fleet.run(ms(30_000));
    assert_eq!(
        deaths(&fleet).iter().filter(|&&(_, dead)| dead == address(3)).count(),
        6,
        "the other 6 members declare the stalled member dead"
    );
    fleet.resume(3);
    fleet.converge(ms(20_000));
    assert!(
        deaths(&fleet).iter().all(|&(observer, _)| observer != 3),
        "the stalled member declares no deaths"
    );
}

#[test]
fn a_member_that_leaves_is_not_declared_dead() {
    let mut fleet = converged_fleet(7, 5);
    fleet.leave(2);
    fleet.converge(ms(10_000));
    fleet.run(ms(5_000));
    assert!(deaths(&fleet).is_empty(), "{:?}", deaths(&fleet));
    for number in [0, 1, 3, 4, 5, 6] {
        assert_eq!(state_seen_by(&fleet, number, 2), Some(MemberState::Left), "seen by {number}");
    }
}

#[test]
fn a_member_that_leaves_after_a_stall_still_announces_it() {
    for seed in 0..3 {
        let mut fleet = converged_fleet(3, seed);
        fleet.stalled.insert(2, Vec::new());
        fleet.run(ms(15_000));
        fleet.resume(2);
        fleet.run(ms(150));
        fleet.leave(2);
        fleet.run(ms(10_000));
        for number in [0, 1] {
            assert_eq!(
                state_seen_by(&fleet, number, 2),
                Some(MemberState::Left),
                "seen by {number}, seed {seed}"
            );
        }
    }
}

#[test]
fn views_converge_after_a_join_during_datagram_loss() {
    for seed in 0..3 {
        let mut fleet = converged_fleet(7, seed);
        fleet.loss = 0.3;
        fleet.duplication = 0.1;
        fleet.start(7, 1_050_000);
        fleet.run(ms(30_000));
        fleet.loss = 0.0;
        fleet.converge(ms(15_000));
    }
}

#[test]
fn traffic_of_a_member_does_not_grow_with_the_fleet() {
    let send_rate = |size: usize| {
        let mut fleet = converged_fleet(size, 2);
        fleet.measure_send_rate(10)
    };
    let small = send_rate(10);
    let large = send_rate(60);
    assert!(
        large.datagrams_per_second < 16.0 && large.datagrams_per_second < 1.5 * small.datagrams_per_second,
        "send rates with 10 and 60 members: {small:?}, {large:?}"
    );
    assert!(large.bytes_per_second < 4096.0, "send rate with 60 members: {large:?}");
}

#[test]
fn sixty_members_converge_within_eight_seconds_after_each_fault() {
    let mut fleet = converged_fleet(60, 1);
    let limit = ms(8_000);
    let tenth = [5, 15, 25, 35, 45, 55];
    tenth.iter().for_each(|&number| fleet.kill(number));
    let took = fleet.run_until_converged(0.99, limit);
    assert!(took.is_some(), "a tenth killed: {:.2} of the views correct", fleet.converged_fraction());
    tenth.iter().for_each(|&number| fleet.start(number, 1_200_000));
    let took = fleet.run_until_converged(0.99, limit);
    assert!(took.is_some(), "a tenth restarted: {:.2} of the views correct", fleet.converged_fraction());
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..60).partition(|number| number % 2 == 0);
    fleet.partition(&even, &odd);
    fleet.run(ms(15_000));
    fleet.blocked_links.clear();
    let took = fleet.run_until_converged(0.99, limit);
    assert!(took.is_some(), "partition healed: {:.2} of the views correct", fleet.converged_fraction());
}

#[test]
fn false_deaths_are_short_with_30_percent_datagram_loss() {
    for size in [9, 30] {
        let mut fleet = converged_fleet(size, 4);
        fleet.loss = 0.3;
        fleet.run(ms(30_000));
        let false_deaths = fleet.false_deaths();
        let (count, longest) = (false_deaths.count, false_deaths.longest);
        assert!(longest <= ms(5_000), "{count} false deaths among {size} members, the longest {longest:?}");
        // A refuted suspicion must not force the member to rejoin with a new incarnation.
        let rejoins = fleet.members.iter().flatten().map(|member| member.metrics().own_deaths).sum::<u64>();
        assert!(rejoins <= count as u64, "{rejoins} rejoins for {count} deaths");
        // The death of a killed member is still detected.
        fleet.kill(3);
        fleet.run(ms(20_000));
        let observers = deaths(&fleet).iter().filter(|&&(_, dead)| dead == address(3)).count();
        assert_eq!(observers, size - 1, "observers of the death among {size} members");
    }
}

#[test]
fn partitions_that_never_had_contact_merge() {
    let mut fleet = SimulatedFleet::new(8, 6);
    // Each partition has one of the two seeds.
    fleet.partition(&[0, 2, 4, 6], &[1, 3, 5, 7]);
    fleet.run(ms(10_000));
    assert_eq!(fleet.converged_fraction(), 0.0);
    fleet.blocked_links.clear();
    fleet.converge(ms(20_000));
}
