//! A small deployment of the project's programs on loopback addresses, with the platform, the
//! operator and the heartbeats of the servers.

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{group::Group, record::Record};

/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time within which the deployment must be ready.
const START_LIMIT: Duration = Duration::from_secs(25);

pub const CALLERS: u16 = 8465;
const READY: u16 = 8460;
const OPERATOR: u16 = 8462;
const PLATFORM: u16 = 8466;
const DATABASE: u16 = 8240;

/// Port of links between instances.
pub const LINKS: u16 = 7560;

/// Time that a draining server goes on after its acknowledgement: `drain-ms` and a little longer.
const DRAIN_AFTER_ACK: Duration = Duration::from_millis(7_300);

/// Why a case could not run.
pub struct NotRun(pub String);

/// An entry of the deployment.
#[derive(Clone)]
pub struct EntryPlan {
    pub host: u8,
    pub zone: u8,
    pub region: u8,
    /// Port of its links, if it differs from the others'.
    pub links: u16,
}

/// The running deployment.
pub struct System {
    pub record: Record,
    pub net: [u8; 2],
    folder: PathBuf,
    processes: BTreeMap<u8, Child>,
    controls: Vec<u8>,
    stop: Arc<AtomicBool>,
    /// Receives the holder and the server of each promotion order.
    pub orders: Receiver<(String, String)>,
    order_sender: Sender<(String, String)>,
}

