//! The cases.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::Client,
    group::{Group, Limits},
    record::Record,
    system::{EntryPlan, LINKS, NotRun, System},
};

const KEY: &str = "key-of-the-tenant";

/// Limits of a server of the small deployments.
const LIMITS: Limits = Limits {
    slots: 3,
    connections: 22,
    read_time: Duration::from_millis(30),
    write_time: Duration::from_millis(4),
    opening_time: Duration::from_millis(12),
    promotion_time: Duration::from_millis(300),
    zone_latency: Duration::from_micros(500),
};

/// Runs a case; returns what was broken, or nothing.
pub fn run(case: &str, record: &Record, trouble: bool) -> Result<String, NotRun> {
    match case {
        "departed-replica" => departed_replica(record, trouble),
        "two-orders" => two_orders(record, trouble),
        "old-status" => old_status(record, trouble),
        "line-feed" => line_feed(record, trouble),
        "old-sample" => old_sample(record, trouble),
        _ => Err(NotRun(format!("unknown case {case}"))),
    }
}

fn config() -> String {
    let route = |host: &str, kind: &str, timeout: u32, objective: u32, age: u32| {
        format!(
            "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"path-prefix\":\"/\",\"kind\":\"{kind}\",\"timeout-ms\":{timeout},\"target-latency-ms\":{objective},\"priority\":1,\"service\":\"db\",\"max-attempts\":2,\"max-staleness-ms\":{age},\"allow-anonymous\":false}}"
        )
    };
    let routes = [
        route("newest", "primary", 800, 400, 0),
        route("bounded", "bounded_staleness", 2_000, 800, 1_500),
        route("own", "read_own_writes", 800, 800, 2_500),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"db\",\"health-path\":\"/health\",\"max-conns\":22,\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}},\"tenants\":[{{\"name\":\"tenant\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\"rate-per-s\":1000,\"burst\":1000}}]}}",
        routes.join(",")
    )
}

fn entries() -> Vec<EntryPlan> {
    (1..=3).map(|zone| EntryPlan { host: 10 + zone, zone, region: 1, links: LINKS }).collect()
}

fn start_group(system: &System, count: u8, record: &Record) -> Arc<Group> {
    let servers: Vec<(String, SocketAddr, u8)> = (1..=count)
        .map(|number| (format!("s{number}"), system.database(number), (number - 1) % 3 + 1))
        .collect();
    Group::start("db", &servers, LIMITS, record.clone())
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Sends one write after the other over a session until it is told to stop.
fn start_writer(
    record: &Record,
    entry: SocketAddr,
    name: String,
    pause: Duration,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Acquire) {
            let Some(mut client) = Client::open(&record, entry, "newest", KEY) else {
                sleep(0.1);
                continue;
            };
            while !stop.load(Ordering::Acquire) {
                number += 1;
                let answer = client.run(&format!("WRITE {name} v{number}"));
                if answer.code == "NONE" {
                    break;
                }
                thread::sleep(pause);
            }
        }
    })
}

/// Waits until writes succeed.
fn wait_for_service(record: &Record, system: &System, entries: &[EntryPlan]) -> Result<(), NotRun> {
    for entry in entries {
        let served = (0..100).any(|_| {
            let client = Client::open(record, system.callers(entry.host), "newest", KEY);
            let done = client.is_some_and(|mut client| client.run("WRITE warm up").code == "DONE");
            if !done {
                sleep(0.2);
            }
            done
        });
        if !served {
            return Err(NotRun("writes do not succeed".into()));
        }
    }
    Ok(())
}

/// Acknowledged writes that a later promoted server did not have.
fn lost_writes(record: &Record) -> String {
    let acknowledged = record.acknowledged();
    for promotion in record.promotions() {
        let lost: Vec<&str> = acknowledged
            .iter()
            .filter(|write| write.at < promotion.at && !promotion.held.contains(&write.request))
            .map(|write| write.request.as_str())
            .collect();
        if let (Some(first), Some(last)) = (lost.first(), lost.last()) {
            return format!(
                "LOST: {} acknowledged writes ({first} to {last}) are not in the log of {}, promoted at {:.3} s with term {}",
                lost.len(),
                promotion.server,
                promotion.at,
                promotion.term
            );
        }
    }
    String::new()
}

