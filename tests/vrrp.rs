//! The virtual router's state machine, event by event (RFC 9568, section 6.4).

use std::time::Duration;

use ashtide::vrrp::{
    Advertisement, OWNER_PRIORITY, RouterAction, RouterState, VirtualRouter, VirtualRouterConfig,
};

fn router(priority: u8, preempt: bool) -> VirtualRouter {
    VirtualRouter::new(VirtualRouterConfig {
        virtual_router_id: 7,
        priority,
        advertisement_interval: 100,
        preempt,
        addresses: Vec::new(),
    })
}

fn advertisement(priority: u8) -> Advertisement {
    Advertisement { virtual_router_id: 7, priority, max_advertise_interval: 100, addresses: Vec::new() }
}

fn after(ms: u64) -> RouterAction {
    RouterAction::StartTimer(Duration::from_millis(ms))
}

fn run(
    router: &mut VirtualRouter,
    event: impl Fn(&mut VirtualRouter, &mut Vec<RouterAction>),
) -> Vec<RouterAction> {
    let mut out = Vec::new();
    event(router, &mut out);
    out
}

#[test]
fn a_backup_waits_three_intervals_and_its_skew() {
    let mut backup = router(100, true);
    // Skew: (256 - 100) * 100 / 256 = 60 hundredths.
    assert_eq!(
        run(&mut backup, VirtualRouter::handle_startup),
        [RouterAction::EnterState(RouterState::Backup), after(3600)]
    );
    assert_eq!(
        run(&mut backup, |m, out| m.handle_advertisement(&advertisement(200), true, out)),
        [after(3600)]
    );
    assert_eq!(run(&mut backup, |m, out| m.handle_advertisement(&advertisement(0), true, out)), [after(600)]);
    let taken =
        [RouterAction::Send(advertisement(100)), RouterAction::EnterState(RouterState::Active), after(1000)];
    assert_eq!(run(&mut backup, VirtualRouter::handle_timer), taken);
}

#[test]
fn a_lesser_router_is_heeded_only_without_preemption() {
    for (preempt, effects) in [(true, vec![]), (false, vec![after(3600)])] {
        let mut backup = router(100, preempt);
        run(&mut backup, VirtualRouter::handle_startup);
        assert_eq!(
            run(&mut backup, |m, out| m.handle_advertisement(&advertisement(50), false, out)),
            effects
        );
    }
}

#[test]
fn of_two_active_routers_the_lesser_steps_back() {
    for (priority, higher, state) in [
        (101, false, RouterState::Backup),
        (100, true, RouterState::Backup),
        (100, false, RouterState::Active),
        (99, true, RouterState::Active),
    ] {
        let mut active = router(100, true);
        run(&mut active, VirtualRouter::handle_startup);
        run(&mut active, VirtualRouter::handle_timer);
        run(&mut active, |m, out| m.handle_advertisement(&advertisement(priority), higher, out));
        assert_eq!(active.state(), state, "{priority} {higher}");
    }
}

#[test]
fn the_owner_is_active_at_once_and_says_when_it_leaves() {
    let mut owner = router(OWNER_PRIORITY, true);
    assert_eq!(
        run(&mut owner, VirtualRouter::handle_startup)[1],
        RouterAction::EnterState(RouterState::Active)
    );
    let left = [
        RouterAction::Send(advertisement(0)),
        RouterAction::StopTimer,
        RouterAction::EnterState(RouterState::Initialize),
    ];
    assert_eq!(run(&mut owner, VirtualRouter::handle_shutdown), left);
    assert_eq!(run(&mut owner, |m, out| m.handle_advertisement(&advertisement(1), true, out)), []);
}
