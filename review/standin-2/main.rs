//! Stand-ins for the servers, clients, operator and platform of a small deployment on loopback, and
//! the cases that `review/N/run.sh` runs. It shares no code with the project.
//!
//! Usage: `standin CASE PROGRAM RECORD yes|no`; `no` leaves the disruption out. Exit code: 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod deployment;
mod group;
mod http;
mod link;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, program, record, trouble] = &args[..] else {
        eprintln!("usage: standin CASE PROGRAM RECORD yes|no");
        return ExitCode::from(2);
    };
    let trouble = match trouble.as_str() {
        "yes" => true,
        "no" => false,
        _ => return ExitCode::from(2),
    };
    match cases::run(case, Path::new(program), Path::new(record), trouble) {
        Ok(held) => ExitCode::from(u8::from(!held)),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
