//! The record of a case: what was sent, answered and run, with times in milliseconds.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to the record of a case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line of the record only.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} {}", self.started.elapsed().as_millis(), text.as_ref());
    }

    /// Writes a line of the record and to the standard output.
    pub fn note(&self, text: impl AsRef<str>) {
        println!("{:>6} {}", self.now(), text.as_ref());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
