//! Cases of the third review. `review-3 CASE RECORD` plays a case and writes its record. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod cluster;
mod http;
mod memory;
mod other_writer;
mod record;
mod session_values;
mod small_values;
mod system;

use std::{path::Path, process::exit, thread, time::Duration};

/// Longest time of a case; one that takes longer could not run.
const CASE_TIMEOUT: Duration = Duration::from_secs(115);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: review-3 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let record = match record::Record::create(Path::new(file)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{file}: {e}");
            exit(2);
        }
    };
    record.note(format!("case {case} TROUBLE={trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(CASE_TIMEOUT);
        watched.note("the case could not run: it takes too long");
        watched.flush();
        exit(2);
    });
    let verdict = match case.as_str() {
        "small-values" => small_values::play(&record, &trouble),
        "session-values" => session_values::play(&record, &trouble),
        "other-writer" => other_writer::play(&record, &trouble),
        _ => Verdict::NotRun("unknown case".into()),
    };
    let code = match verdict {
        Verdict::Held => {
            record.note("the rule held");
            0
        }
        Verdict::Broken => {
            record.note("the rule was broken");
            1
        }
        Verdict::NotRun(reason) => {
            record.note(format!("the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    exit(code);
}
