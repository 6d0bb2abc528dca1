//! Records of a run, as the checker reads them.

use std::{collections::BTreeMap, path::PathBuf, str::FromStr, time::Instant};

use crate::{
    Entry, Error, Node, Result,
    deployment::{self, Template},
    record::{self, Event, Mark, Ran, Request},
};

/// Term and position of a log entry.
pub type Position = (u64, u64);

/// Files of one server: `GROUP,RECORD,DATA`.
#[derive(Debug, Clone)]
pub struct Files {
    group: String,
    record: PathBuf,
    data: PathBuf,
}

impl FromStr for Files {
    type Err = Error;

    fn from_str(text: &str) -> Result<Files> {
        let parts: Vec<&str> = text.split(',').collect();
        let [group, record, data] = parts[..] else {
            return Err(Error::Input(format!("{text:?} is not GROUP,RECORD,DATA")));
        };
        Ok(Files { group: group.into(), record: record.into(), data: data.into() })
    }
}

/// What the servers of a group recorded.
#[derive(Debug, Clone, Default)]
pub struct Group {
    /// Statements, by time.
    pub ran: Vec<Ran>,
    /// Times at which replicas made positions visible: server, time, position; by time.
    pub applied: Vec<(String, u64, Position)>,
    /// Log of the last primary.
    pub log: Vec<Entry>,
    /// Sightings of callers' keys.
    pub keys: u64,
}

/// All records of a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Limits of the client accounts.
    pub template: Template,
    /// Requests of the load.
    pub requests: Vec<Request>,
    /// Records of the groups.
    pub groups: BTreeMap<String, Group>,
    /// Marks of the script.
    pub marks: Vec<Mark>,
}

/// Where the records are.
#[derive(Debug, Clone)]
pub struct Options {
    /// Template.
    pub template: PathBuf,
    /// Record of the load.
    pub load: PathBuf,
    /// Records and data of the servers.
    pub servers: Vec<Files>,
    /// Marks.
    pub marks: Option<PathBuf>,
}

impl Evidence {
    /// Reads the records of a run.
    ///
    /// # Errors
    /// A file is missing or not valid.
    pub fn read(options: &Options) -> Result<Evidence> {
        let mut evidence = Evidence {
            template: deployment::template(&options.template)?,
            requests: record::read(&options.load)?,
            ..Evidence::default()
        };
        if let Some(path) = options.marks.as_ref().filter(|p| p.exists()) {
            evidence.marks = record::read(path)?;
        }
        let mut last: BTreeMap<&str, (u64, &PathBuf)> = BTreeMap::new();
        for files in &options.servers {
            let group = evidence.groups.entry(files.group.clone()).or_default();
            for event in record::read(&files.record)? {
                if let Event::Promoted { term, .. } = &event {
                    let best = last.entry(&files.group).or_insert((0, &files.data));
                    *best = (*best).max((*term, &files.data));
                }
                group.add(event);
            }
            group.ran.sort_by_key(|r| r.time);
            group.applied.sort_by_key(|a| a.1);
        }
        for (name, (_, data)) in last {
            let node = Node::replay(&record::read::<crate::Step>(data)?, Instant::now());
            if let Some(group) = evidence.groups.get_mut(name) {
                group.log = node.log().to_vec();
            }
        }
        match evidence.groups.iter().find(|(_, g)| g.log.is_empty()) {
            Some((name, _)) => Err(Error::Input(format!("group {name} has no log of a primary"))),
            None => Ok(evidence),
        }
    }
}

impl Group {
    /// Adds an event of a server's record.
    pub fn add(&mut self, event: Event) {
        match event {
            Event::Ran(ran) => self.ran.push(ran),
            Event::Applied { time, server, term, position } => {
                self.applied.push((server, time, (term, position)));
            }
            Event::Key { .. } => self.keys += 1,
            Event::Promoted { .. } => {}
        }
    }

    /// Positions of request ids: in the last primary's log, or else where they were committed.
    pub fn positions(&self) -> BTreeMap<&str, Position> {
        let committed = self.ran.iter().filter(|r| r.write && r.committed);
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
