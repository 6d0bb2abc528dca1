//! A deployment of real processes on loopback: control members and entries, with a stand-in group
//! and authority, and links between all of them that can be held up. Control members can be removed
//! and replaced.
//!
//! Each control member is reached by each other instance over a link of its own: instance `n` uses
//! the port `LINK_PORT + n` for its links, and a link forwards that port of each control member to
//! the member's own one.

mod losses;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    fs, io,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};

use crate::{
    held_link::HeldLink,
    line_client::{Caller, call_http},
    line_group::{LineGroup, serve_authority},
    links::Links,
    processes::{POLL_INTERVAL, Processes},
};

/// Port of host 0 for links; the port of another host is higher by its number.
pub const LINK_PORT: u16 = 17_560;

/// Port of the control members for operators and servers.
pub const OPERATOR_PORT: u16 = 17_462;

/// Port of the entries for callers.
pub const CALLER_PORT: u16 = 17_465;

const READINESS_PORT: u16 = 17_460;

/// Port of a server, behind the link that leads to it.
pub const SERVER_PORT: u16 = 17_080;

/// Port of a server for its link.
pub const SERVER_INNER_PORT: u16 = 17_081;

const AUTHORITY_PORT: u16 = 17_466;

/// Port of the authority for its link.
const AUTHORITY_INNER_PORT: u16 = 17_467;

/// Hosts of the control members at the start, unless there are more; the settings of all instances
/// name them.
pub const CONTROL_HOSTS: [u8; 3] = [1, 2, 3];

/// Hosts for control members that replace others.
pub const SUCCESSOR_HOSTS: [u8; 3] = [4, 5, 6];

/// Host of the first entry.
pub const ENTRY_HOST: u8 = 10;

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of instances of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Control members at the start, on the first control hosts; at most 5.
    pub members: u8,
    /// Disks of control members that may be lost at once.
    pub losses: u8,
    pub entries: u8,
}

/// A deployment with control members and three servers, `s1` to `s3`.
#[derive(Debug)]
pub struct LineProcesses {
    processes: Processes,
    /// Second and third byte of all addresses.
    net: [u8; 2],
    /// Group of servers.
    pub group: Arc<LineGroup>,
    /// Link from all control members to the authority.
    pub authority: Arc<HeldLink>,
    /// Links from all instances to each server.
    pub servers: BTreeMap<u8, Arc<HeldLink>>,
    /// Links between two instances, by the hosts of the dialing and the accepting one.
    pub members: Links,
    /// Hosts of the control members that the settings of an instance name.
    seeds: Vec<u8>,
    /// Disks of control members that may be lost at once.
    losses: u8,
    /// Sections of the settings of all instances that follow the usual ones.
    more_settings: String,
    /// Hosts that were removed for good.
    removed: BTreeSet<u8>,
    runtime: Runtime,
}

impl LineProcesses {
    /// Starts three control members and `entries` entries, as [`LineProcesses::start_sized`] does.
    ///
    /// # Errors
    ///
    /// As for [`LineProcesses::start_sized`].
    pub fn start(
        program: &Path,
        folder: &Path,
        net: [u8; 2],
        entries: u8,
    ) -> io::Result<LineProcesses> {
        LineProcesses::start_sized(program, folder, net, Size { members: 3, losses: 1, entries })
    }

    /// Starts control members and entries of `program`, and waits until they serve. The logs are
    /// kept in `folder`; `net` must differ between deployments that run at the same time.
    ///
    /// # Errors
    ///
    /// An address cannot be used, a process cannot be started, or the deployment is not ready in
    /// time.
    pub fn start_sized(
        program: &Path,
        folder: &Path,
        net: [u8; 2],
        size: Size,
    ) -> io::Result<LineProcesses> {
        LineProcesses::start_with(program, folder, net, size, "")
    }

