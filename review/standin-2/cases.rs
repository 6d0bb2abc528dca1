//! The cases.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Deployment, HEARTBEAT, Order, Record, Result, now_ms},
    group::Group,
};

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, program: &Path, record: &Path, trouble: bool) -> Result<bool> {
    let record = Record::create(record)?;
    record.note(&format!("case {case}, trouble {trouble}"));
    let mut deployment = Deployment::start(program, record.clone())?;
    deployment.set_up()?;
    let held = match case {
        "other-writer" => other_writer(&deployment, trouble)?,
        "suspended-order" => suspended_order(&deployment, trouble)?,
        "ignored-drain" => ignored_drain(&deployment, trouble)?,
        "grown-config" => grown_config(&mut deployment, trouble)?,
        _ => return Err(format!("unknown case {case}")),
    };
    record.note(if held { "the rule held" } else { "the rule was broken" });
    Ok(held)
}

/// Host of the server that the other writer names.
const OTHER_HOST: u8 = 31;

/// Another writer sends heartbeats in which fields are missing. They name no server to use, so no
/// read may run on a log without the commit that was acknowledged before.
fn other_writer(deployment: &Deployment, trouble: bool) -> Result<bool> {
    let record = &deployment.record;
    // The server of the other writer: another system, with other data and a log of its own.
    let other = Group::new("g1", 9, &[("a", "foreign"); 500]);
    let address = deployment.server_address(OTHER_HOST);
    let born = now_ms();
    other.start("x9", address).map_err(|e| e.to_string())?;
    let answer = deployment.ask_once(0, "newest", "w1", "WRITE a first");
    record.note(&format!("client: w1 WRITE a first -> {answer}"));
    if !answer.contains("DONE signed-s") {
        return Err("the first write was not acknowledged".into());
    }
    // A writer of heartbeats repeats them. The fields `version` and `cold-remaining-ms` are missing.
    for sequence in 1..=3 {
        if trouble {
            let beat = format!(
                "{{\"service\":\"g1\",\"address\":\"{address}\",\"zone\":\"d1\",\"slots\":3,\
                 \"state\":\"ready\",\"db-role\":\"primary\",\"seq\":{sequence},\"born\":{born}}}"
            );
            let (status, _) = deployment.control("PUT", "/-/instances/x9", &beat);
            record.note(&format!("other writer: PUT /-/instances/x9 {beat} -> {status}"));
        }
        thread::sleep(HEARTBEAT);
    }
    // Well beyond the staleness that the routes accept.
    thread::sleep(Duration::from_secs(2));
    let mut held = true;
    for round in 0..20 {
        for (entry, database) in [(0, "newest"), (1, "newest"), (0, "bounded"), (1, "own")] {
            let id = format!("r{round}-{entry}-{database}");
            let answer = deployment.ask_once(entry, database, &id, "READ a");
            record.note(&format!("client: {id} READ a at {database} -> {answer}"));
            if answer.contains("DONE") && !answer.starts_with("ROW first | ") {
                held = false;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let answer = deployment.ask_once(1, "newest", "w2", "WRITE b second");
    record.note(&format!("client: w2 WRITE b second -> {answer}"));
    for run in other.runs() {
        record.note(&format!("x9 ran {} {} at {:.3}", run.id, run.text, record.at(run.at)));
    }
    let elsewhere = deployment.group.runs();
    record.note(&format!("s1 to s3 ran {} statements", elsewhere.len()));
    for host in crate::deployment::CONTROLS {
        for line in deployment.log_lines(host, "x9") {
            record.note(&format!("log of node-{host}: {line}"));
        }
    }
    Ok(held)
}

/// Databases and changes of a day, as the users want them designed for.
const DATABASES: u32 = 820;
const CHANGES: u64 = 880;

/// `ack-timeout-ms`, with 3 ms more for each route.
const ACK_TIMEOUT: Duration = Duration::from_millis(8_000 + 3 * 820);

/// Longer than `contact-ms`, for which the operator reads back.
const READ_BACK: Duration = Duration::from_secs(12);

/// Longest time for the changes, so that the case ends in time on a slow machine.
const PUBLISHING_LIMIT: Duration = Duration::from_secs(80);

/// Ends of the processes on half of the core that count as a fault.
const FAULT_ENDS: u32 = 3;

/// The operator publishes a day's changes, one after the other, of a configuration that has grown
/// by many routes. The platform kills a process that uses more memory than its machine has. No
/// process may end by itself three times on half of the core, and what was acknowledged must be
/// read back at the end.
fn grown_config(deployment: &mut Deployment, trouble: bool) -> Result<bool> {
    let record = deployment.record.clone();
    let routes = if trouble { DATABASES } else { 0 };
    let started = Instant::now();
    let mut acknowledged = 1;
    for version in 2..=CHANGES + 1 {
        let config = deployment.grown_config(version, routes);
        let sent = Instant::now();
        let mut status = 0;
        while status != 200 && sent.elapsed() < ACK_TIMEOUT && !deployment.is_faulty(FAULT_ENDS) {
            deployment.enforce_memory()?;
            status = deployment.control("PUT", "/-/config", &config).0;
            if status != 200 {
                thread::sleep(Duration::from_millis(100));
            }
        }
        if status != 200 {
            record.note(&format!("operator: version {version} was not acknowledged"));
            break;
        }
        acknowledged = version;
        if version % 50 == 0 {
            let memory = deployment.memory_mb();
            let bytes = config.len();
            record.note(&format!("operator: version {version} ({bytes} bytes) acknowledged; {memory}"));
        }
        if started.elapsed() > PUBLISHING_LIMIT {
            return Err(format!("only {acknowledged} changes were acknowledged in time"));
        }
    }
    record.note(&format!("operator: {acknowledged} is the newest acknowledged version"));
    let expected = deployment.grown_config(acknowledged, routes);
    let reading = Instant::now();
    let mut read = false;
    let mut reads = 0;
    while !read && reading.elapsed() < READ_BACK {
        deployment.enforce_memory()?;
        let (status, body) = deployment.control("GET", "/-/config", "");
        reads += 1;
        // A change without a clear answer may be in force.
        let next = deployment.grown_config(acknowledged + 1, routes);
        read = status == 200 && (body == expected || body == next);
        thread::sleep(Duration::from_millis(100));
    }
    record.note(&format!("operator: {reads} reads, the configuration came back: {read}"));
    record.note(&deployment.memory_mb());
    let faulty = deployment.is_faulty(FAULT_ENDS);
    record.note(&format!("processes ended {FAULT_ENDS} times or more on half of the core: {faulty}"));
    Ok(read && !faulty)
}

/// Longest freeze of a machine, and cut of the platform, in the case.
const FREEZE_LIMIT: Duration = Duration::from_millis(3_500);

/// The order of promotion of a control leader is held up on its way to the platform, and the leader
/// freezes before it has an answer. Another member leads and orders the promotion. The platform
/// must see no order with a lower token after that.
fn suspended_order(deployment: &Deployment, trouble: bool) -> Result<bool> {
    let record = &deployment.record;
    let leader = deployment.leader().ok_or("no control leader")?;
    let link = &deployment.platform_links[&leader];
    record.note(&format!("node-{leader} leads"));
    if trouble {
        link.hold(true);
        record.note(&format!("the way of node-{leader} to the platform is cut"));
    }
    deployment.drain(21, "s1")?;
    let orders = || deployment.orders.lock().map(|orders| orders.clone()).unwrap_or_default();
    let started = Instant::now();
    while (trouble && link.held_bytes() == 0) || (!trouble && orders().is_empty()) {
        if started.elapsed() > Duration::from_secs(10) {
            return Err("no order was sent".into());
        }
        thread::sleep(Duration::from_millis(1));
    }
    if trouble {
        let frozen = Instant::now();
        deployment.signal(leader, "STOP")?;
        while orders().is_empty() && frozen.elapsed() < FREEZE_LIMIT - Duration::from_millis(400) {
            thread::sleep(Duration::from_millis(10));
        }
        let overtaken = !orders().is_empty();
        link.hold(false);
        record.note(&format!("the way of node-{leader} to the platform is joined again"));
        thread::sleep(Duration::from_millis(200));
        deployment.signal(leader, "CONT")?;
        record.note(&format!("node-{leader} was frozen for {} ms", frozen.elapsed().as_millis()));
        if !overtaken {
            return Err("no other leader ordered a promotion in time".into());
        }
    }
    thread::sleep(Duration::from_secs(3));
    let orders: Vec<Order> = orders();
    for order in &orders {
        let Order { holder, token, server } = order;
        record.note(&format!("order received: {holder} promotes {server}, token {token}"));
    }
    let answer = deployment.ask_once(0, "newest", "w1", "WRITE a first");
    record.note(&format!("client: w1 WRITE a first -> {answer}"));
    Ok(orders.is_sorted_by_key(|order| order.token))
}

/// `drain-ms`.
const DRAIN: Duration = Duration::from_millis(7_000);

/// Time for which clients go on after that. The server serves this long.
const AFTER_DRAIN: Duration = Duration::from_secs(4);

/// Another writer sends one heartbeat with missing fields about a server, which then leaves as
/// planned. After `drain-ms` no request may reach it.
fn ignored_drain(deployment: &Deployment, trouble: bool) -> Result<bool> {
    let record = &deployment.record;
    if trouble {
        let beat = format!(
            "{{\"service\":\"g1\",\"address\":\"{}\",\"zone\":\"d1\",\"slots\":3,\"state\":\"ready\",\
             \"db-role\":\"replica\",\"seq\":1,\"born\":{}}}",
            deployment.server_address(23),
            now_ms()
        );
        let (status, _) = deployment.control("PUT", "/-/instances/s3", &beat);
        record.note(&format!("other writer: PUT /-/instances/s3 {beat} -> {status}"));
    }
    thread::sleep(2 * HEARTBEAT);
    deployment.drain(23, "s3")?;
    let acknowledged = Instant::now();
    let mut sent = Vec::new();
    let mut number = 0;
    while acknowledged.elapsed() < DRAIN + AFTER_DRAIN {
        for entry in 0..2 {
            number += 1;
            let id = format!("r{number}");
            sent.push((id.clone(), Instant::now()));
            let answer = deployment.ask_once(entry, "bounded", &id, "READ probe");
            record.note(&format!("client: {id} READ probe -> {answer}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let mut late = 0;
    for run in deployment.group.runs().iter().filter(|run| run.server == "s3") {
        let is_late = |(id, at): &(String, Instant)| *id == run.id && *at > acknowledged + DRAIN;
        if run.at > acknowledged + DRAIN && sent.iter().any(is_late) {
            late += 1;
            let ms = run.at.duration_since(acknowledged).as_millis();
            record.note(&format!("s3 ran {} {ms} ms after its draining was acknowledged", run.id));
        }
    }
    record.note(&format!("{late} statements reached s3 later than drain-ms"));
    Ok(late == 0)
}
