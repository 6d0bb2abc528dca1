//! Troubles: what happens to links, instances and servers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use auburnlug_bench::line_processes::{
    ENTRY_HOST, LineProcesses, SERVER_INNER_PORT, control_hosts,
};
use rand::{
    Rng,
    seq::{IndexedMutRandom, IndexedRandom},
};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::{
    ENTRIES, SERVERS,
    record::{CONTACT_TIME, Record},
};

/// Time within which an entry that was told to stop must have ended.
const GRACE_TIME: Duration = Duration::from_millis(6_500);

/// Probability of the loss of a disk in a round.
const LOSS_PROBABILITY: f64 = 0.4;

/// Probability of a round in which two disks are lost.
const SECOND_LOSS_PROBABILITY: f64 = 0.15;

/// One trouble; it starts at a time of its own and ends after another.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// Instance cut off from the control members.
    Cut(u8),
    /// Instance killed and started again.
    Kill(u8),
    /// Instance suspended.
    Suspend(u8),
    /// Entry stopped gracefully and started again.
    Stop(u8),
    /// Authority cut off from the leader, from the next order on, and the leader killed, suspended
    /// or cut off with it.
    Order(u8),
    /// Server cut off from the control members.
    Server(u8),
    /// Server cut off from all.
    Dark(u8),
    /// Server killed and started again with its log.
    Crash(u8),
    /// Server that reports that it is draining.
    Drain(u8),
    /// Replica that receives nothing.
    Deaf(u8),
    /// Control member that loses its disk and starts again.
    Disk(u8),
    /// Control member that is removed for good, and its successor at another address.
    Replace(u8, u8),
}

impl Trouble {
    /// Draws a trouble that loses no disk; `members` are the hosts of the control members.
    fn draw(rng: &mut ChaCha8Rng, members: &[u8]) -> Trouble {
        let entry = ENTRY_HOST + rng.random_range(0..ENTRIES);
        let control = *members.choose(rng).unwrap();
        let instance = if rng.random_bool(0.5) { entry } else { control };
        let server = *SERVERS.choose(rng).unwrap();
        match rng.random_range(0..10) {
            0 => Trouble::Cut(instance),
            1 => Trouble::Kill(instance),
            2 => Trouble::Suspend(instance),
            3 => Trouble::Stop(entry),
            4 | 5 => Trouble::Order(rng.random_range(0..3)),
            6 => Trouble::Server(server),
            7 => Trouble::Crash(server),
            8 => Trouble::Drain(server),
            _ if rng.random_bool(0.5) => Trouble::Dark(server),
            _ => Trouble::Deaf(server),
        }
    }
}

/// Start or end of a trouble in a round.
struct RoundEvent {
    /// Time since the start of the round, in milliseconds.
    at: u64,
    /// Number of the trouble in the round.
    number: usize,
    begins: bool,
    trouble: Trouble,
}

/// Adds a trouble that begins at `at` and takes `length` milliseconds.
fn push_trouble(events: &mut Vec<RoundEvent>, trouble: Trouble, at: u64, length: u64) {
    let number = events.len() / 2;
    events.push(RoundEvent { at, number, begins: true, trouble });
    events.push(RoundEvent { at: at + length, number, begins: false, trouble });
}

/// Starts and ends troubles.
pub struct Disturber {
    pub deployment: LineProcesses,
    pub record: Arc<Record>,
    /// Processes that were told to stop, by host.
    stopped: BTreeMap<u8, Option<u32>>,
    /// Leaders whose order was held up, and what became of them.
    leaders: Vec<(u8, u8)>,
}

impl Disturber {
    pub fn new(deployment: LineProcesses, record: Arc<Record>) -> Disturber {
        Disturber { deployment, record, stopped: BTreeMap::new(), leaders: Vec::new() }
    }

    fn begin(&mut self, trouble: Trouble) {
        let d = &mut self.deployment;
        match trouble {
            Trouble::Cut(host) => d.isolate(host),
            Trouble::Kill(host) => d.kill(host).unwrap(),
            Trouble::Suspend(host) => drop(d.signal(host, Signal::STOP)),
            Trouble::Stop(host) => {
                self.stopped.insert(host, d.pid(host));
                let _ = d.signal(host, Signal::TERM);
            }
            Trouble::Order(how) => {
                let Some(leader) = d.leader() else { return };
                d.authority.hold_next("post /promotion");
                let primary: u8 = d.group.primary().trim_start_matches('s').parse().unwrap_or(0);
                self.record.seen().draining.push(primary);
                let held = d.authority.held_bytes();
                let until = Instant::now() + Duration::from_secs(3);
                while d.authority.held_bytes() == held && Instant::now() < until {
                    thread::sleep(Duration::from_millis(5));
                }
                self.leaders.push((how, leader));
                match how {
                    0 => d.isolate(leader),
                    1 => d.kill(leader).unwrap(),
                    _ => drop(d.signal(leader, Signal::STOP)),
                }
            }
            Trouble::Server(server) => d.servers[&server].hold(" node-"),
            Trouble::Dark(server) => d.servers[&server].hold(""),
            Trouble::Crash(server) => d.group.kill(&format!("s{server}")),
            Trouble::Drain(server) => self.record.seen().draining.push(server),
            Trouble::Deaf(server) => {
                if d.group.primary() != format!("s{server}") {
                    d.group.set_deaf(&format!("s{server}"), true);
                }
            }
            Trouble::Disk(host) => d.lose_disk(host).unwrap(),
            Trouble::Replace(host, _) => d.remove(host).unwrap(),
        }
    }

