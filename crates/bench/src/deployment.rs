//! Synthetic load of the two deployments: client accounts, request kinds and arrival schedule.

use std::{collections::BTreeMap, path::Path, str::FromStr};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Error, Result,
    record::{Kind, Request},
};

/// Named sessions of a client account; one more client of the account names no session.
const SESSIONS_PER_ACCOUNT: u32 = 3;
/// Database keys that each session of a client account uses.
const KEYS_PER_SESSION: u32 = 20;
/// Fraction of reads that may read keys of another session of the same client account.
const FOREIGN_READ_SHARE: f64 = 0.2;

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Provisioning requests, status look-ups and reconciliation entries.
    Sahil,
    /// Postings, figures and quarterly jobs.
    Biblionet,
}

impl FromStr for Deployment {
    type Err = Error;

    fn from_str(text: &str) -> Result<Deployment> {
        match text {
            "sahil" => Ok(Deployment::Sahil),
            "biblionet" => Ok(Deployment::Biblionet),
            _ => Err(Error::Input(format!("{text:?}: expected sahil or biblionet"))),
        }
    }
}

impl Deployment {
    /// Request kinds and the fraction of the load that each makes up.
    fn kinds(self) -> &'static [(Kind, f64)] {
        match self {
            Deployment::Sahil => &[(Kind::Read, 0.6), (Kind::Write, 0.25), (Kind::Once, 0.15)],
            Deployment::Biblionet => &[(Kind::Read, 0.66), (Kind::Once, 0.3), (Kind::Batch, 0.04)],
        }
    }

    /// Table that requests of a kind use; reads use the table that the same session writes.
    pub fn table(self, kind: Kind) -> &'static str {
        match (self, kind) {
            (Deployment::Sahil, Kind::Once) => "reconciliation",
            (Deployment::Sahil, _) => "provisioning",
            (Deployment::Biblionet, Kind::Batch) => "quarterly",
            (Deployment::Biblionet, _) => "posting",
        }
    }
}

/// Limits of a client account, from the template.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Account {
    /// Requests a second.
    pub rate: f64,
    /// Requests.
    pub burst: f64,
    /// Maximum staleness of reads, in milliseconds.
    pub age: u64,
}

/// Parts of a template that the load generator and the checker use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Template {
    /// Database groups.
    pub groups: Vec<String>,
    /// Client accounts with a key.
    pub accounts: BTreeMap<String, Account>,
}

/// Reads groups and client accounts from a template.
///
/// # Errors
/// The file cannot be read, or a client account lacks a parameter.
pub fn read_template(path: &Path) -> Result<Template> {
    let input = |text: String| Error::Input(format!("{}: {text}", path.display()));
    let ini = ini::Ini::load_from_file_noescape(path).map_err(|e| input(e.to_string()))?;
    let mut template = Template::default();
    for (section, values) in &ini {
        let Some((kind, name)) = section.and_then(|s| s.split_once(' ')) else { continue };
        if kind == "group" {
            template.groups.push(values.get("database").unwrap_or(name).to_owned());
        }
        if kind == "account" && values.contains_key("key") {
            let number = |key: &str| -> Result<f64> {
                let value = values.get(key).and_then(|v| v.parse().ok());
                value.ok_or_else(|| input(format!("[account {name}] {key}: not a number")))
            };
            let (rate, burst) = (number("rate")?, number("burst")?);
            let account = Account { rate, burst, age: number("age")? as u64 };
            template.accounts.insert(name.to_owned(), account);
        }
    }
    Ok(template)
}

/// Overload: a client account that sends a multiple of its rate from a given time on.
#[derive(Debug, Clone)]
pub struct Flood {
    /// Client account.
    pub account: String,
    /// Multiple of its rate.
    pub factor: f64,
    /// Start, in seconds from the start of the load.
    pub from: f64,
}

impl FromStr for Flood {
    type Err = Error;

    fn from_str(text: &str) -> Result<Flood> {
        let parse = || {
            let mut parts = text.split(',');
            let account = parts.next()?.to_owned();
            let factor = parts.next()?.parse().ok()?;
            Some(Flood { account, factor, from: parts.next()?.parse().ok()? })
        };
        parse().ok_or_else(|| Error::Input(format!("{text:?} is not ACCOUNT,FACTOR,FROM")))
    }
}

/// Arrival schedule of all client accounts.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Deployment.
    pub deployment: Deployment,
    /// Seed.
    pub seed: u64,
    /// Length, in seconds.
    pub seconds: f64,
    /// Load of each client account as a fraction of its rate.
    pub share: f64,
    /// Flood, if there is one.
    pub flood: Option<Flood>,
}

impl Schedule {
    /// Generates all requests with their entry index, sorted by intended time from the start of the
    /// load, in microseconds.
    pub fn requests(&self, template: &Template, entries: usize) -> Vec<(Request, usize)> {
        let mut requests = Vec::new();
        for (number, (name, account)) in template.accounts.iter().enumerate() {
            // Each client account has its own generator, so that a flood leaves the load of the
            // other accounts unchanged.
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ ((number as u64 + 1) << 32));
            let mut time = 0.0;
            for count in 0.. {
                let flood = self.flood.as_ref().filter(|f| f.account == *name && time >= f.from);
                let rate = account.rate * flood.map_or(self.share, |f| f.factor);
                time += -(1.0 - rng.random::<f64>()).ln() / rate;
                if time >= self.seconds {
                    break;
                }
                let mut request = self.request(&mut rng, name, &template.groups);
                request.id = format!("{}-{name}-{count}", self.seed);
                request.intended = (time * 1e6) as u64;
                requests.push((request, rng.random_range(0..entries)));
            }
        }
        requests.sort_by(|a, b| (a.0.intended, &a.0.id).cmp(&(b.0.intended, &b.0.id)));
        requests
    }

    fn request(&self, rng: &mut ChaCha8Rng, account: &str, groups: &[String]) -> Request {
        let mut point = rng.random::<f64>();
        let kinds = self.deployment.kinds();
        let kind = kinds.iter().find(|(_, share)| {
            point -= share;
            point < 0.0
        });
        let kind = kind.or(kinds.first()).map_or(Kind::Read, |k| k.0);
        let session = rng.random_range(0..=SESSIONS_PER_ACCOUNT);
        let foreign = kind == Kind::Read && rng.random::<f64>() < FOREIGN_READ_SHARE;
        let owner = if foreign { rng.random_range(0..=SESSIONS_PER_ACCOUNT) } else { session };
        Request {
            account: account.to_owned(),
            group: groups[rng.random_range(0..groups.len())].clone(),
            session: if session == 0 { String::new() } else { format!("session-{session}") },
            kind,
            table: self.deployment.table(kind).into(),
            key: format!("{account}:{owner}:{}", rng.random_range(0..KEYS_PER_SESSION)),
            ..Request::default()
        }
    }
}
