//! A heartbeat of another writer names a service that isn't in the configuration, and the address of
//! a replica. Then the other replica receives nothing for a while, and the primary crashes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    client::Caller,
    cluster::{Cluster, heartbeat, unix_millis},
    http,
    record::Record,
    system::{System, ZONES, wait_for},
};

const SERVICE: &str = "huvo11a";
const DATABASE: &str = "lepu270";
const KEY: &str = "u6wsjnbanfqasnmgkcuy";

/// A write that its client was told is done.
#[derive(Debug, Clone)]
struct Done {
    id: String,
    item: String,
    at: u64,
}

pub fn play(record: &Record, trouble: &str) -> Verdict {
    match run(record, trouble) {
        Ok(verdict) => verdict,
        Err(e) => Verdict::NotRun(e.to_string()),
    }
}

fn run(record: &Record, trouble: &str) -> std::io::Result<Verdict> {
    // `TROUBLE=lag` leaves out the heartbeat of the other writer only.
    let (other_writer, lag) = match trouble {
        "0" => (false, false),
        "lag" => (false, true),
        _ => (true, true),
    };
    let mut system = System::new(record.clone(), 2, 260)?;
    let cluster = Cluster::new(record.clone(), system.operator_addresses());
    let servers: Vec<(&str, SocketAddr, &str)> = ["i-1a", "i-2b", "i-3c"]
        .into_iter()
        .zip([1, 2, 3])
        .zip(ZONES)
        .map(|((id, number), zone)| (id, system.server(number), zone))
        .collect();
    cluster.add_service(SERVICE, 22, &servers)?;
    cluster.serve_platform(system.platform())?;
    system.start_all()?;
    let config = config(1);
    let operators = system.operator_addresses();
    let accepted = wait_for(Duration::from_secs(20), || {
        operators.iter().any(|to| http::call(*to, "PUT", "/-/config", &config).status == 200)
    });
    let fronts: Vec<SocketAddr> = system.entries.iter().map(|host| system.front(*host)).collect();
    let serves = wait_for(Duration::from_secs(20), || {
        fronts.iter().all(|front| {
            let answer = Caller::open(*front, DATABASE, KEY)
                .and_then(|mut caller| caller.ask("probe", "WRITE probe x"));
            answer.is_some_and(|answer| answer.contains("DONE s."))
        })
    });
    if !accepted || !serves {
        return Ok(Verdict::NotRun("the system did not serve a write in time".into()));
    }
    record.note("the system serves writes");

    let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let writers: Vec<_> = (0..4)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let (record, stop, done) = (record.clone(), stop.clone(), done.clone());
            thread::spawn(move || write_on(number, front, &record, &stop, &done))
        })
        .collect();

    thread::sleep(Duration::from_secs(3));
    if other_writer {
        let body = heartbeat(
            "kafi81c",
            cluster.address(SERVICE, "i-2b"),
            ZONES[1],
            "replica",
            1,
            unix_millis(),
        );
        let answer = http::call(operators[0], "PUT", "/-/instances/i-9f", &body);
        record.note(format!("heartbeat of another writer: {body} -> {}", answer.status));
    }
    thread::sleep(Duration::from_secs(4));
    if lag {
        cluster.set_deaf(SERVICE, "i-3c", true);
        thread::sleep(Duration::from_secs(3));
        cluster.crash(SERVICE, "i-1a");
        thread::sleep(Duration::from_millis(3_500));
        cluster.set_deaf(SERVICE, "i-3c", false);
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    if !system.ended().is_empty() {
        record.note(format!("processes that ended by themselves: {:?}", system.ended()));
    }

    let done: Vec<Done> = done.lock().unwrap().clone();
    let mut lost = 0;
    for promotion in cluster.promotions() {
        let log: BTreeSet<&str> = promotion.log.iter().map(String::as_str).collect();
        let missing: Vec<&Done> = done
            .iter()
            .filter(|done| done.at < promotion.at && !log.contains(done.id.as_str()))
            .collect();
        record.note(format!(
            "promotion of {} in {} to term {} at {}: {} acknowledged writes before, {} of them not \
             in its log",
            promotion.server,
            promotion.service,
            promotion.term,
            promotion.at,
            done.iter().filter(|done| done.at < promotion.at).count(),
            missing.len()
        ));
        for write in &missing {
            record.line(format!("lost: {write:?}"));
        }
        lost += missing.len();
        if let Some(write) = missing.last() {
            let answer = Caller::open(fronts[0], DATABASE, KEY)
                .and_then(|mut caller| caller.ask("look", &format!("READ {}", write.item)));
            record.note(format!("read of a lost write, {}: {answer:?}", write.item));
        }
    }
    record.note(format!("{} writes were acknowledged, {lost} were lost", done.len()));
    cluster.end();
    drop(system);
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Writes items, each once, until told to stop.
fn write_on(
    number: usize,
    front: SocketAddr,
    record: &Record,
    stop: &AtomicBool,
    done: &Mutex<Vec<Done>>,
) {
    let mut caller = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(40));
        if caller.is_none() {
            caller = Caller::open(front, DATABASE, KEY);
        }
        let Some(open) = &mut caller else { continue };
        count += 1;
        let (id, item) = (format!("w{number}x{count:04}"), format!("item-{number}-{count}"));
        record.line(format!("client {number}: {id} WRITE {item} data-{count}"));
        let answer = open.ask(&id, &format!("WRITE {item} data-{count}"));
        record.line(format!("client {number}: {id} -> {answer:?}"));
        match answer {
            Some(answer) if answer.starts_with("DONE s.") => {
                done.lock().unwrap().push(Done { id, item, at: record.now() });
            }
            Some(_) => {}
            None => caller = None,
        }
    }
}

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{DATABASE}\",\
         \"path-prefix\":\"/\",\"kind\":\"primary\",\"timeout-ms\":1000,\"target-latency-ms\":400,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":2,\"allow-anonymous\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-conns\":22,\
         \"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}},\
         \"tenants\":[{{\"name\":\"nypu920\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\
         \"rate-per-s\":134,\"burst\":134}}]}}"
    )
}