/// A replica leaves as planned while another one receives nothing for some seconds.
fn departed_replica(record: &Record, trouble: bool) -> Result<String, NotRun> {
    let mut system = System::new(record.clone());
    let group = start_group(&system, 3, record);
    let entries = entries();
    system.start(&entries, &group, &config())?;
    wait_for_service(record, &system, &entries)?;
    let stop = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = entries
        .iter()
        .map(|entry| {
            let (name, callers) = (format!("item{}", entry.host), system.callers(entry.host));
            start_writer(record, callers, name, Duration::from_millis(50), stop.clone())
        })
        .collect();
    sleep(2.0);
    group.drain("s2");
    sleep(5.0);
    if trouble {
        group.set_deaf("s3", true);
    }
    sleep(6.0);
    if trouble {
        group.set_deaf("s3", false);
    }
    sleep(5.0);
    stop.store(true, Ordering::Release);
    for writer in writers {
        let _ = writer.join();
    }
    let ended = system.check_running();
    if !ended.is_empty() {
        return Ok(format!("processes ended: {ended:?}"));
    }
    Ok(lost_writes(record))
}

/// Sends one read after the other over a session until it is told to stop.
fn start_reader(
    record: &Record,
    entry: SocketAddr,
    database: &'static str,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        while !stop.load(Ordering::Acquire) {
            let Some(mut client) = Client::open(&record, entry, database, KEY) else {
                sleep(0.1);
                continue;
            };
            while !stop.load(Ordering::Acquire) {
                let answer = client.run("READ item");
                match answer.code.as_str() {
                    "NONE" => break,
                    "DONE" => {}
                    _ => sleep(0.02),
                }
            }
        }
    })
}

/// The primary leaves as planned while one replica is loaded by a hot tenant and another one
/// receives nothing for some seconds.
fn old_status(record: &Record, trouble: bool) -> Result<String, NotRun> {
    let mut system = System::new(record.clone());
    let group = start_group(&system, 4, record);
    let entries = entries();
    system.start(&entries, &group, &config())?;
    wait_for_service(record, &system, &entries)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads: Vec<_> = entries
        .iter()
        .map(|entry| {
            let (name, callers) = (format!("item{}", entry.host), system.callers(entry.host));
            start_writer(record, callers, name, Duration::from_millis(50), stop.clone())
        })
        .collect();
    sleep(2.0);
    // The first release: the control leader asks every server for its status.
    group.drain("s1");
    sleep(9.0);
    let Some(primary) = group.primary() else { return Err(NotRun("no primary".into())) };
    let replicas: Vec<String> =
        group.reports().into_iter().filter(|r| r.alive && r.id != primary).map(|r| r.id).collect();
    let [_, deaf] = &replicas[..] else { return Err(NotRun(format!("replicas {replicas:?}"))) };
    if trouble {
        for number in 0..48 {
            let callers = system.callers(11 + number % 3);
            threads.push(start_reader(record, callers, "bounded", stop.clone()));
        }
        sleep(1.0);
        group.set_deaf(deaf, true);
    }
    sleep(2.0);
    group.drain(&primary);
    sleep(3.3);
    if trouble {
        group.set_deaf(deaf, false);
    }
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    sleep(3.0);
    let ended = system.check_running();
    if !ended.is_empty() {
        return Ok(format!("processes ended: {ended:?}"));
    }
    Ok(lost_writes(record))
}

/// A client writes data that contains a line feed.
fn line_feed(record: &Record, trouble: bool) -> Result<String, NotRun> {
    let mut system = System::new(record.clone());
    let group = start_group(&system, 3, record);
    let entries = entries();
    system.start(&entries, &group, &config())?;
    wait_for_service(record, &system, &entries)?;
    let Some(mut client) = Client::open(record, system.callers(11), "newest", KEY) else {
        return Err(NotRun("no session".into()));
    };
    let separator = if trouble { "\n" } else { " " };
    let text = format!("WRITE note first{separator}QUERY smuggled WRITE account 1000000");
    client.run(&text);
    sleep(1.0);
    let sent = record.sent();
    for run in record.runs() {
        match sent.get(&run.request) {
            None => {
                return Ok(format!(
                    "UNASKED: {} ran {:?} under the id {:?}, which no client sent",
                    run.server, run.text, run.request
                ));
            }
            Some(text) if *text != run.text => {
                return Ok(format!(
                    "UNASKED: {} ran {:?} for the statement {text:?}",
                    run.server, run.text
                ));
            }
            Some(_) => {}
        }
    }
    Ok(String::new())
}

