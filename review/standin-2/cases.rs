//! The cases.

use std::{path::Path, thread, time::Duration};

use crate::{
    deployment::{Deployment, Record, Result, now_ms},
    group::Group,
};

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, program: &Path, record: &Path, trouble: bool) -> Result<bool> {
    let record = Record::create(record)?;
    record.note(&format!("case {case}, trouble {trouble}"));
    let deployment = Deployment::start(program, record.clone())?;
    deployment.set_up()?;
    let held = match case {
        "other-writer" => other_writer(&deployment, trouble)?,
        _ => return Err(format!("unknown case {case}")),
    };
    record.note(if held { "the rule held" } else { "the rule was broken" });
    Ok(held)
}

/// Interval of heartbeats, as in the settings of a deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Host of the server that the other writer names.
const OTHER_HOST: u8 = 31;

/// Another writer sends a heartbeat in which fields are missing. It names no server to use, so
/// every statement must go on running at the servers of the service.
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
            if answer.contains("DONE") && !answer.starts_with("ROW first | DONE signed-s") {
                held = false;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let answer = deployment.ask_once(1, "newest", "w2", "WRITE b second");
    record.note(&format!("client: w2 WRITE b second -> {answer}"));
    held &= answer.contains("DONE signed-s") || !answer.contains("DONE");
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
    Ok(held && other.runs().is_empty())
}
