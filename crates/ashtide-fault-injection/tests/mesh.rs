//! Tests of relays and plans, without daemon processes.

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

    /// Sends numbered datagrams from one member to another, and returns the received numbers in their order.
    /// They are read after all are sent, so `count` must fit the receive buffer of the socket.
    async fn send(&self, from: usize, to: usize, count: u32) -> Vec<u32> {
        let mut received = Vec::new();
        for number in 0..count {
            let address = self.mesh.public()[to];
            self.sockets[from].send_to(&number.to_be_bytes(), address).await.unwrap();
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut buffer = [0; 16];
        while let Ok(Ok((length, sender))) =
            timeout(Duration::from_millis(300), self.sockets[to].recv_from(&mut buffer)).await
        {
            assert_eq!(
                (length, sender),
                (4, self.mesh.public()[from]),
                "length and source address of a datagram"
            );
            received.push(u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]));
        }
        received
    }
}

#[tokio::test]
async fn links_treat_datagrams_as_configured_in_one_direction_only() {
    let members = Members::open(3).await;
    let in_order: Vec<u32> = (0..100).collect();
    assert_eq!(members.send(0, 1, 100).await, in_order);

    members.mesh.set(&[0], &[1], Link::CUT);
    assert_eq!(members.send(0, 1, 20).await, Vec::<u32>::new());
    assert_eq!(members.send(1, 0, 100).await, in_order);
    assert_eq!(members.send(0, 2, 100).await, in_order);

    members.mesh.set(&[0], &[1], Link::lossy(0.3));
    let received = members.send(0, 1, 100).await.len();
    assert!(
        (55..=85).contains(&received),
        "{received} of 100 datagrams received at a loss of 0.3, expected 55 to 85"
    );

    members.mesh.set(&[0], &[1], Link { duplicate: 0.5, ..Link::PERFECT });
    let received = members.send(0, 1, 100).await.len();
    assert!(
        (130..=170).contains(&received),
        "{received} copies of 100 datagrams received at a duplication of 0.5, expected 130 to 170"
    );

    members.mesh.set(&[0], &[1], Link { reorder: 0.2, ..Link::PERFECT });
    let mut received = members.send(0, 1, 100).await;
    assert_ne!(received, in_order);
    received.sort_unstable();
    assert_eq!(received, in_order);

    members.mesh.set(&[0], &[1], Link { delay_ms: 150, ..Link::PERFECT });
    let start = std::time::Instant::now();
    assert_eq!(members.send(0, 1, 1).await, [0]);
    assert!(start.elapsed() >= Duration::from_millis(150 + 300));
    let traffic = members.mesh.traffic();
    assert_eq!((traffic[0][1].sent, traffic[1][0].lost, traffic[1][2].sent), (421, 0, 0));
}

#[tokio::test]
async fn multicast_reaches_all_others_and_unknown_senders_are_not_forwarded() {
    let members = Members::open(4).await;
    members.sockets[2].send_to(b"all!", members.mesh.all(2)).await.unwrap();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    unknown_sender.send_to(b"me", members.mesh.public()[2]).await.unwrap();
    let mut buffer = [0; 16];
    for (member, socket) in members.sockets.iter().enumerate() {
        let received = timeout(Duration::from_millis(300), socket.recv_from(&mut buffer)).await;
        let received = received.ok().map(|result| result.unwrap());
        assert_eq!(received, (member != 2).then(|| (4, members.mesh.public()[2])), "member {member}");
    }
    assert_eq!(members.mesh.unknown_sender_datagrams(), 1);
}

#[test]
fn random_plans_depend_on_their_seed_alone_and_are_valid() {
    let limits = RandomPlanLimits {
        gateways: 3..=5,
        faults: 2..=5,
        faults_within_ms: 1_000..=6_000,
        fault_ms: 500..=4_000,
    };
    let mut steps = Vec::new();
    for seed in 0..300 {
        let plan = FaultPlan::random(seed, &limits);
        let text = serde_json::to_string(&plan).unwrap();
        assert_eq!(FaultPlan::read(&text).unwrap(), FaultPlan::random(seed, &limits), "seed {seed}");
        let settle_start_ms = plan.load_duration_ms - plan.settle_ms;
        assert!(plan.steps.iter().all(|step| step.at_ms < settle_start_ms), "seed {seed}");
        steps.extend(plan.steps);
    }
    let has_action = |matches: fn(&FaultAction) -> bool| steps.iter().any(|step| matches(&step.action));
    assert!(
        has_action(|action| matches!(action, FaultAction::Split { .. }))
            && has_action(|action| matches!(action, FaultAction::Kill { .. }))
    );
    assert!(
        has_action(|action| matches!(action, FaultAction::Stall { .. }))
            && has_action(|action| matches!(action, FaultAction::Restart { .. }))
    );
}

#[test]
fn an_invalid_plan_is_rejected_with_the_name_of_the_invalid_value() {
    let plan_with = |action| FaultPlan { steps: vec![Step { at_ms: 10, action }], ..FaultPlan::default() };
    let lossy = FaultAction::Link { from: Vec::new(), to: Vec::new(), link: Link::lossy(1.5) };
    for (plan, invalid_value) in [
        (FaultPlan { gateways: 1_000, ..FaultPlan::default() }, "gateways"),
        (FaultPlan { load_duration_ms: 10_000_000, ..FaultPlan::default() }, "last_ms"),
        (FaultPlan::default().with_uniform_load(10_000.0), "the load a second"),
        (plan_with(FaultAction::Kill { gateway: 3 }), "a gateway's number"),
        (plan_with(FaultAction::Drain { server: 6 }), "a server's number"),
        (plan_with(lossy), "loss"),
    ] {
        match plan.check() {
            Err(FaultRunError::Plan { what, .. }) => assert_eq!(what, invalid_value),
            other => panic!("{invalid_value}: {other:?}"),
        }
    }
    assert!(matches!(FaultPlan::read("{\"gatewys\": 3}"), Err(FaultRunError::Plan { what: "the text", .. })));
}
