//! What the cases about memory share: a deployment, machines that end a process that uses more memory
//! than they have and start it again, and ordinary clients.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::Caller,
    cluster::Cluster,
    http,
    record::Record,
    system::{System, ZONES, wait_for},
};

/// Services and their databases.
pub const SERVICES: [(&str, &str); 3] =
    [("huvo11a", "lepu270"), ("kafi81c", "xapu221"), ("wuno96b", "fiti832")];
pub const TENANTS: usize = 8;

/// The processes of a tenth of the machines, two at least, have to end so often for the rule to be
/// broken.
const ENDS: usize = 3;

const CONTROL_MACHINES: usize = 3;

/// Part of a case: disturbs the entry at an address until told to stop.
pub type Disturb = fn(usize, SocketAddr, &AtomicBool, &Record);

/// Plays a case: entries with `memory` MB, each of them disturbed for `time` at most.
pub fn play(
    record: &Record,
    entries: u8,
    memory: u64,
    time: Duration,
    disturb: Disturb,
) -> Verdict {
    match run(record, entries, memory, time, disturb) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::NotRun(e.to_string()),
    }
}

fn run(
    record: &Record,
    entries: u8,
    memory: u64,
    time: Duration,
    disturb: Disturb,
) -> std::io::Result<Verdict> {
    let mut system = System::new(record.clone(), entries, memory)?;
    let cluster = Cluster::new(record.clone(), system.operator_addresses());
    for (index, (service, _)) in SERVICES.iter().enumerate() {
        let ids: Vec<String> = (0..3).map(|n| format!("i-{index}{n}")).collect();
        let servers: Vec<(&str, SocketAddr, &str)> = (0..3)
            .map(|n| {
                (ids[n].as_str(), system.server((index * 3 + n) as u8), ZONES[(n + index) % 3])
            })
            .collect();
        cluster.add_service(service, 22, &servers)?;
    }
    cluster.serve_platform(system.platform())?;
    system.start_all()?;
    let (config, operators) = (config(), system.operator_addresses());
    let accepted = wait_for(Duration::from_secs(20), || {
        operators.iter().any(|to| http::call(*to, "PUT", "/-/config", &config).status == 200)
    });
    let hosts = system.entries.clone();
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| system.front(*host)).collect();
    let serves = |front: SocketAddr, database: &str| {
        let answer = Caller::open(front, database, &key(0))
            .and_then(|mut caller| caller.ask("probe", "WRITE probe x"));
        answer.is_some_and(|answer| answer.contains("DONE s."))
    };
    let ready = wait_for(Duration::from_secs(20), || {
        fronts.iter().all(|front| SERVICES.iter().all(|(_, database)| serves(*front, database)))
    });
    if !accepted || !ready {
        return Ok(Verdict::NotRun("the system did not serve a write in time".into()));
    }
    record.note("the system serves writes");

    let system = Arc::new(Mutex::new(system));
    let (stop, ends) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(BTreeMap::new())));
    let machines = {
        let (system, stop, ends, record) =
            (system.clone(), stop.clone(), ends.clone(), record.clone());
        let hosts = hosts.clone();
        thread::spawn(move || run_machines(&system, &hosts, &stop, &ends, &record))
    };
    let (ordinary_stop, ordinary_record) = (stop.clone(), record.clone());
    let mut clients = Vec::new();
    for (index, front) in fronts.iter().copied().enumerate() {
        let (stop, record) = (stop.clone(), record.clone());
        clients.push(thread::spawn(move || disturb(index, front, &stop, &record)));
        let (stop, record) = (ordinary_stop.clone(), ordinary_record.clone());
        clients.push(thread::spawn(move || ask_ordinarily(index, front, &stop, &record)));
    }
    let started = Instant::now();
    let machine_count = hosts.len() + CONTROL_MACHINES;
    let is_over = |ends: &BTreeMap<u8, usize>| {
        ends.values().filter(|count| **count >= ENDS).count() >= machine_count.div_ceil(10).max(2)
    };
    while started.elapsed() < time && !is_over(&ends.lock().unwrap()) {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let peaks = machines.join().unwrap_or_default();
    let ends = ends.lock().unwrap().clone();
    record.note(format!("most memory of a process, in MB, by machine: {peaks:?}"));
    record.note(format!("processes that ended for their memory, by machine: {ends:?}"));
    cluster.end();
    Ok(if is_over(&ends) { Verdict::Broken } else { Verdict::Held })
}

/// Ends and starts again the processes that use more memory than their machines have; returns the
/// most memory seen, in MB.
fn run_machines(
    system: &Mutex<System>,
    hosts: &[u8],
    stop: &AtomicBool,
    ends: &Mutex<BTreeMap<u8, usize>>,
    record: &Record,
) -> BTreeMap<u8, u64> {
    let mut peaks = BTreeMap::new();
    while !stop.load(Ordering::Relaxed) {
        for host in hosts {
            let mut system = system.lock().unwrap();
            let limit = system.limit();
            let memory = system.memory(*host);
            let used = memory.unwrap_or(0) >> 20;
            let peak: &mut u64 = peaks.entry(*host).or_default();
            *peak = used.max(*peak);
            if memory.is_some() && used <= limit {
                continue;
            }
            record.note(format!(
                "machine {host}: the process uses {used} MB of {limit} MB and is ended"
            ));
            *ends.lock().unwrap().entry(*host).or_default() += 1;
            system.kill(*host);
            thread::sleep(Duration::from_millis(300));
            if let Err(e) = system.start(*host, false) {
                record.note(format!("machine {host} does not start: {e}"));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    peaks
}

/// Reads and writes like an ordinary client.
fn ask_ordinarily(index: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) {
    let (mut caller, mut count, mut cut) = (None, 0, 0);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
        if caller.is_none() {
            caller = Caller::open(front, SERVICES[0].1, &key(0));
        }
        let Some(open) = &mut caller else { continue };
        count += 1;
        let id = format!("o{index}x{count}");
        let answer = open.ask(&id, &format!("WRITE ordinary-{index} {count}"));
        record.line(format!("ordinary client at {front}: {id} WRITE -> {answer:?}"));
        if answer.is_none() {
            (caller, cut) = (None, cut + 1);
        }
    }
    record.note(format!("ordinary client at {front}: {count} writes sent, {cut} of them cut off"));
}

pub fn key(tenant: usize) -> String {
    format!("key-of-tenant-{tenant}")
}

fn config() -> String {
    let routes = SERVICES.map(|(service, database)| {
        format!(
            "{{\"name\":\"r-{database}\",\"host\":\"{database}\",\"path-prefix\":\"/\",\
             \"kind\":\"primary\",\"timeout-ms\":2000,\"target-latency-ms\":800,\"priority\":1,\
             \"service\":\"{service}\",\"max-attempts\":2,\"allow-anonymous\":false}}"
        )
    });
    let services = SERVICES.map(|(service, _)| {
        format!(
            "{{\"name\":\"{service}\",\"health-path\":\"/health\",\"max-conns\":22,\
             \"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}}"
        )
    });
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| {
            format!(
                "{{\"name\":\"tenant{tenant}\",\"api-keys\":[\"{}\"],\"priority\":1,\
                 \"rate-per-s\":100,\"burst\":100}}",
                key(tenant)
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\
         \"tx-idle-ms\":3000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
