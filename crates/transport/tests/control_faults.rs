//! The control thread under failure: stopped and cut-off members, lost disks, restarts.

use auburnlug_coordination::lease::LEASE;
use auburnlug_state::{Applied, Command};
use auburnlug_transport::{control::Handle, disk_memory::MemoryDisk, view::Control};

use tokio::sync::mpsc::error::TryRecvError;

mod control_group;

use control_group::{Cluster, Node, edit, leader, name, pause, propose, publish};

/// Guards against a leader that is stopped for longer than a lease and acts on after it: it would
/// extend its own lease, or grant others one, although another member leads. The change that it
/// took keeps its first answer.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_leader_grants_nothing_and_disturbs_nobody() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let version = publish(&nodes[0].handle, "first", 0).await;
    let old = nodes.remove(leader(&nodes).await);
    old.serves().await;
    old.clock.stop();
    let lease = old.handle.lease();
    let new = leader(&nodes).await;
    while old.clock.time() < lease {
        pause().await;
    }
    assert_eq!(
        propose(&nodes[1 - new].handle, edit("first", "ana", 0)).await,
        Applied::Changed(version)
    );
    let term = nodes[new].handle.status().term;
    cluster.net.cut(&old.name, &cluster.names);
    cluster.net.granters();
    old.clock.go_on();
    while old.handle.status().leads {
        pause().await;
    }
    let released = old.clock.time();
    while old.clock.time() < released + LEASE {
        assert_eq!(old.handle.lease(), lease, "a member that is cut off has no new lease");
        pause().await;
    }
    assert!(!cluster.net.granters().contains(&old.name), "a former leader granted a lease");
    cluster.net.heal();
    old.serves().await;
    assert_eq!(nodes[new].handle.status().term, term, "the return changed the leader");
    assert_eq!(propose(&old.handle, edit("first", "ana", 0)).await, Applied::Changed(version));
}

async fn joined(node: &Node) {
    while !node.votes() {
        pause().await;
    }
}

/// Guards against a replaced disk that counts before it is filled, and against a machine that is
/// set back by the log after it was filled by updates: with the second member lost right after,
/// all that was acknowledged must be there, and be the same.
#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_is_filled_before_a_second_member_is_lost() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let mut version = 0;
    for number in 0..300 {
        version = publish(&nodes[0].handle, &format!("change-{number}"), version).await;
    }
    let lost = nodes.pop().expect("three members");
    lost.handle.stop().await;
    cluster.net.slow(&lost.name);
    let disk = MemoryDisk::new(name("second-c3"));
    let back = cluster.start(&lost.name, 2, Some(disk));
    let watched = tokio::spawn(never_reverts(back.handle.clone()));
    joined(&back).await;
    let gone = nodes.remove(leader(&nodes).await.min(1));
    gone.clock.stop();
    cluster.net.cut(&gone.name, &cluster.names);
    version = publish(&back.handle, "after", version).await;
    nodes[0].reaches(version).await;
    back.reaches(version).await;
    let machines = [&nodes[0], &back].map(|n| n.handle.view().borrow().machine.clone());
    assert_eq!(machines[0].history, machines[1].history);
    assert_eq!(machines[0].instances, machines[1].instances);
    for number in 0..20 {
        let change = edit(&format!("change-{number}"), "ana", 0);
        assert!(matches!(propose(&back.handle, change).await, Applied::Changed(_)));
    }
    back.handle.stop().await;
    drop(back);
    watched.await.expect("the state never reverts");
}

/// Watches the state of an instance until it ends.
async fn never_reverts(handle: Handle) {
    let mut view = handle.view();
    drop(handle);
    let mut last = 0;
    while view.changed().await.is_ok() {
        let index = view.borrow_and_update().machine.index;
        assert!(index >= last, "index {index} after {last}");
        last = index;
    }
}

/// Guards against a request to join that is lost because nobody leads when it is made.
#[tokio::test(flavor = "multi_thread")]
async fn joins_once_there_is_a_leader() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let version = publish(&nodes[0].handle, "first", 0).await;
    let lost = nodes.remove(2);
    let second = nodes.remove(1);
    lost.handle.stop().await;
    second.handle.stop().await;
    while nodes[0].handle.status().leads {
        pause().await;
    }
    // A disk that is lost twice leaves an identity behind that never comes back.
    for number in [2, 3] {
        let disk = MemoryDisk::new(name(&format!("a{number}-c3")));
        let back = cluster.start(&lost.name, number, Some(disk));
        assert!(!back.votes(), "nobody could add it");
        if number == 2 {
            let returned = cluster.start(&second.name, 2, second.disk.clone());
            while !back.disk.clone().is_some_and(filled) {
                pause().await;
            }
            back.handle.stop().await;
            nodes.push(returned);
        } else {
            joined(&back).await;
            back.reaches(version).await;
        }
    }
}

fn filled(mut disk: MemoryDisk) -> bool {
    use auburnlug_transport::disk::Disk;
    disk.load().is_ok_and(|loaded| !loaded.saved.entries.is_empty())
}

