//! Tests of the virtual router's state machine: the actions that follow from each event (RFC 9568, section
//! 6.4).

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

fn start_timer(ms: u64) -> RouterAction {
    RouterAction::StartTimer(Duration::from_millis(ms))
}

fn handle(
    router: &mut VirtualRouter,
    event: impl Fn(&mut VirtualRouter, &mut Vec<RouterAction>),
) -> Vec<RouterAction> {
    let mut actions = Vec::new();
    event(router, &mut actions);
    actions
}

#[test]
fn backup_takes_over_after_three_intervals_plus_skew_time() {
    let mut backup = router(100, true);
    // Skew_Time: (256 - 100) * 100 / 256 = 60 hundredths of a second.
    assert_eq!(
        handle(&mut backup, VirtualRouter::handle_startup),
        [RouterAction::EnterState(RouterState::Backup), start_timer(3600)]
    );
    assert_eq!(
        handle(&mut backup, |router, actions| router.handle_advertisement(
            &advertisement(200),
            true,
            actions
        )),
        [start_timer(3600)]
    );
    assert_eq!(
        handle(&mut backup, |router, actions| router.handle_advertisement(&advertisement(0), true, actions)),
        [start_timer(600)]
    );
    let takeover = [
        RouterAction::Send(advertisement(100)),
        RouterAction::EnterState(RouterState::Active),
        start_timer(1000),
    ];
    assert_eq!(handle(&mut backup, VirtualRouter::handle_timer), takeover);
}

#[test]
fn backup_defers_to_a_lower_priority_only_without_preemption() {
    for (preempt, expected) in [(true, vec![]), (false, vec![start_timer(3600)])] {
        let mut backup = router(100, preempt);
        handle(&mut backup, VirtualRouter::handle_startup);
        assert_eq!(
            handle(&mut backup, |router, actions| router.handle_advertisement(
                &advertisement(50),
                false,
                actions
            )),
            expected
        );
    }
}

#[test]
fn of_two_active_routers_the_one_without_precedence_becomes_backup() {
    for (priority, sender_is_higher, expected) in [
        (101, false, RouterState::Backup),
        (100, true, RouterState::Backup),
        (100, false, RouterState::Active),
        (99, true, RouterState::Active),
    ] {
        let mut active = router(100, true);
        handle(&mut active, VirtualRouter::handle_startup);
        handle(&mut active, VirtualRouter::handle_timer);
        handle(&mut active, |router, actions| {
            router.handle_advertisement(&advertisement(priority), sender_is_higher, actions);
        });
        assert_eq!(active.state(), expected, "priority {priority}, sender is higher: {sender_is_higher}");
    }
}

#[test]
fn owner_is_active_after_startup_and_advertises_priority_zero_at_shutdown() {
    let mut owner = router(OWNER_PRIORITY, true);
    assert_eq!(
        handle(&mut owner, VirtualRouter::handle_startup)[1],
        RouterAction::EnterState(RouterState::Active)
    );
    let shutdown = [
        RouterAction::Send(advertisement(0)),
        RouterAction::StopTimer,
        RouterAction::EnterState(RouterState::Initialize),
    ];
    assert_eq!(handle(&mut owner, VirtualRouter::handle_shutdown), shutdown);
    assert_eq!(
        handle(&mut owner, |router, actions| router.handle_advertisement(&advertisement(1), true, actions)),
        []
    );
}
