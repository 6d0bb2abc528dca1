//! Fault tests of the control thread: suspended and partitioned members, lost disks, restarts.

use std::{sync::Arc, time::Duration};

use auburnlug_coordination::lease::INSTANCE_LEASE_MS;
use auburnlug_state::{Applied, Command, Machine};
use auburnlug_transport::{control::Handle, disk_memory::MemoryDisk, view::Control};

use tokio::{sync::mpsc::error::TryRecvError, time::timeout};

mod control_group;

use control_group::{Cluster, Node, edit, leader, name, poll_delay, propose, publish};

/// Guards against a leader that is suspended for longer than its lease, resumes, and extends its
/// own lease or grants leases although another member leads. A change that it accepted keeps its
/// first answer.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_grants_no_lease_and_causes_no_election() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let version = publish(&nodes[0].handle, "first", 0).await;
    let old = nodes.remove(leader(&nodes).await);
    old.wait_for_lease().await;
    old.clock.suspend();
    let lease = old.handle.lease();
    let new = leader(&nodes).await;
    while old.clock.time() < lease {
        poll_delay().await;
    }
    assert_eq!(
        propose(&nodes[1 - new].handle, edit("first", "ana", 0)).await,
        Applied::Changed(version)
    );
    let term = nodes[new].handle.status().term;
    cluster.net.cut(&old.name, &cluster.names);
    cluster.net.take_granters();
    old.clock.resume();
    while old.handle.status().leads {
        poll_delay().await;
    }
    let released = old.clock.time();
    while old.clock.time() < released + INSTANCE_LEASE_MS {
        assert_eq!(old.handle.lease(), lease, "a partitioned member has no new lease");
        poll_delay().await;
    }
    assert!(!cluster.net.take_granters().contains(&old.name), "a previous leader granted a lease");
    cluster.net.heal();
    old.wait_for_lease().await;
    assert_eq!(
        nodes[new].handle.status().term,
        term,
        "the return of the previous leader changed the term"
    );
    assert_eq!(propose(&old.handle, edit("first", "ana", 0)).await, Applied::Changed(version));
}

async fn wait_until_voter(node: &Node) {
    while !node.is_voter() {
        poll_delay().await;
    }
}

/// States of two members that have applied the same entries: a commit reaches a member with delayed
/// messages later than the leader.
async fn machines_at_one_index(one: &Node, other: &Node) -> [Arc<Machine>; 2] {
    loop {
        let machines = [one, other].map(|n| n.handle.view().borrow().machine.clone());
        if machines[0].index == machines[1].index {
            return machines;
        }
        poll_delay().await;
    }
}

/// Guards against a replaced disk that counts towards the quorum before it is filled, and against a
/// log that reverts the state of a machine that updates have already moved ahead. A second member
/// is lost right after the disk is filled; all acknowledged changes must still be there and equal.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_disk_is_no_voter_before_it_is_filled() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let mut version = 0;
    for number in 0..300 {
        version = publish(&nodes[0].handle, &format!("change-{number}"), version).await;
    }
    let lost = nodes.pop().expect("three members");
    lost.handle.stop().await;
    cluster.net.delay_raft(&lost.name);
    let disk = MemoryDisk::new(name("second-c3"));
    let back = cluster.start(&lost.name, 2, Some(disk));
    let watcher = tokio::spawn(assert_index_never_decreases(back.handle.clone()));
    wait_until_voter(&back).await;
    let second = nodes.remove(leader(&nodes).await.min(1));
    second.clock.suspend();
    cluster.net.cut(&second.name, &cluster.names);
    version = publish(&back.handle, "after", version).await;
    nodes[0].wait_for_version(version).await;
    back.wait_for_version(version).await;
    let machines = machines_at_one_index(&nodes[0], &back).await;
    assert_eq!(machines[0].index, machines[1].index);
    assert_eq!(machines[0].history, machines[1].history);
    assert_eq!(machines[0].instances, machines[1].instances);
    for number in 0..20 {
        let change = edit(&format!("change-{number}"), "ana", 0);
        assert!(matches!(propose(&back.handle, change).await, Applied::Changed(_)));
    }
    back.handle.stop().await;
    drop(back);
    watcher.await.expect("the state never reverts");
}

