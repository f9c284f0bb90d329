//! After any fault has ended, every view is the truth again within a bound; and nobody is held dead for ever.

mod tier;

use std::time::Duration;

use ashtide_fleet::{MemberState, Membership, ViewChange, ViewConfig};
use tier::{Tier, address, ms};

fn settled(size: usize, seed: u64) -> Tier {
    let mut tier = Tier::new(size, seed);
    tier.settle(ms(30_000));
    tier.run(ms(2_000));
    tier.changes.clear();
    tier
}

fn deaths(tier: &Tier) -> Vec<(usize, std::net::SocketAddr)> {
    let dead = tier.changes.iter().filter_map(|&(_, by, change)| match change {
        ViewChange::Dead(member) => Some((by, member.address)),
        _ => None,
    });
    dead.collect()
}

/// How one member holds another.
fn held(tier: &Tier, by: usize, other: usize) -> Option<MemberState> {
    let mut rows = tier.fleets[by].as_ref()?.members();
    rows.find(|row| row.member.address == address(other)).map(|row| row.state)
}

#[test]
fn a_tier_finds_itself_by_a_seed_also_where_a_third_is_lost() {
    for (size, loss) in [(2, 0.0), (9, 0.0), (30, 0.0), (9, 0.3)] {
        let mut tier = Tier::new(size, 11);
        tier.loss = loss;
        let took = tier.settle(ms(30_000));
        assert!(loss > 0.0 || took < ms(20_000), "{size} members took {took:?}");
    }
}

#[test]
fn a_killed_member_is_dead_to_all_and_alive_again_after_its_restart() {
    for seed in 0..4 {
        let mut tier = settled(9, seed);
        tier.kill(4);
        tier.settle(ms(20_000));
        assert_eq!(deaths(&tier).len(), 8, "each sees one death");
        tier.start(4, 1_030_000);
        tier.settle(ms(20_000));
        let false_deaths: u64 = tier.fleets.iter().flatten().map(|it| it.metrics().false_deaths).sum();
        assert_eq!(false_deaths, 0, "a restart is no false death");
    }
}

#[test]
fn a_member_that_restarts_before_it_is_missed_is_its_new_self() {
    let mut tier = settled(7, 3);
    tier.start(2, 1_010_000);
    tier.settle(ms(20_000));
    assert!(deaths(&tier).is_empty(), "{:?}", deaths(&tier));
}

#[test]
fn a_member_whose_clock_was_put_back_is_heard_again() {
    for seed in 0..3 {
        let mut tier = settled(7, seed);
        tier.kill(2);
        tier.run(ms(700));
        tier.start(2, 400_000);
        tier.settle(ms(40_000));
    }
}

#[test]
fn two_parts_merge_when_a_partition_heals() {
    for seed in 0..4 {
        let mut tier = settled(5, seed);
        tier.part(&[0, 1, 2], &[3, 4]);
        tier.run(ms(20_000));
        assert_eq!(
            (held(&tier, 0, 3), held(&tier, 4, 1)),
            (Some(MemberState::Dead), Some(MemberState::Dead))
        );
        assert_eq!(held(&tier, 3, 4), Some(MemberState::Alive), "each part goes on");
        tier.cut.clear();
        tier.settle(ms(20_000));
    }
}

fn seedless(number: usize, generation: u64, now: Duration) -> Membership {
    Membership::new(ViewConfig::new(tier::TIER, 2), address(number), generation, vec![], number as u64, now)
}

#[test]
fn a_later_life_that_knows_nobody_is_found_by_who_knew_the_earlier() {
    let mut tier = settled(2, 1);
    // It knows nobody and asks nobody; the other goes on probing the life it knew.
    tier.fleets[1] = Some(seedless(1, 1_050_000, tier.now));
    tier.settle(ms(2_000));
    assert!(deaths(&tier).is_empty());
}

#[test]
fn two_without_seeds_that_lost_each_other_ask_for_the_dead() {
    let mut tier = Tier::new(2, 1);
    tier.settle(ms(10_000));
    for number in [0, 1] {
        tier.fleets[number] = Some(seedless(number, 1_050_000, tier.now));
        tier.settle(ms(10_000));
    }
    tier.part(&[0], &[1]);
    tier.run(ms(30_000));
    assert_eq!(deaths(&tier).len(), 2);
    tier.cut.clear();
    tier.settle(ms(5_000));
}

#[test]
fn a_link_that_is_cut_kills_nobody_one_way_or_both() {
    for seed in 0..4 {
        let mut tier = settled(7, seed);
        tier.cut.insert((1, 5));
        if seed % 2 == 0 {
            tier.cut.insert((5, 1));
        }
        tier.run(ms(40_000));
        assert!(deaths(&tier).is_empty(), "others reach both: {:?}", deaths(&tier));
        tier.settle(ms(3_000));
    }
}

