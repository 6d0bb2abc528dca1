//! Record of a run: what was sent, answered and run, with the time of each line.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A statement that a server ran.
#[derive(Clone)]
pub struct Run {
    pub server: String,
    pub request: String,
    pub text: String,
}

/// A promotion that took effect, with the requests whose writes the server held.
#[derive(Clone)]
pub struct Promotion {
    pub at: f64,
    pub server: String,
    pub term: u64,
    pub held: BTreeSet<String>,
}

/// A write that a client sent.
#[derive(Clone)]
pub struct Acknowledged {
    pub at: f64,
    pub request: String,
}

#[derive(Default)]
struct Content {
    runs: Vec<Run>,
    promotions: Vec<Promotion>,
    acknowledged: Vec<Acknowledged>,
    sent: BTreeMap<String, String>,
}

/// Record that all parts of a run share.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
    content: Arc<Mutex<Content>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record file");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            content: Arc::default(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:9.3} {}", line.as_ref());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    /// Records a statement that a server ran; `held` is the log that a read saw, as TERM.COUNT.
    pub fn add_run(&self, server: &str, request: &str, tenant: &str, text: &str, held: &str) {
        self.add(format!(
            "run server={server} request={request} tenant={tenant} log={held} text={text:?}"
        ));
        let run = Run { server: server.into(), request: request.into(), text: text.into() };
        self.content.lock().unwrap().runs.push(run);
    }

    pub fn add_promotion(&self, server: &str, term: u64, held: Vec<String>) {
        self.add(format!("promoted server={server} term={term} commits={}", held.len()));
        let held = held.into_iter().collect();
        let promotion = Promotion { at: self.now(), server: server.into(), term, held };
        self.content.lock().unwrap().promotions.push(promotion);
    }

    pub fn add_sent(&self, request: &str, text: &str) {
        self.add(format!("sent request={request} text={text:?}"));
        self.content.lock().unwrap().sent.insert(request.into(), text.into());
    }

    /// Records the answer to a request; `acknowledged` for the success of a write or commit.
    pub fn add_answer(&self, request: &str, answer: &str, acknowledged: bool) {
        self.add(format!("answer request={request} {answer}"));
        if acknowledged {
            let acknowledged = Acknowledged { at: self.now(), request: request.into() };
            self.content.lock().unwrap().acknowledged.push(acknowledged);
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.content.lock().unwrap().runs.clone()
    }

    pub fn promotions(&self) -> Vec<Promotion> {
        self.content.lock().unwrap().promotions.clone()
    }

    pub fn acknowledged(&self) -> Vec<Acknowledged> {
        self.content.lock().unwrap().acknowledged.clone()
    }

    /// Texts that clients sent, by request.
    pub fn sent(&self) -> BTreeMap<String, String> {
        self.content.lock().unwrap().sent.clone()
    }
}
