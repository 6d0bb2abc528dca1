//! One play: members lose their disks and start again empty, are away as they join, and come back;
//! then the leader acknowledges a change and loses its disk as all processes end.

use std::{
    fmt, io,
    path::PathBuf,
    str::FromStr,
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use auburnlug_bench::control_processes::ControlProcesses;
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

/// Log event of a data folder that was opened.
const DISK_OPENED: &str = "AL0200";

/// Log event of a request to join, at the leader.
const JOIN_RECEIVED: &str = "AL0209";

/// Time within which the change is read after the last start.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Longest wait for a step of the play.
const STEP_TIME: Duration = Duration::from_secs(10);

/// Short interval: the moment of a suspension depends on it.
const WATCH_INTERVAL: Duration = Duration::from_millis(1);

/// Number of plays that this process has begun.
static PLAYS: AtomicU32 = AtomicU32::new(0);

/// How a member is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Suspended,
    /// All its links are held up.
    Cut,
    /// Links that others dial are held up if the leader is told, and links that it dials otherwise.
    CutOne,
}

/// A kind of play, as text: `3/told/suspended/follower`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    way: Way,
    /// Whether the leader has heard the new identity before the member is away.
    told: bool,
    /// Whether the leader is among the first members that lose their disks.
    leads: bool,
    /// Members. As many lose their disks first as the group tolerates at once.
    voters: u8,
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let parts: Vec<&str> = text.split('/').collect();
        let [voters, told, way, first] = parts[..] else { return Err(text.into()) };
        Ok(Kind {
            way: match way {
                "suspended" => Way::Suspended,
                "cut" => Way::Cut,
                "cut-one" => Way::CutOne,
                _ => return Err(text.into()),
            },
            told: match told {
                "told" => true,
                "untold" => false,
                _ => return Err(text.into()),
            },
            leads: match first {
                "leader" => true,
                "follower" => false,
                _ => return Err(text.into()),
            },
            voters: voters.parse().map_err(|_| text.to_owned())?,
        })
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let told = if self.told { "told" } else { "untold" };
        let way = match self.way {
            Way::Suspended => "suspended",
            Way::Cut => "cut",
            Way::CutOne => "cut-one",
        };
        let first = if self.leads { "leader" } else { "follower" };
        write!(f, "{}/{told}/{way}/{first}", self.voters)
    }
}

/// Result of a play.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was read in time.
    Held,
    /// It was not, or an older version was read under a valid lease.
    Broken(String),
    /// The play was not of its kind.
    Void(String),
}

/// What a play runs.
#[derive(Debug)]
pub struct Build {
    /// Program file.
    pub program: PathBuf,
    /// Whether the logs of a broken play are kept.
    pub keeps_logs: bool,
}

/// Plays `kind` once; the change is sent `gap` after the members came back.
pub fn play(build: &Build, kind: Kind, gap: Duration, seed: u64) -> Outcome {
    let (id, number) = (std::process::id(), PLAYS.fetch_add(1, Ordering::Relaxed));
    // No address is used again soon: a process that is just starting may still hold it.
    let net = [100 + (id % 100) as u8, (number % 250) as u8];
    let folder = std::env::temp_dir().join(format!("auburnlug-losses-{id}-{number}"));
    let started = ControlProcesses::start(&build.program, &folder, net, kind.voters);
    let mut group = match started {
        Ok(group) => group,
        Err(e) => return Outcome::Void(e.to_string()),
    };
    let outcome = play_in(&mut group, kind, gap, &mut ChaCha8Rng::seed_from_u64(seed));
    let outcome = outcome.unwrap_or_else(|e| Outcome::Void(e.to_string()));
    match outcome {
        Outcome::Broken(text) if build.keeps_logs => {
            group.processes.keep_logs();
            Outcome::Broken(format!("{text}; logs in {}", folder.display()))
        }
        outcome => outcome,
    }
}

