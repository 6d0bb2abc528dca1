//! Messages between the entries and the control members of a fleet, and between entries.
//!
//! Serialized field names are short because entries may have links of only 2 Mbit/s.

use std::{collections::BTreeSet, sync::Arc};

use auburnlug_coordination::{Position, changes::Changes};
use auburnlug_state::{Millis, Name, Term, byte_size::ByteSize, fleet::Backend};
use serde::{Deserialize, Serialize};

use crate::{
    config_delta::EncodedConfigDelta,
    job::{Answer, Job},
    packed::Packed,
    peer::ControlMessage,
};

/// Fields of a message, or of a value in a list, whose lengths are bounded.
const FIELDS_BYTES: usize = 128;

/// A message on a control link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Consensus message between control members.
    Member(ControlMessage),
    /// An entry requests the renewal of its lease.
    Renew(Box<FleetRenewal>),
    /// The control leader grants a lease.
    Grant(Box<FleetGrant>),
    /// The sender is not the control leader; lists the control members that it knows.
    NotLeader(Vec<Name>),
    /// The sender has become control leader.
    Leading,
    /// Changes to the entries' view of the fleet: an encoded [`FleetUpdate`].
    Update(Arc<Packed>),
}

/// Request for the renewal of a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetRenewal {
    /// Send time on the entry's clock; the grant returns it.
    #[serde(rename = "s")]
    pub sent: Millis,
    /// Incarnation of the entry's process.
    #[serde(rename = "r")]
    pub run: u64,
    /// Whether the entry is stopping.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Region of the entry.
    #[serde(rename = "re")]
    pub region: Arc<str>,
    /// Failure domain of the entry.
    #[serde(rename = "d")]
    pub domain: Arc<str>,
    /// Last update that the entry has applied.
    #[serde(rename = "a")]
    pub applied: u64,
    /// Term of the control leader that sent this update.
    #[serde(rename = "te", default)]
    pub term: Term,
    /// Version of the configuration that the entry has.
    #[serde(rename = "v")]
    pub version: u64,
    /// Whether the last update was not applied because it did not match the entry's state.
    #[serde(rename = "u")]
    pub mismatch: bool,
    /// Usage of client accounts since the last renewal.
    #[serde(rename = "de")]
    pub demand: Vec<AccountDemand>,
    /// What the entry observed of primaries since the last renewal.
    #[serde(rename = "e")]
    pub evidence: Vec<PrimaryObservation>,
    /// Whether the renewal reports all connections that the entry owns. It does so to a control
    /// leader that has not had such a report, and again after the first update from that leader.
    #[serde(rename = "f")]
    pub full: bool,
    /// Servers to which the entry owns connections, if `full` is set.
    #[serde(rename = "h")]
    pub owned: Vec<OwnedConnections>,
    /// Whether the entry is a regional limiter: admits operations for other entries of its region.
    #[serde(rename = "g", default)]
    pub regional_limiter: bool,
}

/// A server to which an entry owns connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedConnections {
    /// Server.
    #[serde(rename = "s")]
    pub server: Arc<str>,
    /// Position in the server's list of connection owners, from 0.
    #[serde(rename = "t")]
    pub rank: usize,
    /// Number of connections that the entry may open.
    #[serde(rename = "c")]
    pub connections: u32,
}

/// Usage of a client account by one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// Client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Smoothed rate of operations, in operations/s.
    #[serde(rename = "r")]
    pub rate: f64,
    /// Rate share of the entry, in operations/s.
    #[serde(rename = "s")]
    pub share: f64,
    /// Prefetch: tokens that the entry may hold ahead of use.
    #[serde(rename = "k", default)]
    pub prefetch: f64,
    /// Tokens that the entry requests immediately, in addition to its rate share.
    #[serde(rename = "w")]
    pub wanted: f64,
    /// Sum of the rate shares of all entries, as last reported by the control leader.
    #[serde(rename = "t")]
    pub total_share: Option<f64>,
}

/// What an entry observed of the primary of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PrimaryObservation {
    /// Database group.
    #[serde(rename = "g")]
    pub group: Arc<str>,
    /// Server that the entry considers the primary.
    #[serde(rename = "s")]
    pub server: Arc<str>,
    /// Time since the last answer, in milliseconds; `None` if there was none.
    #[serde(rename = "a")]
    pub answer_age: Option<Millis>,
    /// Number of consecutive commits that were not answered in time.
    #[serde(rename = "st")]
    pub unanswered_commits: u32,
}

/// Lease of an entry, and its rate shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetGrant {
    /// Send time of the renewal, as given there.
    #[serde(rename = "s")]
    pub sent: Millis,
    /// Duration of the lease from `sent`, in milliseconds.
    #[serde(rename = "sp")]
    pub duration: Millis,
    /// Update that the entry must have applied for the lease to be valid.
    #[serde(rename = "i")]
    pub index: u64,
    /// Rate shares.
    #[serde(rename = "sh")]
    pub shares: Vec<RateShare>,
    /// Positions of primaries, by group.
    #[serde(rename = "p")]
    pub positions: Vec<PositionSample>,
}

