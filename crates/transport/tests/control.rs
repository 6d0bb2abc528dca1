//! Tests of the control thread with three members over loopback links and in-memory disks.

use std::{collections::BTreeMap, net::TcpListener, sync::Arc, time::Duration};

use auburnlug_coordination::redundancy::Redundancy;
use auburnlug_protocol::auth::{Purpose, Secret};
use auburnlug_state::{Applied, Change, Command, Edit, Instance, Name, Role, Server};
use auburnlug_transport::{
    clock::SystemClock,
    control::{self, Handle, Options},
    control_metrics::ControlMetrics,
    disk_memory::MemoryDisk,
    socket::{Dialer, Identity},
    view::Control,
};
use tokio::sync::{mpsc, oneshot};

const TEMPLATE: &str = "\
[template]
format = 1
name = test
[group loans]
size = 3
database = loans
[account desk]
rate = 10
burst = 5
age = 100
key = 2d3b9c09910e3044f1b7784ff884e12af626881fe605e91b30f95bb6602c589e
";

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

/// Starts control members, each on its own port.
fn start(count: usize) -> Vec<Handle> {
    let names: Vec<Name> = (1..=count).map(|n| name(&format!("c{n}"))).collect();
    let listeners: Vec<TcpListener> =
        names.iter().map(|_| TcpListener::bind("127.0.0.1:0").expect("binds")).collect();
    let addresses = listeners.iter().map(|l| l.local_addr().expect("bound"));
    let members: BTreeMap<_, _> = names.iter().cloned().zip(addresses).collect();
    let start = |(me, listener): (&Name, TcpListener)| {
        listener.set_nonblocking(true).expect("sets the mode");
        let identity = Arc::new(Identity {
            name: me.clone(),
            secret: Secret::new("same"),
            source: None,
            links: Default::default(),
            control_ping: auburnlug_transport::socket::DEFAULT_PING_INTERVAL,
            traffic_ping: auburnlug_transport::socket::DEFAULT_PING_INTERVAL,
        });
        let address = members[me.as_str()];
        let instance = Instance {
            name: me.clone(),
            incarnation: 1,
            peer: address,
            http: address,
            region: name("r"),
            domain: name("d"),
            entry: false,
        };
        let options = Options {
            instance,
            members: members.clone(),
            disk: Some(Box::new(MemoryDisk::new(name(&format!("disk-{me}"))))),
            trust_refused: true,
            clock: Arc::new(SystemClock::start()),
            dial: Arc::new(Dialer::new(identity.clone(), Purpose::Control)),
            listener,
            traffic: mpsc::channel(1).0,
            identity,
            metrics: ControlMetrics::default(),
        };
        control::start(options, oneshot::channel().0).expect("starts")
    };
    names.iter().zip(listeners).map(start).collect()
}

fn server(number: u64) -> Server {
    Server {
        name: name(&format!("loans-{number}")),
        group: name("loans"),
        incarnation: number,
        address: format!("127.0.0.1:{}", 7000 + number).parse().expect("address"),
        domain: name("d"),
        slots: 3,
        connections: 20,
        draining: false,
        role: Role::Replica,
        term: 0,
    }
}

async fn poll_delay() {
    tokio::time::sleep(Duration::from_millis(5)).await;
}

/// Proposes a change until its effect is known; the change id makes retries idempotent.
async fn change(handle: &Handle, id: &str, base: u64) -> Applied {
    let edit = Edit::Publish(TEMPLATE.into());
    let change = Change { id: name(id), operator: name("ana"), base, edit };
    loop {
        if let Some(applied) = handle.propose(Command::Configure(change.clone())).await {
            return applied;
        }
        poll_delay().await;
    }
}

async fn leader(handles: &[Handle]) -> usize {
    loop {
        if let Some(at) = handles.iter().position(|handle| handle.status().leads) {
            return at;
        }
        poll_delay().await;
    }
}

/// Guards against members that forward announcements to each other while there is no leader. They
/// filled the queues of the links, and the group could not elect a leader.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_do_not_block_the_election() {
    let handles = start(3);
    while !handles.iter().any(|handle| handle.status().leads) {
        for number in 0..9 {
            for handle in &handles {
                handle.announce(server(number)).await;
            }
        }
        poll_delay().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_change_gets_the_first_answer_from_all_members() {
    let handles = start(3);
    let first = change(&handles[0], "first", 0).await;
    let Applied::Changed(version) = first else { panic!("unexpected {first:?}") };
    for handle in &handles {
        let mut view = handle.view();
        view.wait_for(|view| view.machine.version == version).await.expect("runs");
        assert_eq!(change(handle, "first", 0).await, first);
        let conflict = change(handle, "other", 0).await;
        let winner = (name("ana"), name("first"));
        assert!(
            matches!(&conflict, Applied::Conflict { operator, id, .. }
                if (operator, id) == (&winner.0, &winner.1)),
            "{conflict:?}"
        );
    }
}

/// Guards against an accepted change that is lost when the leader that accepted it stops.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_survives_the_stop_of_the_leader() {
    let mut handles = start(3);
    let first = change(&handles[0], "first", 0).await;
    let stopped = handles.remove(leader(&handles).await);
    stopped.stop().await;
    assert_eq!(stopped.lease(), 0, "a stopped instance holds no lease");
    leader(&handles).await;
    for handle in &handles {
        assert_eq!(change(handle, "first", 0).await, first);
    }
}

/// Guards against a status of the leader that lacks the tolerated disk losses or does not follow a
/// member that has stopped.
#[tokio::test(flavor = "multi_thread")]
async fn leader_reports_the_tolerated_losses() {
    let handles = start(3);
    let at = leader(&handles).await;
    let wait_for = async |tolerated| loop {
        let reported = handles[at].status().redundancy;
        if reported == Some(Redundancy { tolerated, configured: 1 }) {
            return;
        }
        assert!(handles[at].status().leads, "the leader changed");
        poll_delay().await;
    };
    wait_for(1).await;
    let follower = (at + 1) % 3;
    assert_eq!(handles[follower].status().redundancy, None);
    handles[follower].stop().await;
    wait_for(0).await;
}