/// Time within which a member that is suspended no longer is in the group again.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Longest wait for the state from which a test starts.
const SETUP_TIME: Duration = Duration::from_secs(30);

/// Starts four members; three of them become voters and one a learner. Returns the learner and the
/// others.
async fn start_with_learner(cluster: &mut Cluster) -> (Node, Vec<Node>) {
    let mut nodes = cluster.start_all();
    loop {
        let listed = nodes[leader(&nodes).await].members().learners;
        let is_learner = |node: &Node| {
            let identity = node.identity();
            listed.contains(&identity) && node.members().learners.contains(&identity)
        };
        if let Some(at) = nodes.iter().position(is_learner) {
            return (nodes.remove(at), nodes);
        }
        poll_delay().await;
    }
}

/// Suspends a member until the leader among `others` has removed it, and checks that it joins again.
async fn check_return(member: &Node, others: &[Node]) {
    let version = publish(&others[0].handle, "first", 0).await;
    member.wait_for_version(version).await;
    member.clock.suspend();
    let leading = leader(others).await;
    let identity = member.identity();
    let is_listed = || others[leading].members().all().any(|listed| *listed == identity);
    let leaves = async {
        while is_listed() {
            poll_delay().await;
        }
    };
    timeout(SETUP_TIME, leaves).await.expect("the leader removes the member");
    member.clock.resume();
    let joins = async {
        while !is_listed() {
            poll_delay().await;
        }
    };
    timeout(CATCH_UP_TIME, joins).await.expect("the member is in the group again");
    let next = publish(&others[leading].handle, "second", version).await;
    timeout(CATCH_UP_TIME, member.wait_for_version(next)).await.expect("the member has the change");
}

/// Guards against a learner that is removed while it is suspended and never joins again, so that it
/// cannot replace a voter, and that ignores the updates of the leader.
#[tokio::test(flavor = "multi_thread")]
async fn learner_that_was_removed_while_suspended_joins_again() {
    let mut cluster = Cluster::new(4);
    let started = timeout(SETUP_TIME, start_with_learner(&mut cluster)).await;
    let (learner, others) = started.expect("there are three voters and a learner");
    check_return(&learner, &others).await;
}

/// Guards against a voter that is replaced while it is suspended and never joins again: the answers
/// to its pre-votes must not end its request to join.
#[tokio::test(flavor = "multi_thread")]
async fn voter_that_was_replaced_while_suspended_joins_again() {
    let mut cluster = Cluster::new(4);
    let started = timeout(SETUP_TIME, start_with_learner(&mut cluster)).await;
    let (learner, mut others) = started.expect("there are three voters and a learner");
    let leading = leader(&others).await;
    let voter = others.remove(if leading == 0 { 1 } else { 0 });
    others.push(learner);
    check_return(&voter, &others).await;
}

/// Asserts until the instance ends that its applied index never decreases.
async fn assert_index_never_decreases(handle: Handle) {
    let mut view = handle.view();
    drop(handle);
    let mut last = 0;
    while view.changed().await.is_ok() {
        let index = view.borrow_and_update().machine.index;
        assert!(index >= last, "index {index} after {last}");
        last = index;
    }
}

/// Guards against a request to join that is lost because there is no leader when it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn member_joins_once_there_is_a_leader() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let version = publish(&nodes[0].handle, "first", 0).await;
    let lost = nodes.remove(2);
    let second = nodes.remove(1);
    lost.handle.stop().await;
    second.handle.stop().await;
    while nodes[0].handle.status().leads {
        poll_delay().await;
    }
    // Losing the disk twice leaves an identity that never returns.
    for number in [2, 3] {
        let disk = MemoryDisk::new(name(&format!("a{number}-c3")));
        let back = cluster.start(&lost.name, number, Some(disk));
        assert!(!back.is_voter(), "there is no leader to add it");
        if number == 2 {
            let returned = cluster.start(&second.name, 2, second.disk.clone());
            while !back.disk.clone().is_some_and(has_entries) {
                poll_delay().await;
            }
            back.handle.stop().await;
            nodes.push(returned);
        } else {
            wait_until_voter(&back).await;
            back.wait_for_version(version).await;
        }
    }
}