/// Host of the entry that is cut from the control members.
const CUT_ENTRY: u8 = 14;

/// Commits of a counter: its value and the time at which the client had the answer.
type Commits = Arc<Mutex<Vec<(u64, f64)>>>;

/// Reads that a server answered with a value older than the route allows.
type StaleReads = Arc<Mutex<Vec<String>>>;

/// The longest age of data on the route `bounded`, in seconds.
const MAX_AGE: f64 = 1.5;

/// An entry is cut from the control members while the primary is replaced, and one of its sessions
/// has a transaction open at the former primary.
fn old_sample(record: &Record, trouble: bool) -> Result<String, NotRun> {
    let mut system = System::new(record.clone());
    let group = start_group(&system, 3, record);
    let mut entries = entries();
    // Links to and from the fourth entry lead over forwarders.
    entries.push(EntryPlan { host: CUT_ENTRY, zone: 4, region: 2, links: LINKS + 1 });
    // One of six entries is within the share that the site file cuts.
    entries.extend([15, 16].map(|host| EntryPlan {
        host,
        zone: host - 14,
        region: 1,
        links: LINKS,
    }));
    let (cut, open) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    for host in [1, 2, 3, 11, 12, 13, 15, 16] {
        let blocked = if host <= 3 { cut.clone() } else { open.clone() };
        system.forward(system.address(host, LINKS + 1), system.address(host, LINKS), blocked)?;
    }
    let own = (system.address(CUT_ENTRY, LINKS), system.address(CUT_ENTRY, LINKS + 1));
    system.forward(own.0, own.1, open)?;
    system.start(&entries, &group, &config())?;
    wait_for_service(record, &system, &entries)?;
    let stop = Arc::new(AtomicBool::new(false));
    let commits: Commits = Arc::default();
    let stale: StaleReads = Arc::default();
    let mut threads =
        vec![start_counter(record, system.callers(12), commits.clone(), stop.clone())];
    for host in [11, 13] {
        let (name, pause) = (format!("item{host}"), Duration::from_millis(100));
        threads.push(start_writer(record, system.callers(host), name, pause, stop.clone()));
    }
    sleep(2.0);
    let callers = system.callers(CUT_ENTRY);
    for _ in 0..12 {
        threads.push(start_checked_reader(
            record,
            callers,
            commits.clone(),
            stale.clone(),
            stop.clone(),
        ));
    }
    let Some(mut session) = Client::open(record, callers, "newest", KEY) else {
        return Err(NotRun("no session".into()));
    };
    let lag_start = record.now();
    if trouble {
        group.set_lag("s3", Duration::from_millis(2_200));
    }
    sleep(1.0);
    session.run("BEGIN READ");
    let first = session.run("READ counter");
    if first.code != "DONE" {
        return Err(NotRun(format!("the transaction did not start: {first:?}")));
    }
    if trouble {
        group.set_isolated("s1", true);
    }
    let start = record.now();
    let (mut cut_since, mut isolated, mut lags) = (None, trouble, trouble);
    let mut in_transaction = true;
    while record.now() < start + 7.5 {
        if trouble && cut_since.is_none() && record.now() >= start + 1.0 {
            record.add("trouble: the entry is cut from the control members");
            cut.store(true, Ordering::Release);
            cut_since = Some(record.now());
        }
        if isolated && record.now() >= start + 4.7 {
            group.set_isolated("s1", false);
            isolated = false;
        }
        if cut_since.is_some_and(|since| record.now() >= since + 5.1) && cut.load(Ordering::Acquire)
        {
            record.add("trouble: the entry reaches the control members");
            cut.store(false, Ordering::Release);
        }
        if lags && record.now() >= lag_start + 6.8 {
            group.set_lag("s3", Duration::ZERO);
            lags = false;
        }
        if in_transaction {
            in_transaction = session.run("READ counter").code == "DONE";
        }
        sleep(0.15);
    }
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let ended = system.check_running();
    if !ended.is_empty() {
        return Ok(format!("processes ended: {ended:?}"));
    }
    let stale = stale.lock().unwrap();
    Ok(stale
        .first()
        .map_or(String::new(), |first| format!("STALE: {} reads; {first}", stale.len())))
}