    fn end(&mut self, trouble: Trouble) {
        let id = |server: u8| format!("s{server}");
        let d = &mut self.deployment;
        match trouble {
            Trouble::Cut(_) => d.rejoin(),
            Trouble::Kill(host) | Trouble::Disk(host) => d.spawn(host, false).unwrap(),
            Trouble::Replace(host, successor) => d.replace(host, successor).unwrap(),
            Trouble::Suspend(host) => drop(d.signal(host, Signal::CONT)),
            Trouble::Stop(host) => {
                let stopped = self.stopped.remove(&host).flatten();
                let is_stopping = stopped.is_some() && stopped == d.pid(host);
                // Another trouble may have suspended the process.
                let _ = d.signal(host, Signal::CONT);
                if is_stopping && !d.wait(host, GRACE_TIME).unwrap() {
                    self.record.report(format!("instance {host} has not stopped in time"));
                    d.kill(host).unwrap();
                }
                d.spawn(host, false).unwrap();
            }
            Trouble::Order(how) => {
                let index = self.leaders.iter().position(|(h, _)| *h == how);
                match index.map(|index| self.leaders.remove(index)) {
                    Some((0, _)) => d.rejoin(),
                    Some((1, leader)) => {
                        d.kill(leader).and_then(|()| d.spawn(leader, false)).unwrap()
                    }
                    _ => {}
                }
                // A suspended process cannot take back what the link holds.
                for host in control_hosts() {
                    let _ = d.signal(host, Signal::CONT);
                }
                thread::sleep(Duration::from_millis(100));
                d.authority.heal();
                self.record.seen().draining.clear();
            }
            Trouble::Server(server) | Trouble::Dark(server) => d.servers[&server].heal(),
            Trouble::Crash(server) => {
                if !d.group.is_running(&id(server)) {
                    let address = d.address(20 + server, SERVER_INNER_PORT);
                    // The listener of the former process may not be closed yet.
                    while d.run(d.group.add(&id(server), address)).is_err() {
                        thread::sleep(Duration::from_millis(10));
                    }
                }
            }
            Trouble::Drain(server) => self.record.seen().draining.retain(|s| *s != server),
            Trouble::Deaf(server) => d.group.set_deaf(&id(server), false),
        }
    }

    /// Draws the troubles of a round.
    fn draw_round(&self, rng: &mut ChaCha8Rng, planned: bool) -> Vec<RoundEvent> {
        let mut events = Vec::new();
        let mut members = self.deployment.seeds().to_vec();
        // A disk is lost only once the group has recovered from the trouble before.
        if !planned && rng.random_bool(LOSS_PROBABILITY) {
            let host = members.choose_mut(rng).unwrap();
            let back = rng.random_range(100..2_000);
            let loss = match self.deployment.unused_host() {
                Some(successor) if rng.random_bool(0.5) => {
                    let trouble = Trouble::Replace(*host, successor);
                    *host = successor;
                    trouble
                }
                _ => Trouble::Disk(*host),
            };
            push_trouble(&mut events, loss, 0, back);
            if rng.random_bool(0.5) {
                let suspended = back + rng.random_range(0..1_500);
                let length = rng.random_range(2_000..4_500);
                push_trouble(&mut events, Trouble::Suspend(*host), suspended, length);
            }
        }
        for number in 0..rng.random_range(1..5_u8) {
            let at = rng.random_range(0..2_500);
            let trouble = match planned {
                true => Trouble::Stop(ENTRY_HOST + number % ENTRIES),
                false => Trouble::draw(rng, &members),
            };
            if planned && number >= ENTRIES {
                break;
            }
            push_trouble(&mut events, trouble, at, rng.random_range(100..5_000));
        }
        events.sort_by_key(|event| (event.at, event.number, !event.begins));
        events
    }

    /// Plays overlapping troubles in rounds, each followed by a time without any.
    pub fn play(&mut self, rng: &mut ChaCha8Rng, length: Duration) {
        let started = Instant::now();
        while started.elapsed() < length {
            if rng.random_bool(SECOND_LOSS_PROBABILITY) {
                let version = self.lose_two(rng);
                self.await_recovery(version);
                thread::sleep(CONTACT_TIME);
                continue;
            }
            let planned = rng.random_bool(0.2);
            let events = self.draw_round(rng, planned);
            self.record.seen().planned = planned;
            let round = Instant::now();
            for RoundEvent { at, begins, trouble, .. } in events {
                thread::sleep(Duration::from_millis(at).saturating_sub(round.elapsed()));
                self.record.seen().trouble = Some(Instant::now());
                println!("{:?} {} {trouble:?}", started.elapsed(), if begins { "+" } else { "-" });
                if begins {
                    self.begin(trouble)
                } else {
                    self.end(trouble)
                }
                self.record.seen().trouble = Some(Instant::now());
            }
            self.record.seen().planned = false;
            thread::sleep(CONTACT_TIME + Duration::from_millis(rng.random_range(0..1_500)));
        }
    }
}