fn has_entries(mut disk: MemoryDisk) -> bool {
    use auburnlug_transport::disk::Disk;
    disk.load().is_ok_and(|loaded| !loaded.saved.entries.is_empty())
}

/// Guards against versions or recorded answers that are lost when all members restart.
#[tokio::test(flavor = "multi_thread")]
async fn restart_of_all_members_keeps_version_and_answers() {
    let mut cluster = Cluster::new(3);
    let nodes = cluster.start_all();
    let count = std::env::var("CHANGES").ok().and_then(|n| n.parse().ok()).unwrap_or(500);
    let mut version = 0;
    for number in 0..count {
        version = publish(&nodes[0].handle, &format!("change-{number}"), version).await;
    }
    let mut disks = Vec::new();
    for node in nodes {
        node.handle.stop().await;
        disks.push((node.name, node.disk));
    }
    let start = std::time::Instant::now();
    let nodes: Vec<Node> =
        disks.into_iter().map(|(name, disk)| cluster.start(&name, 2, disk)).collect();
    for node in &nodes {
        node.wait_for_version(version).await;
        node.wait_for_lease().await;
    }
    println!("restart_changes={count} restart_ms={}", start.elapsed().as_millis());
    for node in &nodes {
        let last = edit(&format!("change-{}", count - 1), "ana", 0);
        assert_eq!(propose(&node.handle, last).await, Applied::Changed(version));
        let conflict = propose(&node.handle, edit(&format!("late-{}", node.name), "ion", 0)).await;
        assert!(
            matches!(conflict, Applied::Conflict { version: at, .. } if at == version),
            "{conflict:?}"
        );
    }
}

/// Guards against a member that continues after a failed sync, and against a change that was
/// acknowledged while only that member stored it.
#[tokio::test(flavor = "multi_thread")]
async fn failed_sync_stops_the_member() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let first = publish(&nodes[0].handle, "first", 0).await;
    let failing = nodes.remove(leader(&nodes).await);
    failing.disk.as_ref().expect("control member").fail_sync();
    let second = publish(&nodes[0].handle, "second", first).await;
    assert!(failing.failed.await.is_ok_and(|reason| reason.contains("sync failed")));
    assert!(failing.handle.propose(Command::Configure(edit("x", "ana", second))).await.is_none());
    for node in &nodes {
        let repeated = propose(&node.handle, edit("first", "ana", 0)).await;
        assert_eq!(repeated, Applied::Changed(first));
    }
}

/// Guards against two accepted changes with the same base version, and against a conflict that
/// names another operator than the one whose change was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_conflicting_changes_is_accepted() {
    let mut cluster = Cluster::new(3);
    let nodes = cluster.start_all();
    let mut base = publish(&nodes[0].handle, "first", 0).await;
    for round in 0..10 {
        let ids = [format!("a{round}"), format!("b{round}")];
        let (a, b) = tokio::join!(
            propose(&nodes[1].handle, edit(&ids[0], "ana", base)),
            propose(&nodes[2].handle, edit(&ids[1], "ion", base)),
        );
        let (won, lost, winner, by) = match &a {
            Applied::Changed(_) => (&a, &b, &ids[0], "ana"),
            _ => (&b, &a, &ids[1], "ion"),
        };
        let Applied::Changed(next) = *won else { panic!("{a:?}, {b:?}") };
        let (version, operator, id) = (next, name(by), name(winner));
        assert_eq!(*lost, Applied::Conflict { version, operator, id });
        base = next;
    }
}

/// Guards against an instance that keeps serving an old version because it receives lease grants,
/// but not the commands that they depend on.
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_the_current_version_loses_its_lease() {
    let mut cluster = Cluster::new(3);
    let nodes = cluster.start_all();
    let entry = cluster.start(&name("e1"), 1, None);
    let first = publish(&nodes[0].handle, "first", 0).await;
    entry.wait_for_version(first).await;
    entry.wait_for_lease().await;
    cluster.net.drop_updates(&entry.name);
    let second = publish(&nodes[0].handle, "second", first).await;
    let since = entry.clock.time();
    while entry.clock.time() < since + 2 * INSTANCE_LEASE_MS {
        poll_delay().await;
    }
    assert!(!entry.lease_valid(), "serves version {first} although {second} is in force");
    cluster.net.heal();
    entry.wait_for_lease().await;
    entry.wait_for_version(second).await;
}