fn play_in(
    group: &mut ControlProcesses,
    kind: Kind,
    gap: Duration,
    rng: &mut ChaCha8Rng,
) -> io::Result<Outcome> {
    let lost = choose_lost(group, kind, rng)?;
    let asked: Vec<usize> = lost.iter().map(|host| requests(group, *host)).collect();
    for host in &lost {
        group.processes.lose_disk(*host)?;
    }
    for host in &lost {
        send_away(group, kind, *host)?;
    }
    thread::sleep(Duration::from_millis(rng.random_range(5_000..7_000)));
    let is_told = |(host, asked): (&u8, &usize)| requests(group, *host) > *asked;
    if !kind.told && lost.iter().zip(&asked).any(is_told) {
        return Ok(Outcome::Void("the leader was told".into()));
    }
    group.eventually("a member leads", |g| g.leader().is_some())?;
    let leader = group.leader();
    group.wake()?;
    group.heal();
    thread::sleep(gap);
    let version = leader.map(|leader| group.publish_at(leader)).transpose()?.flatten();
    let (leader, version) = match leader.zip(version) {
        Some(acknowledged) => acknowledged,
        None => group.publish()?,
    };
    let hosts = group.processes.kill_all()?;
    group.processes.lose_disk(leader)?;
    thread::sleep(Duration::from_millis(rng.random_range(1_000..1_500)));
    for host in hosts {
        group.spawn(host)?;
    }
    Ok(read_back(group, version))
}

/// Members that lose their disks first.
fn choose_lost(group: &ControlProcesses, kind: Kind, rng: &mut ChaCha8Rng) -> io::Result<Vec<u8>> {
    group.eventually("a member leads", |g| g.leader().is_some())?;
    let leader = group.leader();
    let (mut lost, mut followers): (Vec<u8>, Vec<u8>) =
        group.hosts().partition(|host| Some(*host) == leader);
    followers.shuffle(rng);
    if !kind.leads {
        lost.clear();
    }
    lost.extend(followers);
    lost.truncate(usize::from(kind.voters - 1) / 2);
    Ok(lost)
}

/// Requests to join that any member has logged for `host` while it led.
fn requests(group: &ControlProcesses, host: u8) -> usize {
    let name = format!("instance={} ", ControlProcesses::label(host));
    let lines = group.hosts().flat_map(|member| group.processes.logged(member, JOIN_RECEIVED));
    lines.filter(|line| line.contains(&name)).count()
}

/// Starts a member that lost its disk, and suspends it or cuts it off as it joins.
fn send_away(group: &mut ControlProcesses, kind: Kind, host: u8) -> io::Result<()> {
    let asked = requests(group, host);
    let opened = group.processes.logged(host, DISK_OPENED).len();
    if !kind.told {
        cut(group, kind, host);
    }
    group.spawn(host)?;
    if kind.told {
        watch("a request to join", || requests(group, host) > asked)?;
        cut(group, kind, host);
    } else {
        watch("a new data folder", || group.processes.logged(host, DISK_OPENED).len() > opened)?;
    }
    if kind.way == Way::Suspended { group.suspend(host) } else { Ok(()) }
}

fn cut(group: &ControlProcesses, kind: Kind, host: u8) {
    if kind.way == Way::Cut || kind.way == Way::CutOne && kind.told {
        group.hold_inbound(host);
    }
    if kind.way == Way::Cut || kind.way == Way::CutOne && !kind.told {
        group.hold_outbound(host);
    }
}

fn watch(what: &str, check: impl Fn() -> bool) -> io::Result<()> {
    let started = Instant::now();
    while !check() {
        if started.elapsed() > STEP_TIME {
            return Err(io::Error::new(io::ErrorKind::TimedOut, format!("not in time: {what}")));
        }
        thread::sleep(WATCH_INTERVAL);
    }
    Ok(())
}

/// Reads the version at all members until one has it.
fn read_back(group: &ControlProcesses, version: u64) -> Outcome {
    let started = Instant::now();
    while started.elapsed() < RECOVERY_TIME {
        for host in group.hosts() {
            match group.version(host) {
                Some(read) if read >= version => return Outcome::Held,
                Some(read) => return Outcome::Broken(format!("{read} was read, not {version}")),
                None => {}
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    Outcome::Broken("nothing was read in time".into())
}
