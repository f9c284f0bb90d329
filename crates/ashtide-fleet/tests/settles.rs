//! After any fault has ended, every view is the truth again within a bound; and nobody is held dead for ever.

mod cluster;

use std::time::Duration;

use ashtide_fleet::{MemberState, Membership, ViewChange, ViewConfig};
use cluster::{Cluster, address, ms};

fn settled(size: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(size, seed);
    cluster.settle(ms(30_000));
    cluster.run(ms(2_000));
    cluster.changes.clear();
    cluster
}

fn deaths(cluster: &Cluster) -> Vec<(usize, std::net::SocketAddr)> {
    let dead = cluster.changes.iter().filter_map(|&(_, by, change)| match change {
        ViewChange::Dead(member) => Some((by, member.address)),
        _ => None,
    });
    dead.collect()
}

/// How one member holds another.
fn state_seen_by(cluster: &Cluster, by: usize, other: usize) -> Option<MemberState> {
    let mut rows = cluster.fleets[by].as_ref()?.members();
    rows.find(|row| row.member.address == address(other)).map(|row| row.state)
}

#[test]
fn members_find_each_other_by_a_seed_with_a_third_of_datagrams_lost() {
    for (size, loss) in [(2, 0.0), (9, 0.0), (30, 0.0), (9, 0.3)] {
        let mut cluster = Cluster::new(size, 11);
        cluster.loss = loss;
        let took = cluster.settle(ms(30_000));
        assert!(loss > 0.0 || took < ms(20_000), "{size} members took {took:?}");
    }
}

#[test]
fn a_killed_member_is_dead_to_all_and_alive_again_after_its_restart() {
    for seed in 0..4 {
        let mut cluster = settled(9, seed);
        cluster.kill(4);
        cluster.settle(ms(20_000));
        assert_eq!(deaths(&cluster).len(), 8, "each sees one death");
        cluster.start(4, 1_030_000);
        cluster.settle(ms(20_000));
        let false_deaths: u64 = cluster.fleets.iter().flatten().map(|it| it.metrics().false_deaths).sum();
        assert_eq!(false_deaths, 0, "a restart is no false death");
    }
}

#[test]
fn a_member_that_restarts_before_it_is_missed_is_its_new_self() {
    let mut cluster = settled(7, 3);
    cluster.start(2, 1_010_000);
    cluster.settle(ms(20_000));
    assert!(deaths(&cluster).is_empty(), "{:?}", deaths(&cluster));
}

#[test]
fn a_member_whose_clock_was_set_back_rejoins() {
    for seed in 0..3 {
        let mut cluster = settled(7, seed);
        cluster.kill(2);
        cluster.run(ms(700));
        cluster.start(2, 400_000);
        cluster.settle(ms(40_000));
    }
}

#[test]
fn two_parts_merge_when_a_partition_heals() {
    for seed in 0..4 {
        let mut cluster = settled(5, seed);
        cluster.part(&[0, 1, 2], &[3, 4]);
        cluster.run(ms(20_000));
        assert_eq!(
            (state_seen_by(&cluster, 0, 3), state_seen_by(&cluster, 4, 1)),
            (Some(MemberState::Dead), Some(MemberState::Dead))
        );
        assert_eq!(state_seen_by(&cluster, 3, 4), Some(MemberState::Alive), "each part goes on");
        cluster.cut.clear();
        cluster.settle(ms(20_000));
    }
}

fn seedless(number: usize, generation: u64, now: Duration) -> Membership {
    Membership::new(
        ViewConfig::new(cluster::FLEET_ID, 2),
        address(number),
        generation,
        vec![],
        number as u64,
        now,
    )
}

#[test]
fn a_restarted_member_without_seeds_is_found_by_those_that_knew_it() {
    let mut cluster = settled(2, 1);
    // It knows nobody and asks nobody; the other goes on probing the life it knew.
    cluster.fleets[1] = Some(seedless(1, 1_050_000, cluster.now));
    cluster.settle(ms(2_000));
    assert!(deaths(&cluster).is_empty());
}

#[test]
fn two_members_without_seeds_probe_each_other_when_dead() {
    let mut cluster = Cluster::new(2, 1);
    cluster.settle(ms(10_000));
    for number in [0, 1] {
        cluster.fleets[number] = Some(seedless(number, 1_050_000, cluster.now));
        cluster.settle(ms(10_000));
    }
    cluster.part(&[0], &[1]);
    cluster.run(ms(30_000));
    assert_eq!(deaths(&cluster).len(), 2);
    cluster.cut.clear();
    cluster.settle(ms(5_000));
}

#[test]
fn a_link_that_is_cut_kills_nobody_one_way_or_both() {
    for seed in 0..4 {
        let mut cluster = settled(7, seed);
        cluster.cut.insert((1, 5));
        if seed % 2 == 0 {
            cluster.cut.insert((5, 1));
        }
        cluster.run(ms(40_000));
        assert!(deaths(&cluster).is_empty(), "others reach both: {:?}", deaths(&cluster));
        cluster.settle(ms(3_000));
    }
}

