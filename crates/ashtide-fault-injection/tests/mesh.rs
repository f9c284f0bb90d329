//! Relays and plans, without any daemon.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_fault_injection::{
    FaultAction, FaultPlan, FaultRunError, Link, ProxyMesh, RandomPlanLimits, Step,
};
use tokio::net::UdpSocket;
use tokio::time::timeout;

struct Members {
    sockets: Vec<UdpSocket>,
    mesh: ProxyMesh,
}

impl Members {
    async fn open(count: usize) -> Self {
        let mut sockets = Vec::new();
        for _ in 0..count {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        }
        let own: Vec<SocketAddr> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        let mesh = ProxyMesh::open(own[0].ip(), &own, 7).await.unwrap();
        Self { sockets, mesh }
    }

    /// Sends numbered datagrams from one member to another; the numbers that come, in their order.
    /// Fewer than a socket holds: they are read once all are sent.
    async fn send(&self, from: usize, to: usize, count: u32) -> Vec<u32> {
        let mut came = Vec::new();
        for number in 0..count {
            let at = self.mesh.public()[to];
            self.sockets[from].send_to(&number.to_be_bytes(), at).await.unwrap();
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut buffer = [0; 16];
        while let Ok(Ok((length, sender))) =
            timeout(Duration::from_millis(300), self.sockets[to].recv_from(&mut buffer)).await
        {
            assert_eq!((length, sender), (4, self.mesh.public()[from]), "not as its sender's");
            came.push(u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]));
        }
        came
    }
}

#[tokio::test]
async fn links_do_to_datagrams_what_they_say_and_only_one_way() {
    let members = Members::open(3).await;
    let in_order: Vec<u32> = (0..100).collect();
    assert_eq!(members.send(0, 1, 100).await, in_order);

    members.mesh.set(&[0], &[1], Link::CUT);
    assert_eq!(members.send(0, 1, 20).await, Vec::<u32>::new());
    assert_eq!(members.send(1, 0, 100).await, in_order);
    assert_eq!(members.send(0, 2, 100).await, in_order);

    members.mesh.set(&[0], &[1], Link::lossy(0.3));
    let came = members.send(0, 1, 100).await.len();
    assert!((55..=85).contains(&came), "{came} of 100 at a loss of three in ten");

    members.mesh.set(&[0], &[1], Link { duplicate: 0.5, ..Link::PERFECT });
    let came = members.send(0, 1, 100).await.len();
    assert!((130..=170).contains(&came), "{came} of 100, half of them twice");

    members.mesh.set(&[0], &[1], Link { reorder: 0.2, ..Link::PERFECT });
    let mut came = members.send(0, 1, 100).await;
    assert_ne!(came, in_order);
    came.sort_unstable();
    assert_eq!(came, in_order);

    members.mesh.set(&[0], &[1], Link { delay_ms: 150, ..Link::PERFECT });
    let start = std::time::Instant::now();
    assert_eq!(members.send(0, 1, 1).await, [0]);
    assert!(start.elapsed() >= Duration::from_millis(150 + 300));
    let traffic = members.mesh.traffic();
    assert_eq!((traffic[0][1].sent, traffic[1][0].lost, traffic[1][2].sent), (421, 0, 0));
}

#[tokio::test]
async fn one_address_reaches_all_others_and_strangers_reach_nobody() {
    let members = Members::open(4).await;
    members.sockets[2].send_to(b"all!", members.mesh.all(2)).await.unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    stranger.send_to(b"me", members.mesh.public()[2]).await.unwrap();
    let mut buffer = [0; 16];
    for (at, socket) in members.sockets.iter().enumerate() {
        let came = timeout(Duration::from_millis(300), socket.recv_from(&mut buffer)).await;
        let came = came.ok().map(|came| came.unwrap());
        assert_eq!(came, (at != 2).then(|| (4, members.mesh.public()[2])), "member {at}");
    }
    assert_eq!(members.mesh.strange(), 1);
}

#[test]
fn random_plans_follow_from_their_seed_and_can_be_played() {
    let range = RandomPlanLimits {
        gateways: 3..=5,
        faults: 2..=5,
        faults_within_ms: 1_000..=6_000,
        fault_ms: 500..=4_000,
    };
    let mut all = Vec::new();
    for seed in 0..300 {
        let plan = FaultPlan::random(seed, &range);
        let text = serde_json::to_string(&plan).unwrap();
        assert_eq!(FaultPlan::read(&text).unwrap(), FaultPlan::random(seed, &range), "seed {seed}");
        let cured = plan.last_ms - plan.settle_ms;
        assert!(plan.steps.iter().all(|step| step.at_ms < cured), "seed {seed}");
        all.extend(plan.steps);
    }
    let some = |like: fn(&FaultAction) -> bool| all.iter().any(|step| like(&step.act));
    assert!(
        some(|act| matches!(act, FaultAction::Split { .. }))
            && some(|act| matches!(act, FaultAction::Kill { .. }))
    );
    assert!(
        some(|act| matches!(act, FaultAction::Stall { .. }))
            && some(|act| matches!(act, FaultAction::Restart { .. }))
    );
}

#[test]
fn a_plan_that_cannot_be_played_is_refused_with_the_figure_at_fault() {
    let step = |act| FaultPlan { steps: vec![Step { at_ms: 10, act }], ..FaultPlan::default() };
    let lossy = FaultAction::Link { from: Vec::new(), to: Vec::new(), link: Link::lossy(1.5) };
    for (plan, at_fault) in [
        (FaultPlan { gateways: 1_000, ..FaultPlan::default() }, "gateways"),
        (FaultPlan { last_ms: 10_000_000, ..FaultPlan::default() }, "last_ms"),
        (FaultPlan::default().with_uniform_load(10_000.0), "the load a second"),
        (step(FaultAction::Kill { gateway: 3 }), "a gateway's number"),
        (step(FaultAction::Drain { server: 6 }), "a server's number"),
        (step(lossy), "loss"),
    ] {
        match plan.check() {
            Err(FaultRunError::Plan { what, .. }) => assert_eq!(what, at_fault),
            other => panic!("{at_fault}: {other:?}"),
        }
    }
    assert!(matches!(FaultPlan::read("{\"gatewys\": 3}"), Err(FaultRunError::Plan { what: "the text", .. })));
}
