//! Control members of the PostgreSQL side as real processes on loopback, without entries and
//! servers. Links between each pair can be held up in each direction of dialing.
//!
//! Each member is reached by each other one over a link of its own: member `n` uses the port
//! `LINK_PORT + n` of all members, and a link forwards that port of another member to the other's
//! own one.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use auburnlug_protocol::operator::{Answer, CHANGE_PATH, Request, STATUS_PATH, Status};
use auburnlug_state::{Change, Edit, Index, Name};
use rustix::process::Signal;
use tokio::runtime::{Builder, Runtime};

use crate::{
    held_link::HeldLink,
    line_client::call_http_with,
    links::Links,
    processes::{POLL_INTERVAL, Processes},
};

const LINK_PORT: u16 = 18_560;

const HTTP_PORT: u16 = 18_462;

const SECRETS: [&str; 4] = ["cluster", "operator", "announce", "database"];

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A control group whose members are the hosts from 1 on.
#[derive(Debug)]
pub struct ControlProcesses {
    /// Processes of the members.
    pub processes: Processes,
    /// Links between two members, by the hosts of the dialing and the accepting one.
    pub links: Links,
    /// Second and third byte of all addresses.
    net: [u8; 2],
    voters: u8,
    suspended: BTreeSet<u8>,
    /// Number of changes that were sent.
    changes: u32,
    /// Runs the links.
    _runtime: Runtime,
}

impl ControlProcesses {
    /// Starts `voters` members of `program` and waits until they tolerate as many lost disks as
    /// they are meant to. `net` must differ between groups that run at the same time.
    ///
    /// # Errors
    ///
    /// An address cannot be used, a process cannot be started, or the group is not ready in time.
    pub fn start(
        program: &Path,
        folder: &Path,
        net: [u8; 2],
        voters: u8,
    ) -> io::Result<ControlProcesses> {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let address = |host: u8, port: u16| SocketAddr::from(([127, net[0], net[1], host], port));
        let links = runtime.block_on(async {
            let mut links = BTreeMap::new();
            for from in 1..=voters {
                for to in (1..=voters).filter(|to| *to != from) {
                    let listen = address(to, LINK_PORT + u16::from(from));
                    let target = address(to, LINK_PORT + u16::from(to));
                    links.insert((from, to), HeldLink::open(listen, target).await?);
                }
            }
            io::Result::Ok(links)
        })?;
        let processes = Processes::new(program, folder)?;
        for name in SECRETS {
            fs::write(folder.join(name), format!("{name}-secret"))?;
        }
        let mut group = ControlProcesses {
            processes,
            links,
            net,
            voters,
            suspended: BTreeSet::new(),
            changes: 0,
            _runtime: runtime,
        };
        for host in 1..=voters {
            group.spawn(host)?;
        }
        group.eventually("a member leads", |g| g.leader().is_some())?;
        group.publish()?;
        group.eventually("the configured losses are tolerated", ControlProcesses::is_whole)?;
        Ok(group)
    }

    /// Hosts of the members.
    pub fn hosts(&self) -> impl Iterator<Item = u8> + use<> {
        1..=self.voters
    }

