//! Messages between entries and control members of a fleet, and between entries.
//!
//! The names of fields on the wire are short: entries may have links of 2 Mbit/s.

use std::{collections::BTreeSet, sync::Arc};

use auburnlug_coordination::{Position, changes::Changes};
use auburnlug_state::{Millis, Name, Term, fleet::Backend};
use serde::{Deserialize, Serialize};

use crate::{
    job::{Answer, Job},
    packed::Packed,
    peer::Control,
    plan_part::PlanPart,
};

/// A message on a control link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Agreement between control members.
    Member(Control),
    /// An entry renews its lease.
    Renew(Box<Renewal>),
    /// The leader grants a lease.
    Grant(Box<FleetGrant>),
    /// The sender does not lead; these are the members that it knows.
    NotLeader(Vec<Name>),
    /// The sender has become leader.
    Leading,
    /// What changed in the view of the fleet: an [`Update`].
    Update(Arc<Packed>),
}

/// Request for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// Time of sending on the entry's clock; the grant returns it.
    #[serde(rename = "s")]
    pub sent: Millis,
    /// Run of the entry's process.
    #[serde(rename = "r")]
    pub run: u64,
    /// Whether the entry stops.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Region of the entry.
    #[serde(rename = "re")]
    pub region: Arc<str>,
    /// Failure domain of the entry.
    #[serde(rename = "d")]
    pub domain: Arc<str>,
    /// Last update that the entry has put in force.
    #[serde(rename = "a")]
    pub applied: u64,
    /// Term of the control leader that sent it.
    #[serde(rename = "te", default)]
    pub term: Term,
    /// Version of the configuration that the entry has.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether the last update did not fit what the entry has, so that it was not put in force.
    #[serde(rename = "u")]
    pub unfit: bool,
    /// Use of client accounts since the last renewal.
    #[serde(rename = "de")]
    pub demand: Vec<Demand>,
    /// What the entry saw of primaries since the last renewal.
    #[serde(rename = "e")]
    pub evidence: Vec<Evidence>,
    /// Whether it tells all that the entry holds: to a leader that was not told before, and once
    /// more after its first update.
    #[serde(rename = "f")]
    pub full: bool,
    /// Servers that it holds, if it tells all.
    #[serde(rename = "h")]
    pub holds: Vec<Held>,
    /// Whether it admits operations for entries near it.
    #[serde(rename = "g", default)]
    pub delegate: bool,
}

/// A server to which an entry holds connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Server.
    #[serde(rename = "s")]
    pub server: Arc<str>,
    /// Place among the server's holders; 0 is the first.
    #[serde(rename = "t")]
    pub turn: usize,
    /// Connections that it may have.
    #[serde(rename = "c")]
    pub connections: u32,
}

/// Use of a client account by one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Operations a second, smoothed.
    #[serde(rename = "r")]
    pub rate: f64,
    /// Share that the entry holds, in operations a second.
    #[serde(rename = "s")]
    pub share: f64,
    /// Operations that the entry may keep at hand.
    #[serde(rename = "k", default)]
    pub room: f64,
    /// Tokens asked for at once.
    #[serde(rename = "w")]
    pub wanted: f64,
    /// Sum of all entries' shares, as the leader last told it.
    #[serde(rename = "t")]
    pub spread: Option<f64>,
}

/// What an entry saw of the primary of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Database group.
    #[serde(rename = "g")]
    pub group: Arc<str>,
    /// Server that the entry took for the primary.
    #[serde(rename = "s")]
    pub server: Arc<str>,
    /// Time since it last answered, in milliseconds; `None` if it never did.
    #[serde(rename = "a")]
    pub answered: Option<Millis>,
    /// Commits in a row that it did not answer in time.
    #[serde(rename = "st")]
    pub stalled: u32,
}