/// Guards against versions or answers that a restart of all members loses.
#[tokio::test(flavor = "multi_thread")]
async fn restart_of_all_keeps_version_and_answers() {
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
        node.reaches(version).await;
        node.serves().await;
    }
    println!("restart_changes={count} restart_ms={}", start.elapsed().as_millis());
    for node in &nodes {
        let last = edit(&format!("change-{}", count - 1), "ana", 0);
        assert_eq!(propose(&node.handle, last).await, Applied::Changed(version));
        let late = propose(&node.handle, edit(&format!("late-{}", node.name), "ion", 0)).await;
        assert!(matches!(late, Applied::Conflict { version: at, .. } if at == version), "{late:?}");
    }
}

/// Guards against a member that goes on after a failed sync, and against a change that only it
/// held when it was acknowledged.
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
        let again = propose(&node.handle, edit("first", "ana", 0)).await;
        assert_eq!(again, Applied::Changed(first));
    }
}

/// Guards against two accepted changes of the same version, and against a conflict that names
/// someone else than the winner.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_wins() {
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

/// Guards against an instance that serves on an old version: grants reach it, but not the
/// commands that they depend on.
#[tokio::test(flavor = "multi_thread")]
async fn without_its_version_an_instance_stops_at_the_end_of_its_lease() {
    let mut cluster = Cluster::new(3);
    let nodes = cluster.start_all();
    let entry = cluster.start(&name("e1"), 1, None);
    let first = publish(&nodes[0].handle, "first", 0).await;
    entry.reaches(first).await;
    entry.serves().await;
    cluster.net.withhold(&entry.name);
    let second = publish(&nodes[0].handle, "second", first).await;
    let since = entry.clock.time();
    while entry.clock.time() < since + 2 * LEASE {
        pause().await;
    }
    assert!(!entry.lease_valid(), "serves version {first}, in force is {second}");
    cluster.net.heal();
    entry.serves().await;
    entry.reaches(second).await;
}

/// Guards against an instance that keeps asking a leader that is silent while its link is open.
#[tokio::test(flavor = "multi_thread")]
async fn instance_moves_from_a_silent_leader() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    let entry = cluster.start(&name("e1"), 1, None);
    let first = publish(&nodes[0].handle, "first", 0).await;
    entry.reaches(first).await;
    entry.serves().await;
    let all: Vec<_> = cluster.names.iter().cloned().chain([entry.name.clone()]).collect();
    let old = nodes.remove(leader(&nodes).await);
    cluster.net.cut(&old.name, &all);
    let cut = entry.clock.time();
    let new = leader(&nodes).await;
    let mut gap = 0;
    while entry.handle.lease() < cut + LEASE {
        gap = entry.clock.time().saturating_sub(entry.handle.lease());
        pause().await;
    }
    println!("gap_ms={gap}");
    assert_eq!(entry.handle.status().leader, Some(nodes[new].name.clone()));
    let second = publish(&entry.handle, "second", first).await;
    assert!(second > first);
}

/// Guards against a proposal that waits for its time limit although nobody is left to answer it:
/// the leader has lost its majority, or the leader that it was sent to has been replaced.
#[tokio::test(flavor = "multi_thread")]
async fn lost_leadership_answers_proposals_at_once() {
    let mut cluster = Cluster::new(3);
    let mut nodes = cluster.start_all();
    publish(&nodes[0].handle, "first", 0).await;
    let old = nodes.remove(leader(&nodes).await);
    while nodes.iter().any(|node| node.handle.status().leader.as_ref() != Some(&old.name)) {
        pause().await;
    }
    cluster.net.cut(&old.name, &cluster.names);
    let propose = |node: &Node, id| {
        let handle = node.handle.clone();
        tokio::spawn(async move { handle.propose(Command::Configure(edit(id, "ana", 0))).await })
    };
    let local = propose(&old, "local");
    let remote = [propose(&nodes[0], "one"), propose(&nodes[1], "two")];
    while old.handle.status().leads {
        pause().await;
    }
    leader(&nodes).await;
    let since = old.clock.time();
    while old.clock.time() < since + 500 {
        pause().await;
    }
    assert!(local.is_finished(), "the former leader keeps its callers waiting");
    assert!(remote.iter().all(|task| task.is_finished()), "they wait for the former leader");
    assert_eq!(local.await.expect("runs"), None);
}

/// Guards against links that stay open at the accepting end after the instance has dialed again.
#[tokio::test]
async fn a_new_link_of_an_instance_replaces_the_former() {
    let mut cluster = Cluster::new(1);
    let node = cluster.start_all().remove(0);
    let mut former = cluster.dial("e1", &node.name).await;
    let _later = cluster.dial("e1", &node.name).await;
    let mut other = cluster.dial("e2", &node.name).await;
    assert!(former.inbox.recv().await.is_none());
    assert!(other.inbox.try_recv().is_err_and(|e| e == TryRecvError::Empty), "another instance");
}