impl Drop for System {
    /// Ends all processes that this run started.
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl System {
    /// A deployment without processes, on a free loopback network.
    pub fn new(record: Record) -> System {
        let id = std::process::id();
        let mut net = [110 + (id % 100) as u8, 1 + (id / 100 % 250) as u8];
        while TcpListener::bind(SocketAddr::from(([127, net[0], net[1], 1], OPERATOR))).is_err() {
            net[1] = net[1] % 250 + 1;
        }
        let (order_sender, orders) = channel();
        let folder = std::env::temp_dir().join(format!("auburnlug-review-{id}"));
        System {
            record,
            net,
            folder,
            processes: BTreeMap::new(),
            controls: vec![1, 2, 3],
            stop: Arc::default(),
            orders,
            order_sender,
        }
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        ([127, self.net[0], self.net[1], host], port).into()
    }

    /// Address of a database server.
    pub fn database(&self, number: u8) -> SocketAddr {
        self.address(20 + number, DATABASE)
    }

    /// Address of an entry for callers.
    pub fn callers(&self, host: u8) -> SocketAddr {
        self.address(host, CALLERS)
    }

    /// Starts the control members, the entries and the platform, and sends the configuration.
    pub fn start(
        &mut self,
        entries: &[EntryPlan],
        group: &Arc<Group>,
        config: &str,
    ) -> Result<(), NotRun> {
        self.start_processes(entries, group, config)?;
        self.announce(entries, group)
    }

    /// Starts the processes and the platform, and sends the configuration.
    pub fn start_processes(
        &mut self,
        entries: &[EntryPlan],
        group: &Arc<Group>,
        config: &str,
    ) -> Result<(), NotRun> {
        fs::create_dir_all(&self.folder).map_err(|e| NotRun(e.to_string()))?;
        self.serve_platform(group.clone())?;
        for host in self.controls.clone() {
            self.start_instance(host, host, 1, LINKS, false)?;
        }
        for entry in entries {
            self.start_instance(entry.host, entry.zone, entry.region, entry.links, true)?;
        }
        let until = Instant::now() + START_LIMIT;
        while !self.put_config(config) {
            if Instant::now() > until {
                return Err(NotRun("the configuration was not accepted".into()));
            }
            thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    /// Starts the heartbeats of the servers and waits until the entries are ready.
    pub fn announce(&mut self, entries: &[EntryPlan], group: &Arc<Group>) -> Result<(), NotRun> {
        let until = Instant::now() + START_LIMIT;
        self.send_heartbeats(group.clone());
        for entry in entries {
            while http(self.address(entry.host, READY), "GET", "/-/readiness", "").0 != 200 {
                if Instant::now() > until {
                    return Err(NotRun("an entry is not ready".into()));
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        Ok(())
    }

    /// Starts one instance with the command of the deploy file and the filled-in template.
    fn start_instance(
        &mut self,
        host: u8,
        zone: u8,
        region: u8,
        links: u16,
        entry: bool,
    ) -> Result<(), NotRun> {
        let ip = self.address(host, 0).ip();
        let seeds: Vec<String> =
            self.controls.iter().map(|host| self.address(*host, OPERATOR).to_string()).collect();
        let listen = |port: u16, serves: bool| {
            if serves { SocketAddr::new(ip, port).to_string() } else { String::new() }
        };
        let data = self.folder.join(format!("data-{host}"));
        let data = if entry { String::new() } else { data.display().to_string() };
        let values = [
            ("{{node-name}}", format!("{}-{host}", if entry { "edge" } else { "core" })),
            ("{{ip}}", ip.to_string()),
            ("{{region}}", format!("region-{region}")),
            ("{{zone}}", format!("zone-{zone}")),
            ("{{bounds.grace-s}}", "6".into()),
            ("{{listen.front}}", listen(CALLERS, entry)),
            ("{{listen.ready}}", listen(READY, entry)),
            ("{{listen.control}}", listen(OPERATOR, !entry)),
            ("{{internal-ports.0}}", links.to_string()),
            ("{{seeds}}", seeds.join(",")),
            ("{{data-dir}}", data),
            ("{{bootstrap}}", "true".into()),
            ("{{fault-tolerance.machines}}", "1".into()),
            ("{{cloud-api.address}}", self.address(9, PLATFORM).to_string()),
        ];
        let template =
            fs::read_to_string("deploy/settings.ini").map_err(|e| NotRun(e.to_string()))?;
        let text = values.iter().fold(template, |text, (name, value)| text.replace(name, value));
        let file = self.folder.join(format!("boot-{host}.ini"));
        fs::write(&file, text).map_err(|e| NotRun(e.to_string()))?;
        self.spawn(host)
    }

    /// File for the output of an instance: in the temporary folder, or where REVIEW_LOGS says.
    fn log_file(&self, host: u8) -> PathBuf {
        let folder = std::env::var("REVIEW_LOGS").map_or(self.folder.clone(), PathBuf::from);
        folder.join(format!("instance-{host}.log"))
    }

    /// Starts the process of an instance with its settings file.
    fn spawn(&mut self, host: u8) -> Result<(), NotRun> {
        let file = self.folder.join(format!("boot-{host}.ini"));
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_file(host));
        let log = log.map_err(|e| NotRun(e.to_string()))?;
        let errors = log.try_clone().map_err(|e| NotRun(e.to_string()))?;
        let child = Command::new("target/release/auburnlug")
            .arg("serve")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| NotRun(format!("target/release/auburnlug: {e}")))?;
        self.processes.insert(host, child);
        Ok(())
    }

    /// Sends a configuration as the operator does; true once it is acknowledged.
    pub fn put_config(&self, config: &str) -> bool {
        for host in &self.controls {
            let (status, _) = http(self.address(*host, OPERATOR), "PUT", "/-/config", config);
            if status == 200 {
                self.record.add("operator: configuration acknowledged");
                return true;
            }
        }
        false
    }

    /// Serves the promotion interface of the platform.
    fn serve_platform(&self, group: Arc<Group>) -> Result<(), NotRun> {
        let address = self.address(9, PLATFORM);
        let listener = TcpListener::bind(address).map_err(|e| NotRun(e.to_string()))?;
        let (record, orders) = (self.record.clone(), self.order_sender.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (group, record, orders) = (group.clone(), record.clone(), orders.clone());
                thread::spawn(move || {
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                    let Some(request) = read_request(&stream) else { return };
                    let field = |name: &str| text_field(&request.body, name).unwrap_or_default();
                    let (service, id) = (field("service"), field("id"));
                    let known = service == group.name;
                    let status = if known && group.promote(&id) { 200 } else { 409 };
                    record.add(format!(
                        "platform: POST /promotion id={id} holder={} token={} status={status}",
                        request.header("auburnlug-lease-holder"),
                        request.header("auburnlug-fencing-token")
                    ));
                    let holder = request.header("auburnlug-lease-holder").to_owned();
                    let _ = orders.send((holder, id));
                    thread::sleep(Duration::from_millis(20));
                    let text = format!("HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n");
                    let _ = (&stream).write_all(text.as_bytes());
                });
            }
        });
        Ok(())
    }

    /// Sends the heartbeats of all servers, and the deregistration of a draining one.
    fn send_heartbeats(&self, group: Arc<Group>) {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |time| time.as_millis());
        for report in group.reports() {
            let (group, stop, record) = (group.clone(), self.stop.clone(), self.record.clone());
            let controls: Vec<SocketAddr> =
                self.controls.iter().map(|host| self.address(*host, OPERATOR)).collect();
            let zone = report.zone;
            thread::spawn(move || {
                let (mut sequence, mut at) = (0_u64, 0);
                let mut drained: Option<Instant> = None;
                while !stop.load(Ordering::Acquire) {
                    let Some(now) = group.reports().into_iter().find(|r| r.id == report.id) else {
                        return;
                    };
                    if !now.alive {
                        return;
                    }
                    if drained.is_some_and(|since| since.elapsed() >= DRAIN_AFTER_ACK) {
                        let path = format!("/-/instances/{}", now.id);
                        for address in controls.iter().cycle().skip(at).take(controls.len()) {
                            let (status, _) = http(*address, "DELETE", &path, "");
                            record.add(format!("server={} DELETE status={status}", now.id));
                            if status == 200 {
                                break;
                            }
                        }
                        group.end(&now.id);
                        return;
                    }
                    sequence += 1;
                    let role = if now.leads { "primary" } else { "replica" };
                    let state = if now.draining { "draining" } else { "ready" };
                    let body = format!(
                        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-{zone}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold-remaining-ms\":0,\"db-role\":\"{role}\",\"seq\":{sequence},\"born\":{born}}}",
                        group.name, now.address, now.slots
                    );
                    let path = format!("/-/instances/{}", now.id);
                    let mut acknowledged = false;
                    for _ in 0..controls.len() {
                        let (status, _) = http(controls[at % controls.len()], "PUT", &path, &body);
                        if status == 200 {
                            acknowledged = true;
                            break;
                        }
                        at += 1;
                    }
                    if acknowledged && now.draining && drained.is_none() {
                        drained = Some(Instant::now());
                        record.add(format!("server={} draining acknowledged", now.id));
                    }
                    // A change of role or state is reported immediately.
                    let until = Instant::now() + HEARTBEAT;
                    let leaves = || drained.is_some_and(|since| since.elapsed() >= DRAIN_AFTER_ACK);
                    while Instant::now() < until && !leaves() && !stop.load(Ordering::Acquire) {
                        thread::sleep(Duration::from_millis(20));
                        let Some(next) = group.reports().into_iter().find(|r| r.id == now.id)
                        else {
                            return;
                        };
                        if next.leads != now.leads || next.draining != now.draining || !next.alive {
                            break;
                        }
                    }
                }
            });
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, host: u8) {
        self.record.add(format!("instance {host} is killed"));
        if let Some(mut child) = self.processes.remove(&host) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts an instance again, with an empty data folder if its disk was lost.
    pub fn restart(&mut self, host: u8, disk_lost: bool) -> Result<(), NotRun> {
        self.record.add(format!("instance {host} starts again, disk_lost={disk_lost}"));
        let file = self.folder.join(format!("boot-{host}.ini"));
        let text = fs::read_to_string(&file).map_err(|e| NotRun(e.to_string()))?;
        let text = text.replace("first_start = true", "first_start = false");
        fs::write(&file, text).map_err(|e| NotRun(e.to_string()))?;
        if disk_lost {
            let _ = fs::remove_dir_all(self.folder.join(format!("data-{host}")));
        }
        self.spawn(host)
    }

    /// Control member that answers for the configuration.
    pub fn leader(&self) -> Option<u8> {
        let leads = |host: &&u8| {
            let answer = exchange(self.address(**host, OPERATOR), "GET", "/-/config", "");
            answer.is_some_and(|(status, ..)| status == 200)
        };
        self.controls.iter().find(leads).copied()
    }

    /// Instances whose processes ended by themselves.
    pub fn check_running(&mut self) -> Vec<u8> {
        let ended = |(host, child): (&u8, &mut Child)| {
            matches!(child.try_wait(), Ok(Some(_))).then_some(*host)
        };
        self.processes.iter_mut().filter_map(ended).collect()
    }

    /// Forwards connections from one address to another; `cut` holds everything back.
    pub fn forward(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        cut: Arc<AtomicBool>,
    ) -> Result<(), NotRun> {
        let listener = TcpListener::bind(from).map_err(|e| NotRun(format!("{from}: {e}")))?;
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || {
                    wait_while(&cut);
                    let Ok(far) = TcpStream::connect(to) else { return };
                    let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = cut.clone();
                    thread::spawn(move || copy(far_read, near, &back));
                    copy(near_read, far, &cut);
                });
            }
        });
        Ok(())
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 << 10];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        wait_while(cut);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// An HTTP request.
struct Request {
    headers: BTreeMap<String, String>,
    body: String,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn read_request(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { headers, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Text of a field of a flat JSON object.
fn text_field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\""))?;
    Some(rest.split('"').nth(1)?.to_owned())
}

/// Sends an HTTP request and follows two redirects; status 0 without a response.
pub fn http(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut address = address;
    for _ in 0..3 {
        let Some((status, location, answer)) = exchange(address, method, path, body) else {
            return (0, String::new());
        };
        let target = location.strip_prefix("http://").and_then(|rest| rest.split('/').next());
        match target.and_then(|target| target.parse::<SocketAddr>().ok()) {
            Some(next) if status == 307 && is_loopback(next.ip()) => address = next,
            _ => return (status, answer),
        }
    }
    (0, String::new())
}

fn is_loopback(ip: IpAddr) -> bool {
    ip.is_loopback()
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String, String)> {
    let limit = Duration::from_millis(1_000);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let location = answer.lines().find_map(|line| {
        line.to_lowercase().starts_with("location:").then(|| line[9..].trim().to_owned())
    });
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
    Some((status, location.unwrap_or_default(), body))
}