/// Lease of an entry and its shares of the client accounts' rates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetGrant {
    /// Time of sending of the renewal.
    #[serde(rename = "s")]
    pub sent: Millis,
    /// Length of the lease from then on, in milliseconds.
    #[serde(rename = "sp")]
    pub span: Millis,
    /// Update that must be in force for the lease to count.
    #[serde(rename = "i")]
    pub index: u64,
    /// Shares.
    #[serde(rename = "sh")]
    pub shares: Vec<Share>,
    /// Positions of primaries, by group.
    #[serde(rename = "p")]
    pub positions: Vec<PositionSample>,
}

/// Position that a primary reported; on the wire a list, as each grant has one for each group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "PositionFields", into = "PositionFields")]
pub struct PositionSample {
    /// Database group.
    pub group: Arc<str>,
    /// Time between the question and the arrival of the renewal that is answered, in milliseconds.
    pub age: Millis,
    /// Position.
    pub position: Position,
}

/// Group, age, term and offset of a sample.
type PositionFields = (Arc<str>, Millis, Term, u64);

impl From<PositionFields> for PositionSample {
    fn from((group, age, term, offset): PositionFields) -> PositionSample {
        PositionSample { group, age, position: Position { term, offset } }
    }
}

impl From<PositionSample> for PositionFields {
    fn from(sample: PositionSample) -> PositionFields {
        (sample.group, sample.age, sample.position.term, sample.position.offset)
    }
}

/// Part of a client account's rate for one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Operations a second.
    #[serde(rename = "r")]
    pub rate: f64,
    /// Operations that the entry may keep at hand.
    #[serde(rename = "k", default)]
    pub room: f64,
    /// Operations that the entry may admit at once besides.
    #[serde(rename = "t")]
    pub tokens: f64,
    /// Sum of all entries' shares.
    #[serde(rename = "s")]
    pub spread: f64,
}

/// Parts of the view that changed; absent parts stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Number of the update; grows within the term of a control leader.
    pub index: u64,
    /// Term of the control leader.
    pub term: Term,
    /// Changes of the configuration.
    pub plan: Option<Arc<PlanPart>>,
    /// Servers.
    pub backends: Option<Changes<Backend>>,
    /// Leaders of groups.
    pub leads: Option<Changes<LeadView>>,
    /// Entries that hold connections to each server, the first holder first.
    pub holders: Option<Changes<Vec<HolderView>>>,
    /// Entries of each region that admit operations for the others.
    #[serde(default)]
    pub delegates: Option<Changes<BTreeSet<Name>>>,
    /// Control members.
    pub members: Option<Vec<Name>>,
}

/// Leader of a group as entries see it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeadView {
    /// Term.
    pub term: Term,
    /// Server that leads the term; `None` while it is being replaced.
    pub primary: Option<Arc<str>>,
}

/// An entry that holds connections to a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderView {
    /// Instance.
    #[serde(rename = "e")]
    pub entry: Name,
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: Arc<str>,
    /// Region.
    #[serde(rename = "r")]
    pub region: Arc<str>,
    /// Connections.
    #[serde(rename = "c")]
    pub connections: u32,
}

/// A message on a link between entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Forward {
    /// Runs a job. Jobs with the same number belong to one transaction.
    Job {
        /// Number chosen by the sender.
        number: u64,
        /// Job.
        job: Box<Job>,
    },
    /// Ends the transaction without keeping its writes; not answered.
    Drop {
        /// Number of the jobs.
        number: u64,
    },
    /// Answer to a job.
    Answer {
        /// Number of the job.
        number: u64,
        /// Answer.
        answer: Box<Answer>,
    },
    /// Asks whether the rate of a client account covers an operation.
    Claim {
        /// Number chosen by the sender.
        number: u64,
        /// Client account.
        account: Arc<str>,
    },
    /// Answer to a claim.
    Claimed {
        /// Number of the claim.
        number: u64,
        /// Outcome.
        outcome: Claimed,
    },
}

/// Outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The operation is admitted.
    Admitted,
    /// The rate does not cover it.
    Refused,
    /// No control leader answers, and what is at hand does not cover it.
    Unable,
    /// The control leader has been asked; another answer follows.
    Waits,
}
