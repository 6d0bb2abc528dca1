//! The operator interface: JSON over HTTP, served by control instances.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `POST` [`CHANGE_PATH`] | [`Request`] | [`Answer`] |
//! | `GET` [`STATUS_PATH`] | | [`Status`] |
//! | `GET` [`CONFIG_PATH`] | | [`ActiveConfig`] |
//!
//! Each request has the operator secret as bearer token. [`Answer::status`] returns the HTTP status
//! of an answer.

use std::{collections::BTreeMap, net::SocketAddr};

use auburnlug_state::{
    Applied, Change, Config, Edit, Index, Kind, Machine, Millis, Name, Shard, Term,
    check_account_limits, parse_key_hash,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// HTTP path of changes.
pub const CHANGE_PATH: &str = "/v1/change";

/// HTTP path of the status.
pub const STATUS_PATH: &str = "/v1/status";

/// HTTP path of the configuration in force.
pub const CONFIG_PATH: &str = "/v1/config";

/// Largest body, in bytes: a template of 1 MiB with each byte escaped.
pub const MAX_OPERATOR_BODY_BYTES: usize = 6 * 1024 * 1024 + 4096;

quick_error! {
    /// Why a request or an answer cannot be decoded.
    #[derive(Debug)]
    pub enum RequestError {
        /// The body is not JSON of the expected form.
        Json(error: serde_json::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// A value is outside its range.
        State(error: auburnlug_state::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// A key is not given as SHA-256.
        Key {
            display("key: allowed is 64 hexadecimal digits of a SHA-256")
        }
        /// The body is too long.
        Size(bytes: usize) {
            display("{bytes} bytes: allowed are {MAX_OPERATOR_BODY_BYTES} at most")
        }
    }
}

/// A validated request for a change.
///
/// ```
/// use auburnlug_protocol::operator::Request;
/// let body = br#"{"id": "c1", "operator": "ana", "base": 7,
///     "edit": {"kind": "withdraw", "account": "desk"}}"#;
/// assert_eq!(Request::decode(body).expect("valid request").change().base, 7);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Request(Change);

impl Request {
    /// Decodes and validates the body of a request.
    ///
    /// # Errors
    ///
    /// Unknown or missing fields, and values outside their ranges.
    pub fn decode(body: &[u8]) -> Result<Request, RequestError> {
        if body.len() > MAX_OPERATOR_BODY_BYTES {
            return Err(RequestError::Size(body.len()));
        }
        let RawRequest { id, operator, base, edit } = serde_json::from_slice(body)?;
        Request::try_from(Change { id, operator, base, edit: edit.into() })
    }

    /// Encodes the body of the request.
    ///
    /// # Errors
    ///
    /// None in practice: a validated request can always be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, RequestError> {
        let Change { id, operator, base, edit } = self.0.clone();
        Ok(serde_json::to_vec(&RawRequest { id, operator, base, edit: edit.into() })?)
    }

    /// Returns the requested change.
    pub fn change(&self) -> &Change {
        &self.0
    }
}

impl TryFrom<Change> for Request {
    type Error = RequestError;

    /// Validates what does not depend on the replicated state. A template is validated when the
    /// change is applied.
    fn try_from(mut change: Change) -> Result<Request, RequestError> {
        match &mut change.edit {
            Edit::Account { account, rate, burst, age } => {
                check_account_limits(account, *rate, *burst, *age)?;
            }
            Edit::Grant { key, .. } | Edit::Revoke { key, .. } => {
                *key = parse_key_hash(key).ok_or(RequestError::Key)?;
            }
            Edit::Publish(_) | Edit::Withdraw(_) => {}
        }
        Ok(Request(change))
    }
}

impl From<Request> for Change {
    fn from(request: Request) -> Change {
        request.0
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRequest {
    id: Name,
    operator: Name,
    base: Index,
    edit: RawEdit,
}

#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
enum RawEdit {
    Publish { template: String },
    Account { account: Name, rate: f64, burst: f64, age: Millis },
    Withdraw { account: Name },
    GrantKey { account: Name, key: String },
    WithdrawKey { account: Name, key: String },
}

impl From<RawEdit> for Edit {
    fn from(raw: RawEdit) -> Edit {
        match raw {
            RawEdit::Publish { template } => Edit::Publish(template),
            RawEdit::Account { account, rate, burst, age } => {
                Edit::Account { account, rate, burst, age }
            }
            RawEdit::Withdraw { account } => Edit::Withdraw(account),
            RawEdit::GrantKey { account, key } => Edit::Grant { account, key },
            RawEdit::WithdrawKey { account, key } => Edit::Revoke { account, key },
        }
    }
}

impl From<Edit> for RawEdit {
    fn from(edit: Edit) -> RawEdit {
        match edit {
            Edit::Publish(template) => RawEdit::Publish { template },
            Edit::Account { account, rate, burst, age } => {
                RawEdit::Account { account, rate, burst, age }
            }
            Edit::Withdraw(account) => RawEdit::Withdraw { account },
            Edit::Grant { account, key } => RawEdit::GrantKey { account, key },
            Edit::Revoke { account, key } => RawEdit::WithdrawKey { account, key },
        }
    }
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Answer {
    /// The change is in force. A change that is sent again gets the same answer.
    Changed {
        /// Version that the change produced.
        version: Index,
    },
    /// The change is not based on the version in force.
    Conflict {
        /// Version in force.
        version: Index,
        /// Operator who made that version.
        operator: Name,
        /// Id of the change that made that version.
        id: Name,
    },
    /// The change or its template is not valid.
    Invalid {
        /// Reason.
        reason: String,
    },
    /// The receiver is not the control leader.
    Redirect {
        /// HTTP address of the control leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The change may or may not take effect: send it again with the same id.
    Unknown,
    /// The bearer secret is missing or wrong.
    Denied,
}

impl Answer {
    /// Returns the status of the HTTP response.
    pub fn status(&self) -> u16 {
        match self {
            Answer::Changed { .. } => 200,
            Answer::Denied => 401,
            Answer::Conflict { .. } => 409,
            Answer::Redirect { .. } => 421,
            Answer::Invalid { .. } => 422,
            Answer::Unknown => 503,
        }
    }

    /// Decodes an answer. A body that does not match the HTTP status is an error.
    ///
    /// # Errors
    ///
    /// The body has another form, for example because the server is not a control instance.
    pub fn decode(status: u16, body: &[u8]) -> Result<Answer, RequestError> {
        let answer: Answer = serde_json::from_slice(body)?;
        if answer.status() != status {
            let text = format!("status {status} doesn't fit the answer");
            return Err(RequestError::Json(serde::de::Error::custom(text)));
        }
        Ok(answer)
    }

    /// Encodes the body of the response.
    ///
    /// # Errors
    ///
    /// None in practice: an answer can always be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, RequestError> {
        Ok(serde_json::to_vec(self)?)
    }
}

impl From<Option<Applied>> for Answer {
    /// `None` and the results of other commands do not tell whether the change took effect.
    fn from(applied: Option<Applied>) -> Answer {
        match applied {
            Some(Applied::Changed(version)) => Answer::Changed { version },
            Some(Applied::Conflict { version, operator, id }) => {
                Answer::Conflict { version, operator, id }
            }
            Some(Applied::Invalid(reason)) => Answer::Invalid { reason },
            Some(Applied::Done | Applied::Stale) | None => Answer::Unknown,
        }
    }
}

impl From<&RequestError> for Answer {
    fn from(error: &RequestError) -> Answer {
        Answer::Invalid { reason: error.to_string() }
    }
}

/// Configuration in force, without key hashes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ActiveConfig {
    /// Version.
    pub version: Index,
    /// Time since the instance last confirmed that it is in force, in milliseconds.
    pub age: Millis,
    /// Configuration; the accounts' `keys` are empty.
    pub config: Config,
}

impl ActiveConfig {
    /// Copies the configuration without key hashes.
    pub fn new(machine: &Machine, age: Millis) -> ActiveConfig {
        let mut config = machine.config.clone();
        for account in config.accounts.values_mut() {
            account.keys.clear();
        }
        ActiveConfig { version: machine.version, age, config }
    }

    /// Returns what publishing `next` would change, by section and key. Callers' keys are not
    /// compared.
    pub fn diff(&self, next: &Config) -> Vec<Difference> {
        let (old, new) = (config_parameters(&self.config), config_parameters(next));
        let mut places: Vec<_> = old.keys().chain(new.keys()).collect();
        places.sort();
        places.dedup();
        let difference = |place: &(String, &'static str)| Difference {
            section: place.0.clone(),
            key: place.1.into(),
            from: old.get(place).cloned(),
            to: new.get(place).cloned(),
        };
        places.into_iter().map(difference).filter(|d| d.from != d.to).collect()
    }
}

/// A value that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Title of the section in the template.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// Value in force; `None` if the section is new.
    pub from: Option<String>,
    /// Value in the template; `None` if the section is removed.
    pub to: Option<String>,
}

fn config_parameters(config: &Config) -> BTreeMap<(String, &'static str), String> {
    let mut all = BTreeMap::new();
    for (name, group) in &config.groups {
        let title = format!("group {name}");
        all.insert((title.clone(), "size"), group.size.to_string());
        all.insert((title, "database"), group.database.to_string());
    }
    let yes_or_no = |on: bool| String::from(if on { "yes" } else { "no" });
    for (name, route) in &config.routes {
        let title = format!("route {name}");
        let kind = if route.kind == Kind::Read { "read" } else { "write" };
        all.insert((title.clone(), "statement"), route.statement.clone());
        all.insert((title.clone(), "kind"), kind.into());
        all.insert((title.clone(), "idempotent"), yes_or_no(route.idempotent));
        all.insert((title.clone(), "open"), yes_or_no(route.open));
        all.insert((title, "class"), format!("{:?}", route.class).to_lowercase());
    }
    for (name, account) in &config.accounts {
        let title = format!("account {name}");
        all.insert((title.clone(), "rate"), account.rate.to_string());
        all.insert((title.clone(), "burst"), account.burst.to_string());
        all.insert((title, "age"), account.age.to_string());
    }
    all
}

/// State of the system as known to one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance that answers.
    pub instance: Name,
    /// HTTP address of the control leader, if known.
    pub leader: Option<SocketAddr>,
    /// Version of the configuration in force.
    pub version: Index,
    /// Time since the instance last confirmed that it is in force, in milliseconds.
    pub age: Millis,
    /// Index of the last applied entry.
    pub index: Index,
    /// Disk losses that the control group tolerates, if the instance that answers leads it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub losses: Option<LossStatus>,
    /// Number of owned shards by registered instance.
    pub instances: BTreeMap<Name, usize>,
    /// Database groups.
    pub groups: BTreeMap<Name, GroupStatus>,
}

/// Simultaneous disk losses of control members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossStatus {
    /// Number that the group tolerates now.
    pub tolerated: usize,
    /// Number that the group must tolerate.
    pub configured: usize,
}

/// State of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Group owner.
    pub owner: Option<Name>,
    /// Term.
    pub term: Term,
    /// Primary.
    pub primary: Option<Name>,
    /// Recorded servers.
    pub servers: Vec<Name>,
}

impl Status {
    /// Creates the status that `instance` reports from its `machine`.
    pub fn new(
        instance: &Name,
        leader: Option<SocketAddr>,
        machine: &Machine,
        age: Millis,
    ) -> Status {
        let owner = |shard: &Shard| machine.shards.get(shard).and_then(|h| h.instance.clone());
        let group = |name: &Name| {
            let state = machine.groups.get(name).cloned().unwrap_or_default();
            GroupStatus {
                owner: owner(&Shard::Group(name.clone())),
                term: state.term,
                primary: state.primary,
                servers: machine.servers_of(name).map(|s| s.name.clone()).collect(),
            }
        };
        let owned = |name: &Name| {
            machine.shards.values().filter(|h| h.instance.as_ref() == Some(name)).count()
        };
        Status {
            instance: instance.clone(),
            leader,
            version: machine.version,
            age,
            index: machine.index,
            losses: None,
            instances: machine.instances.keys().map(|n| (n.clone(), owned(n))).collect(),
            groups: machine.config.groups.keys().map(|n| (n.clone(), group(n))).collect(),
        }
    }
}