    /// Starts control members and entries as [`LineProcesses::start_sized`] does, with more sections
    /// in their settings.
    ///
    /// # Errors
    ///
    /// As for [`LineProcesses::start_sized`].
    pub fn start_with(
        program: &Path,
        folder: &Path,
        net: [u8; 2],
        size: Size,
        more_settings: &str,
    ) -> io::Result<LineProcesses> {
        let Size { members: count, losses, entries } = size;
        let seeds: Vec<u8> = control_hosts().take(count.into()).collect();
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let address = |host: u8, port: u16| SocketAddr::from(([127, net[0], net[1], host], port));
        let group = LineGroup::new("g1");
        let entry_hosts = (0..entries).map(|n| ENTRY_HOST + n);
        let (authority, servers, members) = runtime.block_on(async {
            let mut servers = BTreeMap::new();
            for server in 1..=3 {
                let inner = address(20 + server, SERVER_INNER_PORT);
                group.add(&format!("s{server}"), inner).await?;
                let link = HeldLink::open(address(20 + server, SERVER_PORT), inner).await?;
                servers.insert(server, link);
            }
            let inner = address(9, AUTHORITY_INNER_PORT);
            serve_authority(inner, vec![group.clone()]).await?;
            let authority = HeldLink::open(address(9, AUTHORITY_PORT), inner).await?;
            let mut members = BTreeMap::new();
            for from in control_hosts().chain(entry_hosts.clone()) {
                for to in control_hosts().filter(|to| *to != from) {
                    let listen = address(to, LINK_PORT + u16::from(from));
                    let target = address(to, LINK_PORT + u16::from(to));
                    members.insert((from, to), HeldLink::open(listen, target).await?);
                }
            }
            io::Result::Ok((authority, servers, members))
        })?;
        let mut deployment = LineProcesses {
            processes: Processes::new(program, folder)?,
            net,
            group,
            authority,
            servers,
            members,
            seeds: seeds.clone(),
            losses,
            more_settings: more_settings.to_owned(),
            removed: BTreeSet::new(),
            runtime,
        };
        for host in seeds.into_iter().chain(entry_hosts) {
            deployment.spawn(host, true)?;
        }
        deployment.publish(&deployment.config(1))?;
        for server in 1..=3 {
            deployment.send_heartbeat(server, 1, "ready")?;
        }
        for entry in 0..entries {
            deployment.eventually("a write is served", |d| d.try_write(entry, "probe"))?;
        }
        Ok(deployment)
    }