#[test]
fn a_member_that_stalls_accuses_nobody_and_is_back_soon() {
    for seed in 0..4 {
        let mut cluster = settled(7, seed);
        cluster.stalled.insert(3, Vec::new());
        cluster.run(ms(3_000));
        cluster.wake(3);
        cluster.settle(ms(12_000));
        let by_it: Vec<_> = deaths(&cluster).into_iter().filter(|&(by, _)| by == 3).collect();
        assert!(by_it.is_empty(), "{by_it:?}");
        let stalls = cluster.fleets[3].as_ref().map(|it| it.metrics().stalls);
        assert_eq!(stalls, Some(1));
    }
}

#[test]
fn a_long_stall_ends_in_the_same_view_for_all() {
    let mut cluster = settled(7, 1);
    cluster.stalled.insert(3, Vec::new());
    cluster.run(ms(30_000));
    assert_eq!(deaths(&cluster).iter().filter(|it| it.1 == address(3)).count(), 6, "it is missed");
    cluster.wake(3);
    cluster.settle(ms(20_000));
    assert!(deaths(&cluster).iter().all(|&(by, _)| by != 3), "it accuses nobody");
}

#[test]
fn one_that_leaves_is_not_missed() {
    let mut cluster = settled(7, 5);
    cluster.leave(2);
    cluster.settle(ms(10_000));
    cluster.run(ms(5_000));
    assert!(deaths(&cluster).is_empty(), "{:?}", deaths(&cluster));
    for number in [0, 1, 3, 4, 5, 6] {
        assert_eq!(state_seen_by(&cluster, number, 2), Some(MemberState::Left), "by {number}");
    }
}

#[test]
fn a_member_that_leaves_after_a_stall_still_announces_it() {
    for seed in 0..3 {
        let mut cluster = settled(3, seed);
        cluster.stalled.insert(2, Vec::new());
        cluster.run(ms(15_000));
        cluster.wake(2);
        cluster.run(ms(150));
        cluster.leave(2);
        cluster.run(ms(10_000));
        for number in [0, 1] {
            assert_eq!(
                state_seen_by(&cluster, number, 2),
                Some(MemberState::Left),
                "by {number}, seed {seed}"
            );
        }
    }
}

#[test]
fn a_join_during_loss_settles_and_no_false_death_stays() {
    for seed in 0..3 {
        let mut cluster = settled(7, seed);
        cluster.loss = 0.3;
        cluster.repeat = 0.1;
        cluster.start(7, 1_050_000);
        cluster.run(ms(30_000));
        cluster.loss = 0.0;
        cluster.settle(ms(15_000));
    }
}

#[test]
fn traffic_of_a_member_does_not_grow_with_the_fleet() {
    let rate = |size: usize| {
        let mut cluster = settled(size, 2);
        cluster.sent_a_second(10)
    };
    let small = rate(10);
    let large = rate(60);
    assert!(large.0 < 16.0 && large.0 < 1.5 * small.0, "datagrams a second: {small:?}, {large:?}");
    assert!(large.1 < 4096.0, "bytes a second: {large:?}");
}

#[test]
fn sixty_agree_within_eight_seconds_after_any_fault() {
    let mut cluster = settled(60, 1);
    let bound = ms(8_000);
    let tenth = [5, 15, 25, 35, 45, 55];
    tenth.iter().for_each(|&number| cluster.kill(number));
    assert!(cluster.until(0.99, bound).is_some(), "a tenth killed: {:.2} agree", cluster.agree());
    tenth.iter().for_each(|&number| cluster.start(number, 1_200_000));
    assert!(cluster.until(0.99, bound).is_some(), "a tenth restarted: {:.2} agree", cluster.agree());
    let (one, other): (Vec<usize>, Vec<usize>) = (0..60).partition(|number| number % 2 == 0);
    cluster.part(&one, &other);
    cluster.run(ms(15_000));
    cluster.cut.clear();
    assert!(cluster.until(0.99, bound).is_some(), "halves healed: {:.2} agree", cluster.agree());
}

#[test]
fn no_false_death_remains_with_a_third_of_datagrams_lost() {
    for size in [9, 30] {
        let mut cluster = settled(size, 4);
        cluster.loss = 0.3;
        cluster.run(ms(30_000));
        let (count, longest) = cluster.false_deaths();
        assert!(longest <= ms(5_000), "{count} of {size} members, {longest:?}");
        // A suspicion that was contradicted ends no life either.
        let rejoins = cluster.fleets.iter().flatten().map(|it| it.metrics().own_deaths).sum::<u64>();
        assert!(rejoins <= count as u64, "{rejoins} new lives for {count} deaths");
        // One that is killed is missed all the same.
        cluster.kill(3);
        cluster.run(ms(20_000));
        let state_seen_by = deaths(&cluster).iter().filter(|it| it.1 == address(3)).count();
        assert_eq!(state_seen_by, size - 1, "of {size}");
    }
}

#[test]
fn partitions_that_never_knew_each_other_join() {
    let mut cluster = Cluster::new(8, 6);
    // One seed in each part.
    cluster.part(&[0, 2, 4, 6], &[1, 3, 5, 7]);
    cluster.run(ms(10_000));
    assert_eq!(cluster.agree(), 0.0);
    cluster.cut.clear();
    cluster.settle(ms(20_000));
}
