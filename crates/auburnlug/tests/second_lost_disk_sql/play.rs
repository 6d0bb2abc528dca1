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

use auburnlug_bench::{control_processes::ControlProcesses, links};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

/// Log event of a data folder that was opened.
const DISK_OPENED: &str = "AL0200";

/// Log event of the founding of a group.
const GROUP_FORMED: &str = "AL0202";

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
    /// Cut off from all.
    Cut,
    /// Hears nobody, but is heard.
    Deaf,
    /// Is heard by nobody, but hears.
    Mute,
}

impl Way {
    const ALL: [(&str, Way); 4] = [
        ("suspended", Way::Suspended),
        ("cut", Way::Cut),
        ("deaf", Way::Deaf),
        ("mute", Way::Mute),
    ];

    fn begin(self, group: &mut ControlProcesses, host: u8) -> io::Result<()> {
        match self {
            Way::Suspended => group.suspend(host)?,
            Way::Cut => links::isolate(&group.links, host),
            Way::Deaf => links::hold_inbound(&group.links, host),
            Way::Mute => links::hold_outbound(&group.links, host),
        }
        Ok(())
    }
}

/// A kind of play, as text: `3/told/suspended/follower`; `5x1/...` if one of five members loses its
/// disk first, and not two.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    way: Way,
    /// Whether the leader has heard the new identity before the member is away.
    told: bool,
    /// Whether the leader is among the first members that lose their disks.
    leads: bool,
    voters: usize,
    /// Members that lose their disks first. All in all, one more loses it than the group tolerates.
    first: usize,
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let parse = |number: &str| number.parse::<usize>().map_err(|_| text.to_owned());
        let choose = |part: &str, yes, no| match part {
            part if part == yes => Ok(true),
            part if part == no => Ok(false),
            _ => Err(text.to_owned()),
        };
        let parts: Vec<&str> = text.split('/').collect();
        let [size, told, way, first_lost] = parts[..] else { return Err(text.into()) };
        let (voters, first) = match size.split_once('x') {
            Some((voters, first)) => (parse(voters)?, parse(first)?),
            None => (parse(size)?, parse(size)?.saturating_sub(1) / 2),
        };
        let way = Way::ALL.into_iter().find(|(name, _)| *name == way).ok_or(text)?.1;
        let told = choose(told, "told", "untold")?;
        let leads = choose(first_lost, "leader", "follower")?;
        Ok(Kind { way, told, leads, voters, first })
    }
}

impl Kind {
    /// Number of lost disks that the group tolerates at once.
    fn tolerated(self) -> usize {
        self.voters.saturating_sub(1) / 2
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let told = if self.told { "told" } else { "untold" };
        let way =
            Way::ALL.into_iter().find(|(_, way)| *way == self.way).map_or("", |found| found.0);
        let lost = if self.leads { "leader" } else { "follower" };
        let size = match self.first {
            first if first == self.tolerated() => self.voters.to_string(),
            first => format!("{}x{first}", self.voters),
        };
        write!(f, "{size}/{told}/{way}/{lost}")
    }
}

/// Result of a play.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was read in time.
    Held,
    /// It was not, an older version was read under a valid lease, a second group was founded, or no
    /// change was acknowledged before.
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
    let started = ControlProcesses::start(&build.program, &folder, net, kind.voters as u8);
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
    let founded = count_founded(group);
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
    let (leader, version) = match acknowledge_change(group, gap) {
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return Ok(Outcome::Broken(e.to_string())),
        acknowledged => acknowledged?,
    };
    let hosts = group.processes.kill_all()?;
    let others = hosts.iter().filter(|host| **host != leader && !lost.contains(host));
    for host in others.take(kind.tolerated() - kind.first).chain([&leader]) {
        group.processes.lose_disk(*host)?;
    }
    thread::sleep(Duration::from_millis(rng.random_range(1_000..1_500)));
    for host in hosts {
        group.spawn(host)?;
    }
    let outcome = read_back(group, version);
    if count_founded(group) > founded {
        return Ok(Outcome::Broken("a second group was founded".into()));
    }
    Ok(outcome)
}

/// Ends the absence, and publishes a change `gap` later; returns the leader, which acknowledged it,
/// and the version.
fn acknowledge_change(group: &mut ControlProcesses, gap: Duration) -> io::Result<(u8, u64)> {
    group.eventually("a member leads", |g| g.leader_version().is_some())?;
    let known = group.leader_version();
    group.wake()?;
    group.heal();
    thread::sleep(gap);
    if let Some((leader, base)) = known
        && let Some(version) = group.publish_at(leader, base)?
    {
        return Ok((leader, version));
    }
    group.publish()
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
    lost.truncate(kind.first);
    Ok(lost)
}

/// Number of times that members have logged the founding of a group.
fn count_founded(group: &ControlProcesses) -> usize {
    group.hosts().map(|host| group.processes.logged(host, GROUP_FORMED).len()).sum()
}

/// Requests to join that any member has logged for `host` while it led.
fn requests(group: &ControlProcesses, host: u8) -> usize {
    let name = format!("instance={} ", ControlProcesses::label(host));
    let lines = group.hosts().flat_map(|member| group.processes.logged(member, JOIN_RECEIVED));
    lines.filter(|line| line.contains(&name)).count()
}

/// Starts a member that lost its disk, which is then away.
fn send_away(group: &mut ControlProcesses, kind: Kind, host: u8) -> io::Result<()> {
    let asked = requests(group, host);
    let opened = group.processes.logged(host, DISK_OPENED).len();
    if kind.told {
        // It would be a voter again within some 20 ms.
        links::hold_updates(&group.links, host);
        group.spawn(host)?;
        watch("a request to join", || requests(group, host) > asked)?;
        kind.way.begin(group, host)?;
        if kind.way != Way::Deaf {
            links::pass_updates(&group.links, host);
        }
    } else if kind.way == Way::Suspended {
        group.spawn(host)?;
        watch("a new data folder", || group.processes.logged(host, DISK_OPENED).len() > opened)?;
        kind.way.begin(group, host)?;
    } else {
        kind.way.begin(group, host)?;
        group.spawn(host)?;
    }
    Ok(())
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