/// Counts up in the item `counter` and records the acknowledged values.
fn start_counter(
    record: &Record,
    entry: SocketAddr,
    commits: Commits,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let mut value = 0;
        while !stop.load(Ordering::Acquire) {
            let Some(mut client) = Client::open(&record, entry, "newest", KEY) else {
                sleep(0.1);
                continue;
            };
            while !stop.load(Ordering::Acquire) {
                value += 1;
                let answer = client.run(&format!("WRITE counter {value}"));
                match answer.code.as_str() {
                    "DONE" => commits.lock().unwrap().push((value, record.now())),
                    "NONE" => break,
                    _ => {}
                }
                sleep(0.1);
            }
        }
    })
}

/// Reads the counter and checks that it is no older than the route allows.
fn start_checked_reader(
    record: &Record,
    entry: SocketAddr,
    commits: Commits,
    stale: StaleReads,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        while !stop.load(Ordering::Acquire) {
            let Some(mut client) = Client::open(&record, entry, "bounded", KEY) else {
                sleep(0.1);
                continue;
            };
            while !stop.load(Ordering::Acquire) {
                let sent = record.now();
                let answer = client.run("READ counter");
                if answer.code == "NONE" {
                    break;
                }
                let value: Option<u64> = answer.rows.first().and_then(|row| row.parse().ok());
                let commits = commits.lock().unwrap();
                let due = commits.iter().filter(|(_, at)| *at < sent - MAX_AGE).last().copied();
                if let (Some(value), Some((due, at))) = (value, due)
                    && answer.code == "DONE"
                    && value < due
                {
                    let text = format!(
                        "{} was sent at {sent:.3} s and got {value} from {}, although {due} was acknowledged at {at:.3} s",
                        answer.request, answer.signature
                    );
                    record.add(format!("stale: {text}"));
                    stale.lock().unwrap().push(text);
                }
                drop(commits);
                sleep(0.03);
            }
        }
    })
}

/// Limits of a server as at Biblionet.
const DISTANT_LIMITS: Limits = Limits {
    slots: 3,
    connections: 34,
    read_time: Duration::from_millis(40),
    write_time: Duration::from_millis(8),
    opening_time: Duration::from_millis(27),
    promotion_time: Duration::from_millis(1_000),
    zone_latency: Duration::from_millis(8),
};

/// The primary leaves as planned, and the control leader is killed once it has ordered a promotion.
fn two_orders(record: &Record, trouble: bool) -> Result<String, NotRun> {
    let mut system = System::new(record.clone());
    // The servers `t1` to `t3` are replacements in the zones of `s1` to `s3`.
    let servers: Vec<(String, SocketAddr, u8)> = (1..=3)
        .flat_map(|zone| {
            let replacement = (format!("t{zone}"), system.database(3 + zone), zone);
            [(format!("s{zone}"), system.database(zone), zone), replacement]
        })
        .collect();
    let group = Group::start("db", &servers, DISTANT_LIMITS, record.clone());
    let entries = entries();
    system.start_processes(&entries, &group, &config())?;
    let Some(leader) = system.leader() else { return Err(NotRun("no control leader".into())) };
    // The primary is near the control leader. Only its own replacement exists.
    let primary = format!("s{leader}");
    group.set_first_primary(&primary);
    for zone in (1..=3).filter(|zone| *zone != leader) {
        group.end(&format!("t{zone}"));
    }
    system.announce(&entries, &group)?;
    wait_for_service(record, &system, &entries)?;
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..9)
        .map(|number| {
            let (name, callers) = (format!("item{number}"), system.callers(11 + number % 3));
            let pause = Duration::from_millis(30);
            start_writer(record, callers, name, pause, stop.clone())
        })
        .collect();
    sleep(3.0);
    group.drain(&primary);
    let order = system.orders.recv_timeout(Duration::from_secs(10));
    let Ok((holder, _)) = order else { return Err(NotRun("no promotion was ordered".into())) };
    let host: u8 = holder.trim_start_matches("core-").parse().unwrap_or(0);
    if trouble {
        sleep(0.05);
        system.kill(host);
        let second = system.orders.recv_timeout(Duration::from_secs(10));
        system.restart(host, false)?;
        if let Ok((_, server)) = second {
            // A few milliseconds of replication are lost also without this.
            group.set_deaf(&server, true);
            sleep(1.5);
            group.set_deaf(&server, false);
        }
    }
    sleep(5.0);
    stop.store(true, Ordering::Release);
    for thread in threads {
        let _ = thread.join();
    }
    let ended = system.check_running();
    if !ended.is_empty() {
        return Ok(format!("processes ended: {ended:?}"));
    }
    Ok(lost_writes(record))
}
