//! Load on the control instances, and memory use of the state that they replicate.

use std::{
    fmt::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use auburnlug_protocol::{
    decode, encode,
    operator::{Answer, CHANGE_PATH, Request, STATUS_PATH},
};
use auburnlug_state::{Applied, Change, Command, Edit, Instance, Machine, Name, Role, Server};
use serde_json::{Value, json};
use ureq::Agent;

use crate::{Error, Result};

/// Timeout for an instance to report a change, and of each HTTP request.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between status requests to an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Copies of the state in a memory measurement; many copies dilute other allocations.
const STATE_COPIES: usize = 16;
/// Database groups of a state that is measured by its number of servers.
const SERVER_STATE_GROUPS: usize = 1_000;
/// Size of a memory page.
const PAGE_BYTES: usize = 4_096;

/// Options of a series of configuration changes.
#[derive(Debug, Clone)]
pub struct ChangeLoad {
    /// HTTP address of the instance that receives the changes.
    pub control: SocketAddr,
    /// HTTP addresses of the instances that must report each change.
    pub watch: Vec<SocketAddr>,
    /// File with the operators' secret.
    pub secret: PathBuf,
    /// Client account that is changed.
    pub account: String,
    /// Number of changes.
    pub count: u64,
    /// Template to publish at each change instead of changing the account.
    pub template: Option<PathBuf>,
}

/// Submits changes one after the other. Prints the response time of each and the time from the
/// response until all watched instances report the change.
///
/// # Errors
/// A change is refused, or an instance does not report it in time.
pub fn changes(options: &ChangeLoad) -> Result<()> {
    let secret = std::fs::read_to_string(&options.secret)?;
    let operator = Operator { agent: agent(), bearer: format!("Bearer {}", secret.trim()) };
    let template = options.template.as_ref().map(std::fs::read_to_string).transpose()?;
    let mut base = operator.fetch_version(options.control)?;
    for number in 0..options.count {
        let edit = match &template {
            Some(text) => Edit::Publish(format!("{text}\n; change {base} {number}\n")),
            None => {
                let burst = 1_000.0 + (base % 7) as f64;
                Edit::Account {
                    account: parse_name(&options.account)?,
                    rate: 1e6,
                    burst,
                    age: 60_000,
                }
            }
        };
        let id = parse_name(&format!("change-{base}-{number}"))?;
        let change = Change { id, operator: parse_name("capacity")?, base, edit };
        let start = Instant::now();
        base = operator.submit_change(options.control, change)?;
        let accepted = Instant::now();
        println!("accepted_ms={:.1}", start.elapsed().as_secs_f64() * 1000.0);
        if !options.watch.is_empty() {
            operator.wait_for_version(&options.watch, base)?;
            println!("spread_ms={:.1}", accepted.elapsed().as_secs_f64() * 1000.0);
        }
    }
    Ok(())
}

#[derive(Clone)]
struct Operator {
    agent: Agent,
    bearer: String,
}

impl Operator {
    fn fetch_version(&self, at: SocketAddr) -> Result<u64> {
        let request = self.agent.get(format!("http://{at}{STATUS_PATH}"));
        let mut response =
            request.header("authorization", &self.bearer).call().map_err(http_error)?;
        let status: Value = response.body_mut().read_json().map_err(http_error)?;
        status["version"].as_u64().ok_or_else(|| Error::Input(format!("{at}: no version")))
    }

    fn submit_change(&self, at: SocketAddr, change: Change) -> Result<u64> {
        let input = |e: auburnlug_protocol::operator::RequestError| Error::Input(e.to_string());
        let body = Request::try_from(change).and_then(|r| r.encode()).map_err(input)?;
        let request = self.agent.post(format!("http://{at}{CHANGE_PATH}"));
        let request = request.header("authorization", &self.bearer);
        let mut response = request.send(&body[..]).map_err(http_error)?;
        match response.body_mut().read_json().map_err(http_error)? {
            Answer::Changed { version } => Ok(version),
            other => Err(Error::Input(format!("{at}: {other:?}"))),
        }
    }

    fn wait_for_version(&self, instances: &[SocketAddr], version: u64) -> Result<()> {
        let poll = |at: SocketAddr| {
            let operator = self.clone();
            thread::spawn(move || {
                let start = Instant::now();
                while start.elapsed() < REPORT_TIMEOUT {
                    if operator.fetch_version(at).is_ok_and(|found| found >= version) {
                        return true;
                    }
                    thread::sleep(POLL_INTERVAL);
                }
                false
            })
        };
        let waiting: Vec<_> = instances.iter().copied().map(poll).collect();
        let reports: Vec<bool> = waiting.into_iter().map(|w| w.join().unwrap_or(false)).collect();
        match reports.iter().all(|found| *found) {
            true => Ok(()),
            false => Err(Error::Input(format!("version {version} is not reported by all"))),
        }
    }
}

/// Options of a load of announcements from simulated servers.
#[derive(Debug, Clone)]
pub struct AnnouncementLoad {
    /// HTTP addresses of instances; each receives the announcements of every server.
    pub at: Vec<SocketAddr>,
    /// File with the announcing servers' secret.
    pub secret: PathBuf,
    /// Number of servers, three per database group.
    pub count: usize,
    /// Duration in seconds.
    pub seconds: u64,
}

/// Announces each server once a second and prints the number of refused announcements.
///
/// # Errors
/// The secret cannot be read.
pub fn announcers(options: &AnnouncementLoad) -> Result<()> {
    let secret = std::fs::read_to_string(&options.secret)?;
    let bearer = format!("Bearer {}", secret.trim());
    let mut threads = Vec::new();
    for at in options.at.clone() {
        let (bearer, options) = (bearer.clone(), options.clone());
        threads.push(thread::spawn(move || announce_servers(at, &bearer, &options)));
    }
    let refused: u64 = threads.into_iter().map(|t| t.join().unwrap_or(1)).sum();
    println!("refused={refused}");
    Ok(())
}

/// Sends the announcements to one instance and returns the number that were not accepted.
fn announce_servers(at: SocketAddr, bearer: &str, options: &AnnouncementLoad) -> u64 {
    let (agent, start) = (agent(), Instant::now());
    let (mut refused, interval) = (0, Duration::from_secs(1) / options.count.max(1) as u32);
    for number in 0..options.count as u64 * options.seconds {
        let server = number % options.count as u64;
        let body = json!({
            "server": format!("s{server}"), "domain": "d1", "group": format!("g{}", server / 3),
            "incarnation": 1, "term": 1, "slots": 3, "connections": 20, "draining": false,
            "role": if server.is_multiple_of(3) { "primary" } else { "replica" },
            "address": format!("127.0.0.1:{}", 10_000 + server),
        });
        let post = agent.post(format!("http://{at}/v1/announce")).header("authorization", bearer);
        refused += u64::from(post.send_json(&body).is_err());
        thread::sleep((start + interval * number as u32).saturating_duration_since(Instant::now()));
    }
    refused
}

/// Size of the replicated state to measure.
#[derive(Debug, Clone)]
pub struct StateSize {
    /// `group`, `server`, `instance` or `account`.
    pub kind: String,
    /// Number of objects of this kind.
    pub count: usize,
}

/// Prints the resident memory and the snapshot size of a state.
///
/// # Errors
/// The kind is not known, or the state refuses a command.
pub fn state(size: &StateSize) -> Result<()> {
    let machine = build_machine(size)?;
    let snapshot = encode(&machine).map_err(|e| Error::Input(e.to_string()))?;
    let before = resident_bytes()?;
    // Decoded copies, because clones would share their names with the original.
    let copies: Vec<Machine> = (0..STATE_COPIES).filter_map(|_| decode(&snapshot).ok()).collect();
    let bytes = resident_bytes()?.saturating_sub(before) / STATE_COPIES;
    println!("copies={}", copies.len());
    println!("memory_bytes={bytes}");
    println!("snapshot_bytes={}", snapshot.len());
    Ok(())
}

fn build_machine(size: &StateSize) -> Result<Machine> {
    let (mut machine, mut text) = (Machine::default(), template_head());
    let groups = match size.kind.as_str() {
        "group" => size.count,
        "server" => SERVER_STATE_GROUPS,
        _ => 1,
    };
    for group in 0..groups {
        let _ = write!(text, "[group g{group}]\nsize = 3\ndatabase = database{group}\n");
    }
    if size.kind == "account" {
        for account in 0..size.count {
            let key = format!("{account:064x}");
            let _ =
                write!(text, "[account a{account}]\nrate = 5\nburst = 5\nage = 5\nkey = {key}\n");
        }
    }
    let change = Change {
        id: parse_name("c1")?,
        operator: parse_name("o")?,
        base: 0,
        edit: Edit::Publish(text),
    };
    apply(&mut machine, &Command::Configure(change))?;
    for number in 0..size.count {
        match size.kind.as_str() {
            "server" => apply(&mut machine, &Command::Announce(server(number)?))?,
            "instance" => apply(&mut machine, &Command::Register(instance(number)?))?,
            "group" | "account" => {}
            other => return Err(Error::Input(format!("{other:?} is not a kind of state"))),
        }
    }
    Ok(machine)
}

fn template_head() -> String {
    String::from(
        "[template]\nformat = 1\nname = capacity\n[route read]\nstatement = select value\n\
         kind = read\nidempotent = yes\nopen = no\nclass = interactive\n",
    )
}

fn apply(machine: &mut Machine, command: &Command) -> Result<()> {
    match machine.apply(machine.index + 1, command) {
        Applied::Done | Applied::Changed(_) => Ok(()),
        other => Err(Error::Input(format!("the state answers {other:?}"))),
    }
}

fn server(number: usize) -> Result<Server> {
    Ok(Server {
        name: parse_name(&format!("database{}-{}", number / 3, number % 3))?,
        group: parse_name(&format!("g{}", number / 3))?,
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 5_500)),
        domain: parse_name("domain1")?,
        slots: 3,
        connections: 20,
        draining: false,
        role: if number.is_multiple_of(3) { Role::Primary } else { Role::Replica },
        term: 1,
    })
}

fn instance(number: usize) -> Result<Instance> {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_100));
    Ok(Instance {
        name: parse_name(&format!("instance{number}"))?,
        incarnation: 1,
        peer: address,
        http: address,
        region: parse_name("region1")?,
        domain: parse_name("domain1")?,
        entry: true,
    })
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> Result<usize> {
    let text = std::fs::read_to_string(Path::new("/proc/self/statm"))?;
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.map(|pages| pages * PAGE_BYTES).ok_or_else(|| Error::Input("/proc/self/statm".into()))
}

fn agent() -> Agent {
    let config =
        Agent::config_builder().timeout_global(Some(REPORT_TIMEOUT)).http_status_as_error(true);
    Agent::new_with_config(config.build())
}

fn parse_name(text: &str) -> Result<Name> {
    Name::try_from(text).map_err(|e| Error::Input(e.to_string()))
}

fn http_error(error: ureq::Error) -> Error {
    Error::Input(error.to_string())
}
