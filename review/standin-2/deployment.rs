//! A small deployment: three control members, two entries, three servers, the platform and the
//! operator, each at a loopback address of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{group::Group, http, link::Link};

/// Hosts, the last byte of their addresses.
pub const CONTROLS: [u8; 3] = [1, 2, 3];
pub const ENTRIES: [u8; 2] = [11, 12];
pub const SERVERS: [(u8, &str); 3] = [(21, "s1"), (22, "s2"), (23, "s3")];
pub const PLATFORM: u8 = 9;

/// Added to the host of a control member: the host of its link to the platform.
const PLATFORM_LINK: u8 = 40;

/// `heartbeat-ms`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// An order of promotion that the platform received.
#[derive(Debug, Clone)]
pub struct Order {
    pub holder: String,
    pub token: u64,
    pub server: String,
}

/// What the servers report in their heartbeats.
#[derive(Clone, Default)]
struct Beats {
    sequence: Arc<AtomicU64>,
    draining: Arc<Mutex<BTreeSet<String>>>,
    stopped: Arc<AtomicBool>,
}

/// Memory of a machine that serves control.
const MEMORY_MB: u64 = 256;

/// Time after which the platform starts a process that was killed.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub type Result<T> = std::result::Result<T, String>;

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Record> {
        let file = File::create(path).map_err(|e| e.to_string())?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn note(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
        }
    }

    pub fn at(&self, moment: Instant) -> f64 {
        moment.duration_since(self.start).as_secs_f64()
    }
}

pub struct Deployment {
    program: PathBuf,
    folder: PathBuf,
    net: u8,
    ports: Ports,
    pub children: BTreeMap<u8, Child>,
    /// Instances that the platform has killed, with the time.
    killed: BTreeMap<u8, Instant>,
    /// Ends of the process of each instance without a disruption.
    ends: BTreeMap<u8, u32>,
    pub group: Arc<Group>,
    pub record: Record,
    /// Link of each control member to the platform.
    pub platform_links: BTreeMap<u8, Link>,
    /// Orders of promotion, as the platform received them.
    pub orders: Arc<Mutex<Vec<Order>>>,
    beats: Beats,
    /// Start of each server, in milliseconds since 1970.
    born: u64,
}

#[derive(Clone, Copy)]
struct Ports {
    operator: u16,
    callers: u16,
    ready: u16,
    links: u16,
    servers: u16,
    platform: u16,
}