/// Guards against an instance that sends renewals only to an unresponsive leader whose link is
/// still open.
#[tokio::test(flavor = "multi_thread")]
async fn instance_renews_elsewhere_if_the_leader_is_unresponsive() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let entry = cluster.start(&name("e1"), 1, None);
    let first = publish(&nodes[0].handle, "first", 0).await;
    entry.wait_for_version(first).await;
    entry.wait_for_lease().await;
    let all: Vec<_> = cluster.names.iter().cloned().chain([entry.name.clone()]).collect();
    let old = nodes.remove(leader(&nodes).await);
    cluster.net.cut(&old.name, &all);
    let cut = entry.clock.time();
    let new = leader(&nodes).await;
    let mut gap = 0;
    // A renewal that was made in the millisecond of the cut may have passed it.
    while entry.handle.lease() <= cut + INSTANCE_LEASE_MS {
        gap = entry.clock.time().saturating_sub(entry.handle.lease());
        poll_delay().await;
    }
    println!("gap_ms={gap}");
    assert_eq!(entry.handle.status().leader, Some(nodes[new].name.clone()));
    let second = publish(&entry.handle, "second", first).await;
    assert!(second > first);
}

/// Guards against a proposal that waits for its timeout although no answer can come: the local
/// leader has lost its quorum, or the leader that the proposal was forwarded to has been replaced.
#[tokio::test(flavor = "multi_thread")]
async fn lost_leadership_answers_proposals_at_once() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    publish(&nodes[0].handle, "first", 0).await;
    let old = nodes.remove(leader(&nodes).await);
    while nodes.iter().any(|node| node.handle.status().leader.as_ref() != Some(&old.name)) {
        poll_delay().await;
    }
    cluster.net.cut(&old.name, &cluster.names);
    let propose = |node: &Node, id| {
        let handle = node.handle.clone();
        tokio::spawn(async move { handle.propose(Command::Configure(edit(id, "ana", 0))).await })
    };
    let local = propose(&old, "local");
    let remote = [propose(&nodes[0], "one"), propose(&nodes[1], "two")];
    while old.handle.status().leads {
        poll_delay().await;
    }
    leader(&nodes).await;
    let since = old.clock.time();
    while old.clock.time() < since + 500 {
        poll_delay().await;
    }
    assert!(local.is_finished(), "the previous leader keeps its callers waiting");
    assert!(
        remote.iter().all(|task| task.is_finished()),
        "forwarded proposals wait for the previous leader"
    );
    assert_eq!(local.await.expect("runs"), None);
}

/// Guards against links that stay open at the accepting end after the other instance has dialed
/// again.
#[tokio::test]
async fn new_link_of_an_instance_replaces_the_previous_one() {
    let mut cluster = Cluster::new(1);
    let node = cluster.start_all().remove(0);
    let mut previous = cluster.dial("e1", &node.name).await;
    let _current = cluster.dial("e1", &node.name).await;
    let mut other = cluster.dial("e2", &node.name).await;
    assert!(previous.inbox.recv().await.is_none());
    assert!(other.inbox.try_recv().is_err_and(|e| e == TryRecvError::Empty), "another instance");
}

/// Guards against a leader that resumes after more than a lease and removes instances whose renewals
/// it has not handled yet. It is the only voter, so that no other member leads meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_keeps_the_instances() {
    let mut cluster = Cluster::new(1);
    let node = cluster.start_all().remove(0);
    let entry = cluster.start(&name("e1"), 1, None);
    entry.wait_for_lease().await;
    let mut view = node.handle.view();
    view.mark_unchanged();
    let watcher = tokio::spawn(async move {
        while view.changed().await.is_ok() {
            let machine = view.borrow_and_update().machine.clone();
            assert!(machine.instances.contains_key("e1"), "the instance was removed");
        }
    });
    for _ in 0..3 {
        node.clock.suspend();
        let since = entry.clock.time();
        while entry.clock.time() < since + INSTANCE_LEASE_MS + 400 {
            poll_delay().await;
        }
        node.clock.resume();
        entry.wait_for_lease().await;
    }
    node.handle.stop().await;
    drop(node);
    watcher.await.expect("the instance stays recorded");
}
