//! Loads the records of a test run for the checker.

use std::{collections::BTreeMap, path::PathBuf, str::FromStr, time::Instant};

use crate::{
    Error, LogEntry, Node, Result,
    deployment::{self, Template},
    record::{self, Event, ExecutedStatement, Mark, Request},
};

/// Term and position of a log entry.
pub type Position = (u64, u64);

/// Database group, record file and data file of one server, written as `GROUP,RECORD,DATA`.
#[derive(Debug, Clone)]
pub struct ServerFiles {
    group: String,
    record: PathBuf,
    data: PathBuf,
}

impl FromStr for ServerFiles {
    type Err = Error;

    fn from_str(text: &str) -> Result<ServerFiles> {
        let parts: Vec<&str> = text.split(',').collect();
        let [group, record, data] = parts[..] else {
            return Err(Error::Input(format!("{text:?} is not GROUP,RECORD,DATA")));
        };
        Ok(ServerFiles { group: group.into(), record: record.into(), data: data.into() })
    }
}

/// Merged records of the servers of a database group.
#[derive(Debug, Clone, Default)]
pub struct GroupRecords {
    /// Executed statements, sorted by time.
    pub statements: Vec<ExecutedStatement>,
    /// Server, time and position of each apply step of a replica, sorted by time.
    pub applied: Vec<(String, u64, Position)>,
    /// Log of the primary with the highest term.
    pub log: Vec<LogEntry>,
    /// Number of times that a server saw a caller's key.
    pub key_sightings: u64,
}

/// All records of a test run.
#[derive(Debug, Clone, Default)]
pub struct RunRecords {
    /// Limits of the client accounts.
    pub template: Template,
    /// Requests that the load generator recorded.
    pub requests: Vec<Request>,
    /// Records of the groups.
    pub groups: BTreeMap<String, GroupRecords>,
    /// Marks that the test script set.
    pub marks: Vec<Mark>,
}

/// Locations of the records of a test run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Template.
    pub template: PathBuf,
    /// Record of the load generator.
    pub load: PathBuf,
    /// Records and data of the servers.
    pub servers: Vec<ServerFiles>,
    /// Marks.
    pub marks: Option<PathBuf>,
}

impl RunRecords {
    /// Reads the records of a run.
    ///
    /// # Errors
    /// A file is missing or not valid.
    pub fn read(options: &Options) -> Result<RunRecords> {
        let mut records = RunRecords {
            template: deployment::read_template(&options.template)?,
            requests: record::read(&options.load)?,
            ..RunRecords::default()
        };
        if let Some(path) = options.marks.as_ref().filter(|p| p.exists()) {
            records.marks = record::read(path)?;
        }
        let mut last_primaries: BTreeMap<&str, (u64, &PathBuf)> = BTreeMap::new();
        for files in &options.servers {
            let group = records.groups.entry(files.group.clone()).or_default();
            for event in record::read(&files.record)? {
                if let Event::Promoted { term, .. } = &event {
                    let latest = last_primaries.entry(&files.group).or_insert((0, &files.data));
                    *latest = (*latest).max((*term, &files.data));
                }
                group.add(event);
            }
            group.statements.sort_by_key(|r| r.time);
            group.applied.sort_by_key(|a| a.1);
        }
        for (name, (_, data)) in last_primaries {
            let node = Node::replay(&record::read::<crate::LogRecord>(data)?, Instant::now());
            if let Some(group) = records.groups.get_mut(name) {
                group.log = node.log().to_vec();
            }
        }
        match records.groups.iter().find(|(_, g)| g.log.is_empty()) {
            Some((name, _)) => Err(Error::Input(format!("group {name} has no log of a primary"))),
            None => Ok(records),
        }
    }
}

impl GroupRecords {
    /// Adds one event from a server's record.
    pub fn add(&mut self, event: Event) {
        match event {
            Event::Ran(statement) => self.statements.push(statement),
            Event::Applied { time, server, term, position } => {
                self.applied.push((server, time, (term, position)));
            }
            Event::Key { .. } => self.key_sightings += 1,
            Event::Promoted { .. } => {}
        }
    }

    /// Position of each request id: from the last primary's log, or else from the commit record.
    pub fn positions(&self) -> BTreeMap<&str, Position> {
        let committed = self.statements.iter().filter(|r| r.write && r.committed);
        let mut positions: BTreeMap<&str, Position> =
            committed.map(|r| (r.request.as_str(), (r.term, r.position))).collect();
        for entry in &self.log {
            for write in &entry.writes {
                positions.insert(record::request(&write.value), (entry.term, entry.position));
            }
        }
        positions
    }
}
