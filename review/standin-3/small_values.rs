//! A crowd of sessions, each with many short session values and prepared statements.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    client::Caller,
    memory::{self, SERVICES, TENANTS, key},
    record::Record,
};

const ENTRIES: u8 = 2;

/// Memory of the entry machines of Sahil, in MB.
const MEMORY_MB: u64 = 260;

/// Sessions at one entry. It accepts 2,867 connections with its 4,300 descriptors.
const SESSIONS: usize = 2_850;

/// Session values, and prepared statements, of one session.
const NAMES: usize = 256;

/// Names without the disturbance.
const CALM_NAMES: usize = 2;

/// Statements that a session sends ahead.
const AHEAD: usize = 50;

const PLAY_TIME: Duration = Duration::from_secs(60);

pub fn play(record: &Record, trouble: &str) -> Verdict {
    let disturb = if trouble == "0" { crowd_calmly } else { crowd_much };
    memory::play(record, ENTRIES, MEMORY_MB, PLAY_TIME, disturb)
}

fn crowd_calmly(index: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) {
    crowd(index, front, CALM_NAMES, stop, record);
}

fn crowd_much(index: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) {
    crowd(index, front, NAMES, stop, record);
}

/// Opens one crowd after the other; the next one once the connections of the last one have ended.
fn crowd(index: usize, front: SocketAddr, names: usize, stop: &AtomicBool, record: &Record) {
    let mut statements = Vec::new();
    for number in 0..names {
        statements.push(format!("SET value{number:04} {number:09}"));
        statements.push(format!("PREPARE shape{number:04} READ {number:025}"));
    }
    let mut sessions: Vec<Caller> = Vec::new();
    let mut opened = 0;
    while !stop.load(Ordering::Relaxed) {
        if sessions.len() >= SESSIONS {
            thread::sleep(Duration::from_millis(200));
        } else if let Some(caller) = open_session(front, sessions.len(), &statements) {
            sessions.push(caller);
            opened += 1;
            if sessions.len() == SESSIONS {
                record
                    .note(format!("crowd at {front} ({index}): all {SESSIONS} sessions are open"));
            }
            continue;
        }
        // Once the process has ended, the next crowd begins.
        let lives = sessions
            .first_mut()
            .is_none_or(|caller| caller.ask("a", "SET value0000 000000000").is_some());
        if !lives {
            record.note(format!(
                "crowd at {front} ({index}): cut off with {} sessions of {} statements each",
                sessions.len(),
                statements.len()
            ));
            sessions.clear();
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.note(format!("crowd at {front} ({index}): {opened} sessions were opened"));
}

/// Opens a session and sends its statements; `None` if not all of them succeed.
fn open_session(front: SocketAddr, number: usize, statements: &[String]) -> Option<Caller> {
    let mut caller = Caller::open(front, SERVICES[number % 3].1, &key(number % TENANTS))?;
    let done = statements.chunks(AHEAD).all(|part| {
        let answers = caller.ask_ahead(part);
        answers.is_some_and(|answers| answers.iter().all(|a| a.starts_with("DONE")))
    });
    done.then_some(caller)
}