    /// Address of a host.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net[0], self.net[1], host], port))
    }

    /// Name of an instance in its logs and calls.
    pub fn label(host: u8) -> String {
        format!("node-{host}")
    }

    /// Starts the process of an instance unless it runs or was removed.
    ///
    /// # Errors
    ///
    /// The settings cannot be written, or the process cannot be started.
    pub fn spawn(&mut self, host: u8, first_start: bool) -> io::Result<()> {
        if self.removed.contains(&host) {
            return Ok(());
        }
        let ip = self.address(host, 0).ip();
        let is_control = control_hosts().any(|control| control == host);
        let seeds = self.seeds.iter().map(|seed| self.address(*seed, OPERATOR_PORT).to_string());
        let listen = if is_control {
            format!("operator = {ip}:{OPERATOR_PORT}")
        } else {
            format!("callers = {ip}:{CALLER_PORT}\nready = {ip}:{READINESS_PORT}")
        };
        let text = format!(
            "[instance]\nname = {}\nip = {ip}\nregion = r1\ndomain = d1\ngrace = 6\n\
             [listen]\n{listen}\nlinks = {}\n\
             [control]\nmembers = {}\ndata = {}\nfirst_start = {first_start}\nlosses = {}\n\
             promotion = {}\n{}",
            LineProcesses::label(host),
            LINK_PORT + u16::from(host),
            seeds.collect::<Vec<_>>().join(","),
            self.processes.data_folder(host).display(),
            self.losses,
            self.address(9, AUTHORITY_PORT),
            self.more_settings,
        );
        self.processes.spawn(host, "serve", &text)
    }

    /// Ends the process of an instance without warning.
    ///
    /// # Errors
    ///
    /// The process has been waited for already.
    pub fn kill(&mut self, host: u8) -> io::Result<()> {
        self.processes.kill(host)
    }

    /// Waits until the process of an instance has ended; `false` if it still runs after `limit`.
    ///
    /// # Errors
    ///
    /// The process cannot be waited for.
    pub fn wait(&mut self, host: u8, limit: Duration) -> io::Result<bool> {
        self.processes.wait(host, limit)
    }

    /// Process id of an instance that was started and not killed.
    pub fn pid(&self, host: u8) -> Option<u32> {
        self.processes.pid(host)
    }

    /// Most memory that the process of an instance has used, in bytes.
    pub fn peak_memory(&self, host: u8) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid(host)?)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some(line.trim().strip_suffix(" kB")?.parse::<u64>().ok()? * 1024)
    }

    /// Descriptors that the process of an instance has open.
    pub fn descriptors(&self, host: u8) -> Option<usize> {
        Some(fs::read_dir(format!("/proc/{}/fd", self.pid(host)?)).ok()?.count())
    }

    /// Bytes of all files in the data folder of a control member.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
    pub fn stored_bytes(&self, host: u8) -> io::Result<u64> {
        let files = fs::read_dir(self.processes.data_folder(host))?;
        // A file may be removed between the listing and the look at its size.
        let sizes = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len()));
        Ok(sizes.sum())
    }

    /// Sends a signal to the process of an instance.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn signal(&self, host: u8, signal: Signal) -> io::Result<()> {
        self.processes.signal(host, signal)
    }

    /// Control members that were started and not killed.
    fn members_running(&self) -> impl Iterator<Item = u8> {
        control_hosts().filter(|host| self.processes.pid(*host).is_some())
    }

    /// Control member that leads: it answers a read of the configuration itself.
    pub fn leader(&self) -> Option<u8> {
        let leads = |host: &u8| {
            call_http(self.address(*host, OPERATOR_PORT), "GET", "/-/config", "").0 == 200
        };
        self.members_running().find(leads)
    }

    /// Version of the configuration that the leader reads.
    pub fn config_version(&self) -> Option<u64> {
        let read = |host| call_http(self.address(host, OPERATOR_PORT), "GET", "/-/config", "");
        let (_, body) = self.members_running().map(read).find(|(status, _)| *status == 200)?;
        serde_json::from_str::<Value>(&body).ok()?["version"].as_u64()
    }

    /// A valid configuration with one route per kind of consistency.
    pub fn config(&self, version: u64) -> Value {
        let route = |host: &str, kind: &str| json!({"name": host, "host": host, "path-prefix": "/", "kind": kind, "timeout-ms": 4000, "target-latency-ms": 800, "priority": 1, "service": "g1", "max-staleness-ms": 1500});
        json!({
            "version": version,
            "routes": [route("newest", "primary"), route("bounded", "bounded_staleness"), route("own", "read_own_writes")],
            "services": [{"name": "g1", "max-conns": 22, "sync-replicas": 1}],
            "limits": {"tx-idle-ms": 3000},
            "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "rate-per-s": 500, "burst": 500}]
        })
    }

    /// Publishes a configuration; returns the control member that has acknowledged it.
    ///
    /// # Errors
    ///
    /// It was not accepted in time.
    pub fn publish(&self, config: &Value) -> io::Result<u8> {
        self.put("/-/config", &config.to_string())
    }

    /// Sends a heartbeat of a server.
    ///
    /// # Errors
    ///
    /// It was not accepted in time.
    pub fn send_heartbeat(&self, server: u8, sequence: u64, state: &str) -> io::Result<()> {
        let id = format!("s{server}");
        let role = if self.group.primary() == id { "primary" } else { "replica" };
        let body = json!({"service": "g1", "address": self.address(20 + server, SERVER_PORT), "zone": "d1", "version": "v1", "slots": 3, "cold-remaining-ms": 0, "state": state, "db-role": role, "seq": sequence, "born": 1});
        self.put(&format!("/-/instances/{id}"), &body.to_string()).map(drop)
    }

    /// Repeats a call until a control member accepts it; returns that member.
    fn put(&self, path: &str, body: &str) -> io::Result<u8> {
        let accepting = Cell::new(None);
        self.eventually("a control member accepts the call", |d| {
            let call = |host| call_http(d.address(host, OPERATOR_PORT), "PUT", path, body).0;
            accepting.set(d.members_running().find(|host| call(*host) == 200));
            accepting.get().is_some()
        })?;
        accepting.get().ok_or_else(|| io::ErrorKind::TimedOut.into())
    }

    /// Opens a session at an entry.
    pub fn open(&self, entry: u8, database: &str, key: &str) -> Option<Caller> {
        Caller::open(self.address(ENTRY_HOST + entry, CALLER_PORT), database, key)
    }

    /// Whether a write at an entry is acknowledged.
    pub fn try_write(&self, entry: u8, key: &str) -> bool {
        let caller = self.open(entry, "newest", "k1");
        caller.is_some_and(|mut caller| caller.ask(&format!("w WRITE {key} x")).contains("DONE s."))
    }

    /// Starts a stand-in server behind the link of server `number`, where none runs.
    ///
    /// # Errors
    ///
    /// The address cannot be used.
    pub fn start_server(&self, id: &str, number: u8) -> io::Result<()> {
        let inner = self.address(20 + number, SERVER_INNER_PORT);
        self.runtime.block_on(self.group.add(id, inner))
    }

    /// Waits for a condition.
    ///
    /// # Errors
    ///
    /// It is not met in time.
    pub fn eventually(&self, what: &str, check: impl Fn(&LineProcesses) -> bool) -> io::Result<()> {
        self.within(WAIT_TIMEOUT, what, check)
    }

    /// Waits at most for `limit` for a condition.
    ///
    /// # Errors
    ///
    /// It is not met in time.
    pub fn within(
        &self,
        limit: Duration,
        what: &str,
        check: impl Fn(&LineProcesses) -> bool,
    ) -> io::Result<()> {
        let started = Instant::now();
        while !check(self) {
            if started.elapsed() > limit {
                let text =
                    format!("not in time: {what}; logs in {}", self.processes.folder().display());
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Keeps the logs once the deployment ends.
    pub fn keep_logs(&mut self) {
        self.processes.keep_logs();
    }

    /// Runs a task of the stand-ins.
    pub fn run<T>(&self, task: impl Future<Output = T>) -> T {
        self.runtime.block_on(task)
    }
}

/// Hosts on which control members may run.
pub fn control_hosts() -> impl Iterator<Item = u8> + Clone {
    CONTROL_HOSTS.into_iter().chain(SUCCESSOR_HOSTS)
}
