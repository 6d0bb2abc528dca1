//! Standard output behind a bounded buffer, so that a full pipe does not block requests.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Lines that exceed this limit are dropped and counted.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// Time between two writes; lines that arrive in between are written together, with one wake-up.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Lines that are not written yet.
#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Writer to standard output that never blocks its caller.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogWriter {
    pending: Arc<(Mutex<PendingLines>, Condvar)>,
}

impl LogWriter {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub(crate) fn start() -> io::Result<LogWriter> {
        let writer = LogWriter::default();
        let thread_writer = writer.clone();
        thread::Builder::new().name("log".into()).spawn(move || thread_writer.write_all_lines())?;
        Ok(writer)
    }

    fn write_all_lines(&self) {
        let (lock, filled) = &*self.pending;
        loop {
            let mut pending = lock.lock().unwrap_or_else(PoisonError::into_inner);
            while pending.bytes.is_empty() {
                pending = filled.wait(pending).unwrap_or_else(PoisonError::into_inner);
            }
            drop(pending);
            self.drain();
            thread::sleep(WRITE_INTERVAL);
        }
    }

    /// Writes the pending lines. Errors are ignored: a closed pipe must not end the process.
    pub(crate) fn drain(&self) {
        let mut pending = self.pending.0.lock().unwrap_or_else(PoisonError::into_inner);
        let PendingLines { mut bytes, dropped } = mem::take(&mut *pending);
        drop(pending);
        if dropped > 0 {
            bytes.extend_from_slice(format!("AL0190 log lines left out: {dropped}\n").as_bytes());
        }
        let mut out = io::stdout().lock();
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (lock, filled) = &*self.pending;
        let mut pending = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > MAX_PENDING_BYTES {
            pending.dropped += 1;
        } else {
            if pending.bytes.is_empty() {
                filled.notify_one();
            }
            pending.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
