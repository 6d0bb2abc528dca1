//! Tests of the log lines and metrics of control members, in a simulated group with a simulated
//! clock.

// The exemption for tests in clippy.toml does not cover helper functions in test files.
#![allow(clippy::expect_used)]

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    sync::{Arc, Once},
};

use auburnlug_coordination::raft::Timing;
use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::{Millis, Name};
use auburnlug_transport::{
    control_member::{GroupOptions, Member},
    control_metrics::ControlMetrics,
    disk_memory::MemoryDisk,
};
use prometheus_client::{encoding::text::encode, registry::Registry};
use spdlog::{Logger, sink::WriteSink};

const TICK_MS: Millis = 10;
const DELIVERY_MS: Millis = 10;
const SEARCH_INTERVAL_MS: Millis = 200;

thread_local! {
    static LOG: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Writer that keeps the log of each test's thread apart.
struct ThreadLog;

impl Write for ThreadLog {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        LOG.with_borrow_mut(|log| log.extend_from_slice(data));
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn capture_log() {
    static START: Once = Once::new();
    START.call_once(|| {
        let sink = WriteSink::builder().target(ThreadLog).build_arc().expect("builds");
        let logger = Logger::builder().sink(sink).build().expect("builds");
        spdlog::set_default_logger(Arc::new(logger));
    });
    LOG.with_borrow_mut(Vec::clear);
}

/// Lines with an event number since the last call of [`clear_lines`].
fn lines(event: &str) -> Vec<String> {
    let text = LOG.with_borrow(|log| String::from_utf8_lossy(log).into_owned());
    text.lines().filter(|line| line.contains(event)).map(str::to_string).collect()
}

fn clear_lines() {
    LOG.with_borrow_mut(Vec::clear);
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("valid name")
}

/// Control members over a network that delivers messages after [`DELIVERY_MS`].
struct Group {
    now: Millis,
    members: BTreeMap<Name, Member>,
    registries: BTreeMap<Name, Registry>,
    /// Members that neither run nor receive messages.
    silent: BTreeSet<Name>,
    /// Whether Raft messages are lost, so that members answer and elect nobody.
    raft_lost: bool,
    in_flight: Vec<(Millis, Name, Name, ControlMessage)>,
}

impl Group {
    /// Starts members and runs them until one of them leads.
    fn start(names: &[&str]) -> Group {
        capture_log();
        let mut group = Group {
            now: 0,
            members: BTreeMap::new(),
            registries: BTreeMap::new(),
            silent: BTreeSet::new(),
            raft_lost: false,
            in_flight: Vec::new(),
        };
        for text in names {
            group.add(text, names, true);
        }
        while group.leader().is_none() {
            group.tick();
        }
        group.run(2_000);
        group
    }

    /// Adds a member with an empty disk.
    fn add(&mut self, text: &str, configured: &[&str], may_bootstrap: bool) {
        self.open(text, "member", configured, may_bootstrap);
    }

    /// Replaces the disk of a member by an empty one, under the identity that starts with `disk`.
    fn lose_disk(&mut self, instance: &Name, disk: &str) {
        self.open(instance.as_str(), disk, &["a", "b", "c"], true);
    }

    fn open(&mut self, text: &str, disk: &str, configured: &[&str], may_bootstrap: bool) {
        let configured = configured.iter().map(|text| name(text)).collect();
        let options = GroupOptions { configured, may_bootstrap, disk_losses: 1 };
        let disk = Box::new(MemoryDisk::new(name(&format!("{disk}-{text}"))));
        let seed = self.members.len() as u64;
        let (mut member, _) =
            Member::open(name(text), options, disk, Timing::default(), seed, self.now)
                .expect("opens");
        let (metrics, mut registry) = (ControlMetrics::default(), Registry::default());
        metrics.register(&mut registry);
        member.set_metrics(metrics);
        self.members.insert(name(text), member);
        self.registries.insert(name(text), registry);
    }

    fn leader(&self) -> Option<Name> {
        let running = self.members.iter().filter(|(name, _)| !self.silent.contains(name.as_str()));
        let mut leaders = running.filter(|(_, member)| member.leads(self.now));
        leaders.next().map(|(name, _)| name.clone())
    }

    /// A member that does not lead.
    fn follower(&self) -> Name {
        let leader = self.leader();
        let found = self.members.keys().find(|name| Some(*name) != leader.as_ref());
        found.expect("has a follower").clone()
    }

    /// Values of a metric at the members that are not silent, in the order of their names.
    fn values(&self, metric: &str) -> Vec<i64> {
        let running =
            self.registries.iter().filter(|(name, _)| !self.silent.contains(name.as_str()));
        running.map(|(_, registry)| value(registry, metric)).collect()
    }

    fn run(&mut self, millis: Millis) {
        let end = self.now + millis;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|m| m.0 <= now);
        self.in_flight = later;
        let due: Vec<(Millis, Name, Name, ControlMessage)> = due;
        for (_, from, to, message) in due {
            let raft = matches!(message, ControlMessage::Raft { .. });
            let silent = self.silent.contains(&from) || self.silent.contains(&to);
            let lost = silent || (raft && self.raft_lost);
            let Some(member) = self.members.get_mut(&to).filter(|_| !lost) else { continue };
            if let Some(answer) = member.receive(&from, message, now).expect("works") {
                self.in_flight.push((now + DELIVERY_MS, to, from, answer));
            }
        }
        for (from, member) in &mut self.members {
            if self.silent.contains(from.as_str()) {
                continue;
            }
            let mut messages = member.step(now).expect("works").messages;
            if now.is_multiple_of(SEARCH_INTERVAL_MS) {
                messages.extend(member.discovery_messages());
            }
            let sent = messages.into_iter();
            self.in_flight
                .extend(sent.map(|(to, message)| (now + DELIVERY_MS, from.clone(), to, message)));
        }
    }
}

/// Value of a metric, by its name and labels in the text format.
fn value(registry: &Registry, metric: &str) -> i64 {
    let mut text = String::new();
    encode(&mut text, registry).expect("encodes");
    let values = text.lines().find_map(|line| line.strip_prefix(metric)?.strip_prefix(' '));
    values.and_then(|value| value.parse().ok()).expect("has the metric")
}

/// Guards against lines that are written periodically while nothing changes.
#[test]
fn healthy_group_writes_nothing() {
    let mut group = Group::start(&["a", "b", "c"]);
    clear_lines();
    group.run(60_000);
    assert_eq!(lines("AL02"), Vec::<String>::new());
}

/// Guards against an operator who is not told that the loss of a disk would end the group, or is
/// told so again and again.
#[test]
fn reduced_disk_losses_are_logged_once_at_the_leader() {
    let mut group = Group::start(&["a", "b", "c"]);
    let silent = group.follower();
    clear_lines();
    group.silent.insert(silent.clone());
    group.run(30_000);
    let reduced = lines("AL0205");
    assert_eq!(reduced.len(), 1, "{reduced:?}");
    assert!(reduced[0].contains("tolerated=0 configured=1"), "{reduced:?}");
    assert!(reduced[0].contains(&format!("{silent}.member-{silent} ack_age_ms=")), "{reduced:?}");
    group.silent.clear();
    group.run(30_000);
    assert_eq!(lines("AL0205").len(), 1);
    let restored = lines("AL0206");
    assert_eq!(restored.len(), 1, "{restored:?}");
    assert!(restored[0].contains("tolerated=1 configured=1"), "{restored:?}");
}

/// Guards against a warning about a voter that answers late or whose process restarts quickly.
#[test]
fn short_silence_is_not_logged() {
    let mut group = Group::start(&["a", "b", "c"]);
    let silent = group.follower();
    clear_lines();
    for _ in 0..10 {
        group.silent.insert(silent.clone());
        group.run(1_200);
        group.silent.clear();
        group.run(2_000);
    }
    assert_eq!(lines("AL0205").len() + lines("AL0206").len(), 0);
}

/// Guards against a replacement of which the log shows the result only, and against a line for
/// each repeated request to join or each refused proposal.
#[test]
fn replacement_is_logged_step_by_step() {
    let mut group = Group::start(&["a", "b", "c"]);
    let silent = group.follower();
    group.silent.insert(silent.clone());
    group.run(5_000);
    clear_lines();
    group.add("d", &["a", "b", "c"], false);
    group.run(20_000);
    let joins = lines("AL0209");
    assert_eq!(joins.len(), 1, "{joins:?}");
    assert!(joins[0].contains("instance=d identity=d.member-d role=none"), "{joins:?}");
    let proposed = lines("AL0207");
    let expected = [
        "step=learner_added member=d.member-d ack_age_ms=none caught_up=none".to_string(),
        "step=learner_promoted member=d.member-d ack_age_ms=".to_string(),
        format!("step=voter_removed member={silent}.member-{silent} ack_age_ms="),
    ];
    assert_eq!(proposed.len(), expected.len(), "{proposed:?}");
    for (line, text) in proposed.iter().zip(&expected) {
        assert!(line.contains(text) && line.contains(" led_ms="), "{line} lacks {text}");
    }
    assert!(proposed[1].contains("caught_up=true"), "{proposed:?}");
    assert!(proposed[2].contains("caught_up=false"), "{proposed:?}");
    let refused = lines("AL0208");
    assert!(refused.len() <= proposed.len(), "{refused:?}");
    assert_eq!(lines("AL0206").len(), 1);
}

/// Guards against a member whose log does not show whom it follows, and against a line for each
/// election timeout without a quorum.
#[test]
fn loss_of_the_leader_is_logged_once() {
    let mut group = Group::start(&["a", "b", "c"]);
    let leader = group.leader().expect("leads");
    let other = group.follower();
    clear_lines();
    let lost: Vec<Name> = group.members.keys().filter(|name| **name != other).cloned().collect();
    group.silent.extend(lost);
    group.run(30_000);
    let changes = lines("AL0212");
    assert_eq!(changes.len(), 1, "{changes:?}");
    let text = format!("from={leader}.member-{leader} to=none");
    assert!(changes[0].contains(&text) && changes[0].contains("role=voter"), "{changes:?}");
    let heard = changes[0].split("heard_ms=").nth(1).and_then(|rest| rest.split(' ').next());
    let heard: Millis = heard.and_then(|text| text.parse().ok()).expect("a time");
    assert!((400..900).contains(&heard), "{changes:?}");
}

/// Guards against a member that is no longer in the group and does not say so, and against a line
/// for each of its requests.
#[test]
fn member_that_was_replaced_logs_once_that_it_asks_again() {
    let mut group = Group::start(&["a", "b", "c"]);
    let replaced = group.follower();
    group.silent.insert(replaced.clone());
    group.run(5_000);
    group.add("d", &["a", "b", "c"], false);
    group.run(5_000);
    clear_lines();
    group.silent.clear();
    group.run(20_000);
    let unlisted = lines("AL0213");
    assert_eq!(unlisted.len(), 1, "{unlisted:?}");
    let identity = name(&format!("{replaced}.member-{replaced}"));
    assert!(unlisted[0].contains(&format!("identity={identity} own_log=voter")), "{unlisted:?}");
    let joins = lines("AL0209");
    assert_eq!(joins.len(), 1, "{joins:?}");
    assert!(joins[0].contains(&format!("identity={identity} role=none")), "{joins:?}");
}

/// Guards against the claim that a group does not list its only survivor, from answers of members
/// that have no group.
#[test]
fn survivor_of_two_lost_disks_does_not_log_that_it_is_unlisted() {
    let mut group = Group::start(&["a", "b", "c"]);
    clear_lines();
    for instance in ["b", "c"] {
        group.lose_disk(&name(instance), "empty");
    }
    group.run(10_000);
    assert_eq!(lines("AL0203").len(), 2);
    assert_eq!(lines("AL0213"), Vec::<String>::new());
}

/// Guards against a group that cannot go on by itself and says so at no member, or again and again.
#[test]
fn more_lost_disks_than_tolerated_are_logged_once() {
    let mut group = Group::start(&["a", "b", "c"]);
    clear_lines();
    group.lose_disk(&name("b"), "empty");
    group.silent.insert(name("c"));
    group.run(10_000);
    assert_eq!(lines("AL0215"), Vec::<String>::new());
    let last = group.members[&name("a")].last_index();
    group.lose_disk(&name("c"), "empty");
    group.silent.clear();
    group.run(30_000);
    let lost = lines("AL0215");
    let lost: Vec<&String> = lost.iter().filter(|line| line.contains("=a.member-a ")).collect();
    assert_eq!(lost.len(), 1, "{lost:?}");
    assert!(lost[0].contains("[critical]"), "{lost:?}");
    let text = format!(
        "role=voter last_index={last} term=1 needed=2 left=[a.member-a] \
         lost=[b.member-b now=b.empty-b, c.member-c now=c.empty-c]"
    );
    assert!(lost[0].contains(&text), "{lost:?} lacks {text}");
}

/// Guards against a critical line at a member that was away while the others were replaced one
/// after another.
#[test]
fn outdated_member_does_not_log_lost_disks() {
    let mut group = Group::start(&["a", "b", "c"]);
    group.silent.insert(name("a"));
    group.run(5_000);
    group.add("d", &["a", "b", "c"], false);
    group.run(5_000);
    for instance in ["b", "c"] {
        group.open(instance, "later", &["a", "b", "c", "d"], false);
        group.run(10_000);
        assert!(group.leader().is_some());
    }
    clear_lines();
    group.raft_lost = true;
    group.silent.clear();
    group.run(10_000);
    let missed = lines("AL0214 control group has no leader: identity=a.member-a");
    assert!(missed[0].contains("b.member-b lost now=b.later-b"), "{missed:?}");
    assert!(missed[0].contains("c.member-c lost now=c.later-c"), "{missed:?}");
    let unlisted = "AL0213 control member is not listed by its group and asks to join again: \
                    identity=a.member-a own_log=voter";
    assert_eq!(lines(unlisted).len(), 1, "{:?}", lines("AL0213"));
    assert_eq!(lines("AL0215"), Vec::<String>::new());
}

/// Guards against a restart after which no line tells why nobody leads, and against a line for each
/// election timeout or moved age.
#[test]
fn lack_of_a_leader_is_logged_with_its_reason() {
    let mut group = Group::start(&["a", "b", "c"]);
    clear_lines();
    group.silent.insert(name("c"));
    group.lose_disk(&name("b"), "empty");
    group.run(1_500);
    assert_eq!(lines("AL0214"), Vec::<String>::new());
    group.run(30_000);
    let missed = lines("AL0214");
    let missed: Vec<&String> = missed.iter().filter(|line| line.contains("=a.member-a")).collect();
    assert_eq!(missed.len(), 1, "{missed:?}");
    for text in [
        "role=voter last_index=",
        " leaderless_ms=",
        "needed=2 answering=1",
        "a.member-a self, ",
        "b.member-b lost now=b.empty-b heard_ms=",
        "c.member-c silent heard_ms=",
    ] {
        assert!(missed[0].contains(text), "{missed:?} lacks {text}");
    }
    group.silent.clear();
    group.run(10_000);
    assert!(group.leader().is_some());
}

/// Guards against a flood of lines while a voter comes and goes.
#[test]
fn lack_of_a_leader_is_logged_rarely() {
    let mut group = Group::start(&["a", "b", "c"]);
    group.silent.extend(["b", "c"].map(name));
    group.raft_lost = true;
    clear_lines();
    for _ in 0..10 {
        group.run(2_000);
        group.silent.remove("b");
        group.run(1_000);
        group.silent.insert(name("b"));
    }
    let missed = lines("AL0214 control group has no leader: identity=a.member-a");
    assert!((2..=6).contains(&missed.len()), "{missed:?}");
    let answers = missed.iter().filter(|line| line.contains("answering=2")).count();
    assert!(answers > 0 && answers < missed.len(), "{missed:?}");
}

/// Guards against an alert on tolerated disk losses that stays silent while a voter is gone, or
/// lasts after it has been replaced, and against a number from a member that does not lead.
#[test]
fn tolerated_losses_follow_the_voters() {
    let mut group = Group::start(&["a", "b", "c"]);
    let silent = group.follower();
    let tolerated = |group: &Group| {
        let mut values = group.values("control_losses_tolerated");
        values.sort_unstable();
        values
    };
    assert_eq!(tolerated(&group), [-1, -1, 1]);
    assert_eq!(group.values("control_losses_configured"), [1, 1, 1]);
    group.silent.insert(silent);
    group.run(5_000);
    assert_eq!(tolerated(&group), [-1, 0]);
    assert_eq!(group.values("control_voters"), [3, 3]);
    group.add("d", &["a", "b", "c"], false);
    group.run(5_000);
    assert_eq!(tolerated(&group), [-1, -1, 1]);
    assert_eq!(group.values("control_voters"), [3, 3, 3]);
    assert_eq!(group.values("control_learners"), [0, 0, 0]);
}

/// Guards against a lost disk that is only known once its member has been replaced, and against a
/// voter that counts as lost afterwards.
#[test]
fn lost_voters_are_counted_until_they_are_replaced() {
    let mut group = Group::start(&["a", "b", "c"]);
    let (leader, lost) = (group.leader().expect("leads"), group.follower());
    assert_eq!(group.values("control_voters_lost"), [0, 0, 0]);
    assert_eq!(group.values("control_leaderless_ms"), [0, 0, 0]);
    let mut others: Vec<Name> = group.members.keys().cloned().collect();
    others.retain(|name| *name != leader && *name != lost);
    group.silent.extend(others);
    group.lose_disk(&lost, "empty");
    group.run(2_000);
    assert_eq!(value(&group.registries[leader.as_str()], "control_voters_lost"), 1);
    let leaderless = value(&group.registries[leader.as_str()], "control_leaderless_ms");
    assert!((500..2_000).contains(&leaderless), "{leaderless}");
    group.silent.clear();
    group.run(10_000);
    assert_eq!(group.values("control_voters_lost"), [0, 0, 0]);
    assert_eq!(group.values("control_leaderless_ms"), [0, 0, 0]);
}

/// Guards against a member without a lease that still reports what it knew as the leader.
#[test]
fn former_leader_reports_no_tolerated_losses() {
    let mut group = Group::start(&["a", "b", "c"]);
    let leader = group.leader().expect("leads");
    let others: Vec<Name> = group.members.keys().filter(|name| **name != leader).cloned().collect();
    assert_eq!(value(&group.registries[leader.as_str()], "control_leads"), 1);
    group.silent.extend(others);
    group.run(1_000);
    assert_eq!(group.values("control_leads"), [0]);
    assert_eq!(group.values("control_losses_tolerated"), [-1]);
}

/// Guards against a membership change that is counted under the wrong step or more than once.
#[test]
fn membership_steps_are_counted_at_the_leader() {
    let mut group = Group::start(&["a", "b", "c"]);
    let silent = group.follower();
    let leader = group.leader().expect("leads");
    group.silent.insert(silent);
    group.run(5_000);
    group.add("d", &["a", "b", "c"], false);
    group.run(5_000);
    for (kind, count) in [
        ("learner_added", 1),
        ("learner_removed", 0),
        ("learner_promoted", 1),
        ("voter_removed", 1),
    ] {
        let metric = format!("control_membership_steps_total{{kind=\"{kind}\"}}");
        assert_eq!(group.values(&metric).iter().sum::<i64>(), count, "{kind}");
        assert_eq!(value(&group.registries[leader.as_str()], &metric), count, "{kind}");
    }
}