/// Position that a primary reported.
///
/// Serialized as a list without field names, as each grant has a sample for each group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "PositionFields", into = "PositionFields")]
pub struct PositionSample {
    /// Database group.
    pub group: Arc<str>,
    /// Time from the query for the position to the arrival of the renewal, in milliseconds.
    pub age: Millis,
    /// Reported position.
    pub position: Position,
}

/// Group, age, term and offset of a [`PositionSample`].
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

/// Rate share: the part of a client account's rate that one entry may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RateShare {
    /// Client account.
    #[serde(rename = "a")]
    pub account: Arc<str>,
    /// Rate, in operations/s.
    #[serde(rename = "r")]
    pub rate: f64,
    /// Prefetch: tokens that the entry may hold ahead of use.
    #[serde(rename = "k", default)]
    pub prefetch: f64,
    /// Additional operations that the entry may admit immediately.
    #[serde(rename = "t")]
    pub tokens: f64,
    /// Sum of the rate shares of all entries, in operations/s.
    #[serde(rename = "s")]
    pub total_share: f64,
}

/// Changes to the view of the fleet; absent parts are unchanged.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Number of the update; increases within the term of a control leader.
    pub index: u64,
    /// Update of the same leader that the changes follow; 0 if the parts are complete.
    #[serde(default)]
    pub since: u64,
    /// Term of the control leader.
    pub term: Term,
    /// Fleet configuration.
    pub plan: Option<Arc<EncodedConfigDelta>>,
    /// Servers.
    pub backends: Option<Changes<Backend>>,
    /// Primaries of groups.
    pub leads: Option<Changes<PrimaryView>>,
    /// Connection owners of each server, in order.
    pub holders: Option<Changes<Vec<ConnectionOwner>>>,
    /// Regional limiters of each region.
    #[serde(default)]
    pub delegates: Option<Changes<BTreeSet<Name>>>,
    /// Control members.
    pub members: Option<Vec<Name>>,
    /// Evacuated failure domains; if absent from complete parts, there are none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<BTreeSet<Arc<str>>>,
}

/// Primary of a group as known to entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PrimaryView {
    /// Term.
    pub term: Term,
    /// Primary of the term; `None` while a replacement is being promoted.
    pub primary: Option<Arc<str>>,
}

/// Connection owner: an entry that may open connections to a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConnectionOwner {
    /// Name of the entry.
    #[serde(rename = "e")]
    pub entry: Name,
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: Arc<str>,
    /// Region.
    #[serde(rename = "r")]
    pub region: Arc<str>,
    /// Number of connections that it may open.
    #[serde(rename = "c")]
    pub connections: u32,
    /// Statements/s that it may send while the server is cold; none without a rate.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<f64>,
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
    /// Rolls the transaction back; not answered.
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
    /// Asks a regional limiter to admit an operation of a client account.
    Claim {
        /// Number chosen by the sender.
        number: u64,
        /// Client account.
        account: Arc<str>,
    },
    /// Answer to [`Forward::Claim`].
    Claimed {
        /// Number of the claim.
        number: u64,
        /// Outcome.
        outcome: ClaimOutcome,
    },
}

/// Outcome of [`Forward::Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The operation is admitted.
    Admitted,
    /// The operation exceeds the rate.
    Refused,
    /// The available tokens do not cover the operation, and no control leader answers.
    Unable,
    /// The regional limiter has asked the control leader; another answer follows.
    Waits,
}

impl ByteSize for FleetMessage {
    fn byte_size(&self) -> usize {
        let values = match self {
            FleetMessage::Member(message) => message.byte_size(),
            FleetMessage::Renew(renewal) => {
                let FleetRenewal { demand, evidence, owned, .. } = &**renewal;
                (demand.len() + evidence.len() + owned.len()) * FIELDS_BYTES
            }
            FleetMessage::Grant(grant) => {
                (grant.shares.len() + grant.positions.len()) * FIELDS_BYTES
            }
            FleetMessage::NotLeader(members) => members.iter().map(ByteSize::byte_size).sum(),
            FleetMessage::Leading => 0,
            FleetMessage::Update(update) => update.byte_size(),
        };
        FIELDS_BYTES + values
    }
}

impl ByteSize for Forward {
    fn byte_size(&self) -> usize {
        let values = match self {
            Forward::Job { job, .. } => job.byte_size(),
            Forward::Answer { answer, .. } => answer.byte_size(),
            Forward::Drop { .. } | Forward::Claim { .. } | Forward::Claimed { .. } => 0,
        };
        FIELDS_BYTES + values
    }
}