impl Deployment {
    /// Starts everything and waits until a write is served at each entry.
    pub fn start(program: &Path, record: Record) -> Result<Deployment> {
        let (net, ports) = free_ports()?;
        let folder = std::env::temp_dir().join(format!("auburnlug-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let group = Group::new("g1", 1, &[]);
        let mut deployment = Deployment {
            program: program.to_owned(),
            folder,
            net,
            ports,
            children: BTreeMap::new(),
            killed: BTreeMap::new(),
            ends: BTreeMap::new(),
            group,
            record,
            platform_links: BTreeMap::new(),
            orders: Arc::default(),
            beats: Beats::default(),
            born: now_ms() - 60_000,
        };
        for (host, id) in SERVERS {
            deployment
                .group
                .start(id, deployment.server_address(host))
                .map_err(|e| format!("server {id}: {e}"))?;
        }
        deployment.start_platform()?;
        for host in CONTROLS.into_iter().chain(ENTRIES) {
            deployment.spawn(host, true)?;
        }
        Ok(deployment)
    }

    /// Starts the platform, which promotes servers and checks no token, and a link to it for each
    /// control member.
    fn start_platform(&mut self) -> Result<()> {
        let (group, record, orders) = (self.group.clone(), self.record.clone(), self.orders.clone());
        let promote = move |head: &str, body: &str| {
            let header = |name: &str| {
                head.lines().find_map(|line| {
                    let (known, value) = line.split_once(':')?;
                    known.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let holder = header("auburnlug-lease-holder").unwrap_or_default();
            let token = header("auburnlug-fencing-token").and_then(|token| token.parse().ok());
            let token: u64 = token.unwrap_or(0);
            let id = body.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next());
            let server = id.unwrap_or("").to_owned();
            let status = group.promote(&server);
            record.note(&format!("platform: {holder} promotes {server}, token {token} -> {status}"));
            if let Ok(mut orders) = orders.lock() {
                orders.push(Order { holder, token, server });
            }
            status
        };
        let address = self.address(PLATFORM, self.ports.platform);
        http::serve(address, promote).map_err(|e| format!("platform: {e}"))?;
        for host in CONTROLS {
            let listen = self.address(PLATFORM_LINK + host, self.ports.platform);
            let link = Link::open(listen, address).map_err(|e| format!("link: {e}"))?;
            self.platform_links.insert(host, link);
        }
        Ok(())
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 83, self.net, host], port))
    }

    pub fn server_address(&self, host: u8) -> SocketAddr {
        self.address(host, self.ports.servers)
    }

    pub fn entry(&self, n: usize) -> SocketAddr {
        self.address(ENTRIES[n], self.ports.callers)
    }

    /// Starts the process of an instance with the command of the deploy file.
    pub fn spawn(&mut self, host: u8, first_start: bool) -> Result<()> {
        let ip = self.address(host, 0).ip();
        let Ports { operator, callers, ready, links, platform, .. } = self.ports;
        let control = CONTROLS.contains(&host);
        let (listen, data) = if control {
            let data = self.folder.join(format!("data-{host}")).display().to_string();
            (format!("callers = \nready = \noperator = {ip}:{operator}"), data)
        } else {
            (format!("callers = {ip}:{callers}\nready = {ip}:{ready}\noperator = "), String::new())
        };
        let seeds: Vec<String> =
            CONTROLS.iter().map(|c| self.address(*c, operator).to_string()).collect();
        let text = format!(
            "[instance]\nname = node-{host}\nip = {ip}\nregion = r1\ndomain = d1\ngrace = 6\n\
             [listen]\n{listen}\nlinks = {links}\n[control]\nmembers = {}\ndata = {data}\n\
             first_start = {first_start}\nlosses = 1\npromotion = {}\n",
            seeds.join(","),
            self.address(PLATFORM_LINK + host, platform)
        );
        let file = self.folder.join(format!("node-{host}.ini"));
        fs::write(&file, text).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{host}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new(&self.program)
            .arg("serve")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        self.record.note(&format!("started node-{host}"));
        self.children.insert(host, child);
        Ok(())
    }

    /// Sends a call to the control members in turn until one gives a clear answer.
    pub fn control(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        for host in CONTROLS {
            let answer = http::call(self.address(host, self.ports.operator), method, path, body);
            if matches!(answer.0, 200..=299 | 400 | 409 | 412 | 413 | 422) {
                return answer;
            }
        }
        (0, String::new())
    }

    /// Repeats a call until it is acknowledged.
    pub fn acknowledged(&self, method: &str, path: &str, body: &str, within: Duration) -> Result<()> {
        let started = Instant::now();
        loop {
            let (status, _) = self.control(method, path, body);
            if status == 200 {
                let shown: String = body.chars().take(200).collect();
                self.record.note(&format!("{method} {path} {shown} -> 200"));
                return Ok(());
            }
            if started.elapsed() > within {
                return Err(format!("{method} {path} was not acknowledged, last status {status}"));
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// A configuration with one route for each kind.
    pub fn config(&self, version: u64) -> String {
        let route = |host: &str, kind: &str| {
            format!(
                "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"path-prefix\":\"/\",\"kind\":\"{kind}\",\
                 \"timeout-ms\":2000,\"target-latency-ms\":800,\"priority\":1,\"service\":\"g1\",\
                 \"max-attempts\":2,\"max-staleness-ms\":1500,\"allow-anonymous\":false}}"
            )
        };
        format!(
            "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"g1\",\
             \"health-path\":\"/health\",\"max-conns\":22,\"protocol\":\"h1\",\"tls\":false,\
             \"sync-replicas\":1}}],\"limits\":{{\"tx-idle-ms\":3000}},\"tenants\":[{{\"name\":\"t1\",\
             \"api-keys\":[\"k1\"],\"priority\":1,\"rate-per-s\":500,\"burst\":500}}]}}",
            route("newest", "primary"),
            route("bounded", "bounded_staleness"),
            route("own", "read_own_writes")
        )
    }

    /// The configuration with `routes` more routes, whose time-outs change with the version.
    pub fn grown_config(&self, version: u64, routes: u32) -> String {
        let timeout = 2_000 + version;
        let route = |n: u32| {
            format!(
                "{{\"name\":\"r-idle{n}\",\"host\":\"idle{n}\",\"path-prefix\":\"/\",\
                 \"kind\":\"bounded_staleness\",\"timeout-ms\":{timeout},\"target-latency-ms\":800,\
                 \"priority\":2,\"service\":\"g1\",\"max-attempts\":2,\"max-staleness-ms\":1500,\
                 \"allow-anonymous\":false}},"
            )
        };
        let more: String = (0..routes).map(route).collect();
        self.config(version).replacen("\"routes\":[", &format!("\"routes\":[{more}"), 1)
    }

    /// Resident memory of the control members, in MB.
    pub fn memory_mb(&self) -> String {
        let members = CONTROLS.iter().filter_map(|host| {
            let pid = self.children.get(host)?.id();
            Some(format!("node-{host} {} MB", resident_kb(pid)? / 1024))
        });
        let members: Vec<String> = members.collect();
        format!("memory of the control members: {}", members.join(", "))
    }

    /// Whether the processes on half of the core have ended this many times.
    pub fn is_faulty(&self, ends: u32) -> bool {
        let faulty = self.ends.values().filter(|count| **count >= ends).count();
        2 * faulty >= CONTROLS.len()
    }

    /// Kills control members that use more memory than their machine has, and starts those that
    /// were killed a short time ago, as the platform does.
    pub fn enforce_memory(&mut self) -> Result<()> {
        for host in CONTROLS {
            if self.killed.get(&host).is_some_and(|at| at.elapsed() >= RESTART_DELAY) {
                self.killed.remove(&host);
                self.spawn(host, false)?;
            }
            let Some(child) = self.children.get_mut(&host) else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                self.record.note(&format!("node-{host} ended by itself: {status}"));
                self.children.remove(&host);
                self.killed.insert(host, Instant::now());
                *self.ends.entry(host).or_default() += 1;
                continue;
            }
            let used = resident_kb(child.id()).unwrap_or(0) / 1024;
            if used > MEMORY_MB {
                self.record.note(&format!("platform: node-{host} uses {used} MB and is killed"));
                let _ = child.kill();
                let _ = child.wait();
                self.children.remove(&host);
                self.killed.insert(host, Instant::now());
                *self.ends.entry(host).or_default() += 1;
            }
        }
        Ok(())
    }

    /// The heartbeat of a server, complete as the pages list its fields.
    fn beat(&self, host: u8, id: &str) -> String {
        beat(&self.group, &self.beats, self.server_address(host), id, self.born)
    }

    /// Sends the heartbeats of all servers from now on, in a thread of their own.
    fn keep_beating(&self) {
        let (group, beats, born) = (self.group.clone(), self.beats.clone(), self.born);
        let servers = SERVERS.map(|(host, id)| (self.server_address(host), id));
        let controls = CONTROLS.map(|host| self.address(host, self.ports.operator));
        thread::spawn(move || {
            while !beats.stopped.load(Ordering::Acquire) {
                thread::sleep(HEARTBEAT);
                for (address, id) in servers {
                    let body = beat(&group, &beats, address, id, born);
                    let path = format!("/-/instances/{id}");
                    let _ = controls.iter().any(|to| http::call(*to, "PUT", &path, &body).0 == 200);
                }
            }
        });
    }

    /// Reports from now on that a server is draining, at once and in its later heartbeats.
    pub fn drain(&self, host: u8, id: &str) -> Result<()> {
        if let Ok(mut draining) = self.beats.draining.lock() {
            draining.insert(id.to_owned());
        }
        let beat = self.beat(host, id);
        self.acknowledged("PUT", &format!("/-/instances/{id}"), &beat, Duration::from_secs(5))
    }

    /// Control member that answers a reading of the configuration itself.
    pub fn leader(&self) -> Option<u8> {
        CONTROLS.into_iter().find(|host| {
            let address = self.address(*host, self.ports.operator);
            http::call_once(address, "GET", "/-/config", "").is_some_and(|answer| answer.0 == 200)
        })
    }

    /// Sends a signal to the process of an instance.
    pub fn signal(&self, host: u8, name: &str) -> Result<()> {
        let Some(child) = self.children.get(&host) else { return Err("no process".into()) };
        let command = format!("kill -{name} {}", child.id());
        let status = Command::new("sh").arg("-c").arg(&command).status();
        self.record.note(&format!("node-{host}: SIG{name}"));
        if status.is_ok_and(|status| status.success()) { Ok(()) } else { Err(command) }
    }

    /// Puts the first configuration and the servers in place.
    pub fn set_up(&self) -> Result<()> {
        let within = Duration::from_secs(20);
        self.acknowledged("PUT", "/-/config", &self.config(1), within)?;
        for (host, id) in SERVERS {
            let beat = self.beat(host, id);
            self.acknowledged("PUT", &format!("/-/instances/{id}"), &beat, within)?;
        }
        self.keep_beating();
        for entry in 0..ENTRIES.len() {
            let started = Instant::now();
            while !self.ask_once(entry, "newest", "probe", "WRITE probe x").contains("DONE signed") {
                if started.elapsed() > within {
                    return Err(format!("entry {entry} serves no write"));
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        Ok(())
    }

    /// Opens a session, asks one query and ends the session; returns the lines of the answer.
    pub fn ask_once(&self, entry: usize, database: &str, id: &str, text: &str) -> String {
        let Ok(mut client) = Client::open(self.entry(entry), database, "k1") else {
            return String::new();
        };
        client.ask(id, text)
    }

    /// Log lines of an instance that contain a word.
    pub fn log_lines(&self, host: u8, word: &str) -> Vec<String> {
        let text = fs::read_to_string(self.folder.join(format!("node-{host}.log"))).unwrap_or_default();
        text.lines().filter(|line| line.contains(word)).map(str::to_owned).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.beats.stopped.store(true, Ordering::Release);
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A client's session.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(entry: SocketAddr, database: &str, key: &str) -> Result<Client> {
        let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(2));
        let stream = stream.map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(|e| e.to_string())?;
        let mut client = Client { reader: BufReader::new(stream) };
        client.send(&format!("START {database} {key}"));
        let answer = client.answer();
        if answer.starts_with("READY I") { Ok(client) } else { Err(answer) }
    }

    pub fn ask(&mut self, id: &str, text: &str) -> String {
        self.send(&format!("QUERY {id} {text}"));
        self.answer()
    }

    fn send(&mut self, line: &str) {
        let _ = self.reader.get_mut().write_all(format!("{line}\r\n").as_bytes());
    }

    fn answer(&mut self) -> String {
        let mut text = String::new();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(count) if count > 0 => text.push_str(&line.replace("\r\n", " | ")),
                _ => return text,
            }
            if line.starts_with("READY") {
                return text;
            }
        }
    }
}

fn beat(group: &Group, beats: &Beats, address: SocketAddr, id: &str, born: u64) -> String {
    let role = if group.primary() == id { "primary" } else { "replica" };
    let is_draining = beats.draining.lock().is_ok_and(|draining| draining.contains(id));
    let state = if is_draining { "draining" } else { "ready" };
    let sequence = beats.sequence.fetch_add(1, Ordering::AcqRel) + 1;
    format!(
        "{{\"service\":\"g1\",\"address\":\"{address}\",\"zone\":\"d1\",\"version\":\"v1\",\"slots\":3,\
         \"state\":\"{state}\",\"cold-remaining-ms\":0,\"db-role\":\"{role}\",\
         \"seq\":{sequence},\"born\":{born}}}"
    )
}

pub fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Resident memory of a process.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// A network and ports that are free at all its addresses.
fn free_ports() -> Result<(u8, Ports)> {
    let seed = std::process::id().wrapping_mul(7).wrapping_add(now_ms() as u32);
    for attempt in 0..50 {
        let net = (seed.wrapping_add(attempt * 13) % 250 + 1) as u8;
        let base = 20_000 + (seed.wrapping_add(attempt * 101) % 8_000) as u16;
        let ports = Ports {
            operator: base,
            callers: base + 1,
            ready: base + 2,
            links: base + 3,
            servers: base + 4,
            platform: base + 5,
        };
        let hosts = CONTROLS.into_iter().chain(ENTRIES).chain([PLATFORM, 21, 22, 23, 31, 41, 42, 43]);
        let free = hosts.clone().all(|host| {
            (base..base + 6).all(|port| TcpListener::bind(SocketAddr::from(([127, 83, net, host], port))).is_ok())
        });
        if free {
            return Ok((net, ports));
        }
    }
    Err("no free ports".into())
}
