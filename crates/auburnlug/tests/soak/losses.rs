//! The end of all processes with the loss of a disk, also shortly after the loss of another one.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use auburnlug_bench::line_processes::control_hosts;
use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::{ENTRIES, record::CONTACT_TIME, trouble::Disturber};

/// Time within which the group serves once all trouble is over.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Event of a leader that a member without its disk has asked to join.
const JOIN_EVENT: &str = "AL0209";

impl Disturber {
    /// Ends all processes at the same moment, one control member loses its disk, and all start again.
    /// Returns the newest configuration that was acknowledged before.
    pub fn end_all(&mut self, rng: &mut ChaCha8Rng) -> u64 {
        let host = *self.deployment.seeds().choose(rng).unwrap();
        self.end_all_and_lose(host)
    }

    fn end_all_and_lose(&mut self, host: u8) -> u64 {
        let version = self.record.version.load(Ordering::Acquire);
        let d = &mut self.deployment;
        self.record.seen().trouble = Some(Instant::now());
        println!("all end, {host} without its disk");
        let hosts = d.kill_all().unwrap();
        d.lose_disk(host).unwrap();
        hosts.into_iter().for_each(|host| d.spawn(host, false).unwrap());
        self.record.seen().trouble = Some(Instant::now());
        version
    }

    /// Loses the disk of a control member, and that of another one with the end of all processes
    /// after the leader has heard of the first loss: the first member is suspended or cut off
    /// meanwhile, and returns up to 2 s before. Returns the newest configuration that was acknowledged
    /// before the end.
    pub fn lose_two(&mut self, rng: &mut ChaCha8Rng) -> u64 {
        let seeds = self.deployment.seeds().to_vec();
        let first = *seeds.choose(rng).unwrap();
        let others: Vec<u8> = seeds.into_iter().filter(|host| *host != first).collect();
        let second = *others.choose(rng).unwrap();
        let (down, away) = (rng.random_range(100..2_000), rng.random_range(4_000..7_000));
        let (is_cut, back) = (rng.random_bool(0.5), rng.random_range(0..2_000));
        self.note(&format!("{first} loses its disk, and later {second}"));
        let known = self.join_requests(first);
        self.deployment.lose_disk(first).unwrap();
        thread::sleep(Duration::from_millis(down));
        self.deployment.spawn(first, false).unwrap();
        let started = Instant::now();
        while self.join_requests(first) == known {
            if started.elapsed() > CONTACT_TIME {
                self.record.report(format!("JOIN no leader has heard of the lost disk of {first}"));
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.note(&format!("{first} leaves, cut off: {is_cut}"));
        match is_cut {
            true => self.deployment.isolate(first),
            false => drop(self.deployment.signal(first, Signal::STOP)),
        }
        thread::sleep(Duration::from_millis(away));
        self.note(&format!("{first} is back"));
        match is_cut {
            true => self.deployment.rejoin(),
            false => drop(self.deployment.signal(first, Signal::CONT)),
        }
        thread::sleep(Duration::from_millis(back));
        self.end_all_and_lose(second)
    }

    fn note(&self, text: &str) {
        self.record.seen().trouble = Some(Instant::now());
        println!("{text}");
    }

    /// Requests to join of the instance on a host that leaders have logged.
    fn join_requests(&self, host: u8) -> usize {
        let instance = format!("instance={} ", self.deployment.address(host, 0).ip());
        let logged = control_hosts().flat_map(|other| self.deployment.logged(other, JOIN_EVENT));
        logged.filter(|line| line.contains(&instance)).count()
    }

    /// Waits until the newest acknowledged configuration is read and each entry serves writes.
    pub fn await_recovery(&self, version: u64) {
        let over = Instant::now();
        let deployment = &self.deployment;
        while deployment.config_version() < Some(version) {
            if over.elapsed() > RECOVERY_TIME {
                self.record.report(format!("RECOVER configuration {version} is not read"));
                break;
            }
            self.record.seen().trouble = Some(Instant::now());
        }
        while (0..ENTRIES).any(|entry| !deployment.try_write(entry, "last")) {
            if over.elapsed() > RECOVERY_TIME {
                self.record.report("RECOVER no write is served".into());
                break;
            }
            self.record.seen().trouble = Some(Instant::now());
        }
    }
}