    /// Name of a member.
    pub fn label(host: u8) -> String {
        format!("c{host}")
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net[0], self.net[1], host], port))
    }

    /// Starts the process of a member unless it runs.
    ///
    /// # Errors
    ///
    /// The settings cannot be written, or the process cannot be started.
    pub fn spawn(&mut self, host: u8) -> io::Result<()> {
        let port = LINK_PORT + u16::from(host);
        let member = |host| format!("{}@{}", Self::label(host), self.address(host, port));
        let members: Vec<_> = self.hosts().map(member).collect();
        let secret = |name: &str| self.processes.folder().join(name).display().to_string();
        // Links accept connections to members that are down, so a refusal proves nothing.
        let text = format!(
            "[instance]\nformat = 1\nname = {}\nregion = r1\ndomain = d{host}\nroles = control\n\
             data = {}\npeer = {}\nhttp = {}\nsource = {}\n\
             [control]\nmembers = {}\ntrust_refused = no\n\
             [secrets]\ncluster = {}\noperator = {}\nannounce = {}\ndatabase_user = auburnlug\n\
             database_password = {}\n",
            Self::label(host),
            self.processes.data_folder(host).display(),
            self.address(host, port),
            self.address(host, HTTP_PORT),
            self.address(host, 0).ip(),
            members.join(", "),
            secret("cluster"),
            secret("operator"),
            secret("announce"),
            secret("database"),
        );
        self.processes.spawn(host, "run", &text)
    }

    /// Suspends the process of a member.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn suspend(&mut self, host: u8) -> io::Result<()> {
        self.suspended.insert(host);
        self.processes.signal(host, Signal::STOP)
    }

    /// Wakes the processes that were suspended.
    ///
    /// # Errors
    ///
    /// A process has ended.
    pub fn wake(&mut self) -> io::Result<()> {
        let suspended = std::mem::take(&mut self.suspended);
        suspended.into_iter().try_for_each(|host| self.processes.signal(host, Signal::CONT))
    }

    /// Heals all links.
    pub fn heal(&self) {
        self.links.values().for_each(|link| link.heal());
    }

    /// Status that a member reports.
    pub fn status(&self, host: u8) -> Option<Status> {
        let (status, body) = self.call(host, "GET", STATUS_PATH, "");
        (status == 200).then(|| serde_json::from_str(&body).ok())?
    }

    /// Member that leads and has a valid lease. Members that are suspended are not asked.
    pub fn leader(&self) -> Option<u8> {
        let mut hosts = self.processes.hosts().filter(|host| !self.suspended.contains(host));
        hosts.find(|host| self.leads(*host))
    }

    /// Leader, and the version that it reads.
    pub fn leader_version(&self) -> Option<(u8, Index)> {
        let leader = self.leader()?;
        Some((leader, self.version(leader)?))
    }

    /// Whether a member leads and has a valid lease.
    pub fn leads(&self, host: u8) -> bool {
        let leader = self.status(host).and_then(|status| status.leader);
        leader == Some(self.address(host, HTTP_PORT))
    }

    /// Version of the template that a member reads under a valid lease.
    pub fn version(&self, host: u8) -> Option<Index> {
        self.status(host).filter(|status| status.leader.is_some()).map(|status| status.version)
    }

    /// Whether the group tolerates the configured number of lost disks.
    fn is_whole(&self) -> bool {
        let losses = self.processes.hosts().find_map(|host| self.status(host)?.losses);
        losses.is_some_and(|losses| losses.tolerated >= losses.configured)
    }

    /// Publishes a template with another burst at the leader; returns the leader, which
    /// acknowledged it, and the version.
    ///
    /// # Errors
    ///
    /// No leader acknowledged it in time.
    pub fn publish(&mut self) -> io::Result<(u8, Index)> {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some((leader, base)) = self.leader_version()
                && let Some(version) = self.publish_at(leader, base)?
            {
                return Ok((leader, version));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(self.timed_out("a change is acknowledged"))
    }

    /// Publishes a template with another burst, made from the version `base`, at a member; returns
    /// the acknowledged version.
    ///
    /// # Errors
    ///
    /// The request cannot be made.
    pub fn publish_at(&mut self, host: u8, base: Index) -> io::Result<Option<Index>> {
        self.changes += 1;
        let name = |text: &str| Name::try_from(text).map_err(io::Error::other);
        let change = Change {
            id: name(&format!("change-{}", self.changes))?,
            operator: name("bench")?,
            base,
            edit: Edit::Publish(template(100 + self.changes)),
        };
        let request = Request::try_from(change).and_then(|request| request.encode());
        let body = request.map_err(io::Error::other)?;
        let (status, body) = self.call(host, "POST", CHANGE_PATH, &String::from_utf8_lossy(&body));
        match Answer::decode(status, body.as_bytes()) {
            Ok(Answer::Changed { version }) => Ok(Some(version)),
            Ok(Answer::Invalid { reason }) => Err(io::Error::other(reason)),
            _ => Ok(None),
        }
    }

    fn call(&self, host: u8, method: &str, path: &str, body: &str) -> (u16, String) {
        let header = "Authorization: Bearer operator-secret\r\n";
        call_http_with(self.address(host, HTTP_PORT), method, path, header, body)
    }

    /// Waits for a condition.
    ///
    /// # Errors
    ///
    /// It is not met in time.
    pub fn eventually(
        &self,
        what: &str,
        check: impl Fn(&ControlProcesses) -> bool,
    ) -> io::Result<()> {
        let started = Instant::now();
        while !check(self) {
            if started.elapsed() > WAIT_TIMEOUT {
                return Err(self.timed_out(what));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn timed_out(&self, what: &str) -> io::Error {
        let text = format!("not in time: {what}; logs in {}", self.processes.folder().display());
        io::Error::new(io::ErrorKind::TimedOut, text)
    }
}

/// A template with one group, route and client account.
fn template(burst: u32) -> String {
    let key = "0".repeat(64);
    format!(
        "[template]\nformat = 1\nname = bench\n\
         [group g1]\nsize = 3\ndatabase = g1\n\
         [route reads]\nstatement = select value from t\nkind = read\nidempotent = yes\n\
         open = no\nclass = interactive\n\
         [account a1]\nrate = 200\nburst = {burst}\nage = 500\nkey = {key}\n"
    )
}
