//! Stand-ins and scenarios of the review.
//!
//! `standin CASE RECORD` runs one case and writes its record. The exit code is 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod group;
mod record;
mod system;

use std::{path::Path, process::exit};

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(Path::new(path));
    let outcome = cases::run(case, &record, trouble);
    let (code, text) = match outcome {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("the rule was broken: {broken}")),
        Err(system::NotRun(reason)) => (2, format!("the case could not run: {reason}")),
    };
    record.add(format!("result: {text}"));
    record.flush();
    println!("{text}");
    exit(code);
}