#[test]
fn a_member_that_stalls_accuses_nobody_and_is_back_soon() {
    for seed in 0..4 {
        let mut tier = settled(7, seed);
        tier.stalled.insert(3, Vec::new());
        tier.run(ms(3_000));
        tier.wake(3);
        tier.settle(ms(12_000));
        let by_it: Vec<_> = deaths(&tier).into_iter().filter(|&(by, _)| by == 3).collect();
        assert!(by_it.is_empty(), "{by_it:?}");
        let stalls = tier.fleets[3].as_ref().map(|it| it.metrics().stalls);
        assert_eq!(stalls, Some(1));
    }
}

#[test]
fn a_long_stall_ends_in_the_same_view_for_all() {
    let mut tier = settled(7, 1);
    tier.stalled.insert(3, Vec::new());
    tier.run(ms(30_000));
    assert_eq!(deaths(&tier).iter().filter(|it| it.1 == address(3)).count(), 6, "it is missed");
    tier.wake(3);
    tier.settle(ms(20_000));
    assert!(deaths(&tier).iter().all(|&(by, _)| by != 3), "it accuses nobody");
}

#[test]
fn one_that_leaves_is_not_missed() {
    let mut tier = settled(7, 5);
    tier.leave(2);
    tier.settle(ms(10_000));
    tier.run(ms(5_000));
    assert!(deaths(&tier).is_empty(), "{:?}", deaths(&tier));
    for number in [0, 1, 3, 4, 5, 6] {
        assert_eq!(held(&tier, number, 2), Some(MemberState::Left), "by {number}");
    }
}

#[test]
fn one_that_leaves_just_after_a_stall_has_datagrams_left_to_say_so() {
    for seed in 0..3 {
        let mut tier = settled(3, seed);
        tier.stalled.insert(2, Vec::new());
        tier.run(ms(15_000));
        tier.wake(2);
        tier.run(ms(150));
        tier.leave(2);
        tier.run(ms(10_000));
        for number in [0, 1] {
            assert_eq!(held(&tier, number, 2), Some(MemberState::Left), "by {number}, seed {seed}");
        }
    }
}

#[test]
fn a_join_during_loss_settles_and_no_false_death_stays() {
    for seed in 0..3 {
        let mut tier = settled(7, seed);
        (tier.loss, tier.repeat) = (0.3, 0.1);
        tier.start(7, 1_050_000);
        tier.run(ms(30_000));
        tier.loss = 0.0;
        tier.settle(ms(15_000));
    }
}

#[test]
fn what_a_member_sends_does_not_grow_with_the_tier() {
    let rate = |size: usize| {
        let mut tier = settled(size, 2);
        tier.sent_a_second(10)
    };
    let (small, large) = (rate(10), rate(60));
    assert!(large.0 < 16.0 && large.0 < 1.5 * small.0, "datagrams a second: {small:?}, {large:?}");
    assert!(large.1 < 4096.0, "bytes a second: {large:?}");
}

#[test]
fn sixty_agree_within_eight_seconds_after_any_fault() {
    let mut tier = settled(60, 1);
    let bound = ms(8_000);
    let tenth = [5, 15, 25, 35, 45, 55];
    tenth.iter().for_each(|&number| tier.kill(number));
    assert!(tier.until(0.99, bound).is_some(), "a tenth killed: {:.2} agree", tier.agree());
    tenth.iter().for_each(|&number| tier.start(number, 1_200_000));
    assert!(tier.until(0.99, bound).is_some(), "a tenth restarted: {:.2} agree", tier.agree());
    let (one, other): (Vec<usize>, Vec<usize>) = (0..60).partition(|number| number % 2 == 0);
    tier.part(&one, &other);
    tier.run(ms(15_000));
    tier.cut.clear();
    assert!(tier.until(0.99, bound).is_some(), "halves healed: {:.2} agree", tier.agree());
}

#[test]
fn no_false_death_stands_where_a_third_is_lost() {
    for size in [9, 30] {
        let mut tier = settled(size, 4);
        tier.loss = 0.3;
        tier.run(ms(30_000));
        let (count, longest) = tier.false_deaths();
        assert!(longest <= ms(5_000), "{count} of {size} members, {longest:?}");
        // A suspicion that was contradicted ends no life either.
        let lives = tier.fleets.iter().flatten().map(|it| it.metrics().own_deaths).sum::<u64>();
        assert!(lives <= count as u64, "{lives} new lives for {count} deaths");
        // One that is killed is missed all the same.
        tier.kill(3);
        tier.run(ms(20_000));
        let held = deaths(&tier).iter().filter(|it| it.1 == address(3)).count();
        assert_eq!(held, size - 1, "of {size}");
    }
}

#[test]
fn parts_that_never_met_find_each_other() {
    let mut tier = Tier::new(8, 6);
    // One seed in each part.
    tier.part(&[0, 2, 4, 6], &[1, 3, 5, 7]);
    tier.run(ms(10_000));
    assert_eq!(tier.agree(), 0.0);
    tier.cut.clear();
    tier.settle(ms(20_000));
}
