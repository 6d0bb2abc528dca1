//! One client after the other, on each entry, sets many session values of legal size, reads once and
//! leaves.

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

/// Values of a session, and bytes of each; a message has 1 MiB at most.
const VALUES: usize = 26;
const VALUE_BYTES: usize = 1_000_000;

/// Bytes of a value without the disturbance.
const CALM_VALUE_BYTES: usize = 100;

const PLAY_TIME: Duration = Duration::from_secs(60);

pub fn play(record: &Record, trouble: &str) -> Verdict {
    let is_calm = trouble == "0";
    let disturb = if is_calm { fill_calmly } else { fill_much };
    memory::play(record, ENTRIES, MEMORY_MB, PLAY_TIME, disturb)
}

fn fill_calmly(index: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) {
    fill(index, front, CALM_VALUE_BYTES, stop, record);
}

fn fill_much(index: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) {
    fill(index, front, VALUE_BYTES, stop, record);
}

/// Opens one session after the other, for each tenant and database.
fn fill(index: usize, front: SocketAddr, value_bytes: usize, stop: &AtomicBool, record: &Record) {
    let value = "x".repeat(value_bytes);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let (tenant, (_, database)) = (count % TENANTS, SERVICES[count / TENANTS % 3]);
        count += 1;
        let Some(mut caller) = Caller::open(front, database, &key(tenant)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let mut set = 0;
        for number in 0..VALUES {
            let id = format!("f{index}x{count}v{number}");
            let answer = caller.ask(&id, &format!("SET v{number} {value}"));
            if !answer.is_some_and(|answer| answer.starts_with("DONE")) {
                break;
            }
            set += 1;
        }
        let answer = caller.ask(&format!("f{index}x{count}r"), "READ probe");
        record.line(format!(
            "client of tenant {tenant} at {front}: {set} values of {value_bytes} bytes set, \
             READ -> {answer:?}"
        ));
        caller.bye();
    }
}
