//! Standard output behind a bounded buffer, so that a full pipe delays no request.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Bytes that may wait to be written; lines beyond are left out and counted.
const BOUND: usize = 256 << 10;

/// Time between two writes: one wake-up serves all lines of it.
const PAUSE: Duration = Duration::from_millis(100);

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
}

/// Writer to standard output that never blocks its caller.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogWriter {
    waiting: Arc<(Mutex<Waiting>, Condvar)>,
}

impl LogWriter {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub(crate) fn start() -> io::Result<LogWriter> {
        let writer = LogWriter::default();
        let other = writer.clone();
        thread::Builder::new().name("log".into()).spawn(move || other.write_all_lines())?;
        Ok(writer)
    }

    fn write_all_lines(&self) {
        let (lock, filled) = &*self.waiting;
        loop {
            let mut waiting = lock.lock().unwrap_or_else(PoisonError::into_inner);
            while waiting.bytes.is_empty() {
                waiting = filled.wait(waiting).unwrap_or_else(PoisonError::into_inner);
            }
            drop(waiting);
            self.drain();
            thread::sleep(PAUSE);
        }
    }

    /// Writes what waits. A closed pipe ends the log, not the process.
    pub(crate) fn drain(&self) {
        let mut waiting = self.waiting.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Waiting { mut bytes, left_out } = mem::take(&mut *waiting);
        drop(waiting);
        if left_out > 0 {
            bytes.extend_from_slice(format!("AL0190 log lines left out: {left_out}\n").as_bytes());
        }
        let mut out = io::stdout().lock();
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (lock, filled) = &*self.waiting;
        let mut waiting = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() > BOUND {
            waiting.left_out += 1;
        } else {
            if waiting.bytes.is_empty() {
                filled.notify_one();
            }
            waiting.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
