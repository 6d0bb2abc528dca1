//! Settings of an instance.
//!
//! Settings are read from an INI file, which is validated as a whole: an instance does not start
//! with an unknown key or a value out of range, and the error names the file, the section and the
//! key.

use std::{collections::BTreeMap, net::IpAddr, net::SocketAddr, path::PathBuf};

use auburnlug_state::Name;
use ini::{Ini, Properties};

use crate::{Error, Result};

/// Version of the settings format that is supported.
const SETTINGS_FORMAT: &str = "1";

/// Allowed keys of each section.
const SECTION_KEYS: &[(&str, &[&str])] = &[
    (
        "instance",
        &[
            "format",
            "name",
            "region",
            "domain",
            "roles",
            "data",
            "peer",
            "http",
            "callers",
            "source",
            "advertised_peer",
            "advertised_http",
        ],
    ),
    ("control", &["members", "trust_refused"]),
    ("secrets", &["cluster", "operator", "announce", "database_user", "database_password"]),
    ("traffic", &["threads", "policy", "wait"]),
    ("log", &["format", "level"]),
];

/// A settings file that is not yet validated.
#[derive(Debug, Clone)]
pub struct SettingsFile<'a> {
    /// File name for error messages.
    pub file: &'a str,
    /// Content.
    pub text: &'a str,
}

/// Validated settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: Name,
    /// Region.
    pub region: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address that callers connect to; `None` without the entry role.
    pub callers: Option<SocketAddr>,
    /// Data directory; `None` without the control role.
    pub data: Option<PathBuf>,
    /// Listener for links of other instances.
    pub peer: Listener,
    /// Listener for HTTP.
    pub http: Listener,
    /// Source address of outbound connections.
    pub source: Option<IpAddr>,
    /// Names of the control members and addresses of their peer listeners.
    pub members: BTreeMap<Name, SocketAddr>,
    /// Whether a refused connection attempt proves that a process has ended.
    pub trust_refused: bool,
    /// Files that hold secrets.
    pub secrets: Secrets,
    /// Settings of the traffic threads.
    pub traffic: Traffic,
    /// Settings of the log.
    pub log: Log,
}

/// Addresses of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listener {
    /// Address that the listener binds to.
    pub bind: SocketAddr,
    /// Address that other instances connect to.
    pub advertised: SocketAddr,
}

/// Files that hold secrets, and the credentials for database servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Secrets {
    /// File with the secret shared by all instances.
    pub cluster: PathBuf,
    /// File with the bearer secret of operators.
    pub operator: PathBuf,
    /// File with the bearer secret of announcements.
    pub announce: PathBuf,
    /// User name for database servers.
    pub user: String,
    /// File with the password for database servers.
    pub password: PathBuf,
}

/// Settings of the traffic threads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Traffic {
    /// Number of threads.
    pub threads: usize,
    /// Policies in use.
    pub policy: Policy,
    /// Longest time that a request may wait, in milliseconds.
    pub max_wait: u64,
}

/// The default policies, or the default policies with one replaced by a baseline for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// All default policies.
    #[default]
    Default,
    /// Every statement runs on the primary of its group.
    PrimaryOnly,
    /// Each entry gets an equal share of each rate.
    EvenSplit,
    /// Requests run in order of arrival.
    Fifo,
    /// Another server is promoted after a fixed 5 s.
    SlowFailover,
}

impl Policy {
    /// All policies and their names in the settings.
    pub const ALL: [(&'static str, Policy); 5] = [
        ("default", Policy::Default),
        ("primary-only", Policy::PrimaryOnly),
        ("even-split", Policy::EvenSplit),
        ("fifo", Policy::Fifo),
        ("slow-failover", Policy::SlowFailover),
    ];
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Whether lines are JSON.
    pub json: bool,
    /// Least severe level that is written.
    pub level: String,
}

impl TryFrom<SettingsFile<'_>> for Settings {
    type Error = Error;

    fn try_from(raw: SettingsFile<'_>) -> Result<Settings> {
        let ini = Ini::load_from_str_noescape(raw.text)
            .map_err(|e| Error::settings(raw.file, e.to_string()))?;
        check_keys(raw.file, &ini)?;
        let section =
            |name: &'static str| Section { file: raw.file, name, ini: ini.section(Some(name)) };
        let instance = section("instance");
        let format = instance.text("format")?;
        if format != SETTINGS_FORMAT {
            return Err(
                instance.error("format", &format!("is {format:?}, expected {SETTINGS_FORMAT:?}"))
            );
        }
        let roles = Roles::parse(&instance)?;
        let control = section("control");
        let settings = Settings {
            name: instance.name("name")?,
            region: instance.name("region")?,
            domain: instance.name("domain")?,
            callers: if roles.entry { Some(instance.address("callers")?) } else { None },
            data: if roles.control { Some(instance.text("data")?.into()) } else { None },
            peer: instance.listener("peer", "advertised_peer")?,
            http: instance.listener("http", "advertised_http")?,
            source: instance.optional("source", "an IP address")?,
            members: parse_members(&control)?,
            trust_refused: control.flag("trust_refused", true)?,
            secrets: parse_secrets(&section("secrets"))?,
            traffic: parse_traffic(&section("traffic"))?,
            log: parse_log(&section("log"))?,
        };
        if roles.control && !settings.members.contains_key(settings.name.as_str()) {
            return Err(
                control.error("members", "must list this instance, which has the control role")
            );
        }
        Ok(settings)
    }
}

struct Roles {
    entry: bool,
    control: bool,
}

impl Roles {
    fn parse(instance: &Section<'_>) -> Result<Roles> {
        let mut roles = Roles { entry: false, control: false };
        for role in instance.text("roles")?.split(',').map(str::trim) {
            match role {
                "entry" => roles.entry = true,
                "control" => roles.control = true,
                _ => {
                    return Err(
                        instance.error("roles", &format!("has {role:?}, allowed: entry, control"))
                    );
                }
            }
        }
        Ok(roles)
    }
}

fn check_keys(file: &str, ini: &Ini) -> Result<()> {
    for (name, properties) in ini.iter() {
        let Some(name) = name else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(Error::settings(
                    file,
                    format!("key {key:?} stands before any section"),
                ));
            }
            continue;
        };
        let place = format!("{file} [{name}]");
        let Some((_, keys)) = SECTION_KEYS.iter().find(|(known, _)| *known == name) else {
            return Err(Error::settings(place, "unknown section"));
        };
        if ini.section_all(Some(name)).count() > 1 {
            return Err(Error::settings(place, "section appears twice"));
        }
        for (key, _) in properties.iter() {
            if !keys.contains(&key) {
                return Err(Error::settings(place, format!("unknown key {key:?}")));
            }
            if properties.get_all(key).count() > 1 {
                return Err(Error::settings(place, format!("key {key:?} appears twice")));
            }
        }
    }
    Ok(())
}

fn parse_members(control: &Section<'_>) -> Result<BTreeMap<Name, SocketAddr>> {
    let mut members = BTreeMap::new();
    for item in control.text("members")?.split(',').map(str::trim) {
        let parsed = item
            .split_once('@')
            .and_then(|(name, address)| Some((Name::try_from(name).ok()?, address.parse().ok()?)));
        let Some((name, address)) = parsed else {
            return Err(control.error("members", &format!("has {item:?}, expected NAME@IP:PORT")));
        };
        if members.insert(name, address).is_some() {
            return Err(control.error("members", &format!("lists {item:?} twice")));
        }
    }
    if members.len() > 7 || members.len().is_multiple_of(2) {
        return Err(control.error("members", "must list 1, 3, 5 or 7 members"));
    }
    Ok(members)
}

fn parse_secrets(section: &Section<'_>) -> Result<Secrets> {
    Ok(Secrets {
        cluster: section.text("cluster")?.into(),
        operator: section.text("operator")?.into(),
        announce: section.text("announce")?.into(),
        user: section.text("database_user")?.into(),
        password: section.text("database_password")?.into(),
    })
}

fn parse_traffic(section: &Section<'_>) -> Result<Traffic> {
    Ok(Traffic {
        threads: section.number("threads", 2, 1, 256)? as usize,
        policy: parse_policy(section)?,
        max_wait: section.number("wait", 5_000, 10, 600_000)?,
    })
}

fn parse_policy(section: &Section<'_>) -> Result<Policy> {
    let Some(text) = section.get("policy") else { return Ok(Policy::default()) };
    let found = Policy::ALL.into_iter().find(|(name, _)| *name == text);
    let allowed = Policy::ALL.map(|(name, _)| name).join(", ");
    let error = || section.error("policy", &format!("is {text:?}, allowed: {allowed}"));
    found.map(|(_, policy)| policy).ok_or_else(error)
}

fn parse_log(section: &Section<'_>) -> Result<Log> {
    let json = match section.get("format").unwrap_or("text") {
        "text" => false,
        "json" => true,
        _ => return Err(section.error("format", "allowed: text, json")),
    };
    let level = section.get("level").unwrap_or("info");
    if !["error", "warn", "info", "debug"].contains(&level) {
        return Err(section.error("level", "allowed: error, warn, info, debug"));
    }
    Ok(Log { json, level: level.into() })
}

struct Section<'a> {
    file: &'a str,
    name: &'static str,
    ini: Option<&'a Properties>,
}

impl<'a> Section<'a> {
    fn get(&self, key: &str) -> Option<&'a str> {
        self.ini?.get(key)
    }

    fn text(&self, key: &str) -> Result<&'a str> {
        match self.get(key) {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(self.error(key, "is missing")),
        }
    }

    fn name(&self, key: &str) -> Result<Name> {
        Name::try_from(self.text(key)?).map_err(|e| self.error(key, &e.to_string()))
    }

    fn address(&self, key: &str) -> Result<SocketAddr> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.error(key, &format!("is {text:?}, expected IP:PORT")))
    }

    fn optional<T: std::str::FromStr>(&self, key: &str, expected: &str) -> Result<Option<T>> {
        let Some(text) = self.get(key) else { return Ok(None) };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(self.error(key, &format!("is {text:?}, expected {expected}"))),
        }
    }

    fn listener(&self, key: &str, advertised: &str) -> Result<Listener> {
        let bind = self.address(key)?;
        let advertised = self.optional(advertised, "IP:PORT")?.unwrap_or(bind);
        if advertised.ip().is_unspecified() {
            return Err(self.error(key, "binds all addresses: the advertised address must be set"));
        }
        Ok(Listener { bind, advertised })
    }

    fn number(&self, key: &str, default: u64, min: u64, max: u64) -> Result<u64> {
        let expected = format!("a number from {min} to {max}");
        let value = self.optional(key, &expected)?.unwrap_or(default);
        if !(min..=max).contains(&value) {
            return Err(self.error(key, &format!("is {value}, expected {expected}")));
        }
        Ok(value)
    }

    fn flag(&self, key: &str, default: bool) -> Result<bool> {
        match self.get(key) {
            None => Ok(default),
            Some("yes") => Ok(true),
            Some("no") => Ok(false),
            Some(other) => Err(self.error(key, &format!("is {other:?}, allowed: yes, no"))),
        }
    }

    fn error(&self, key: &str, reason: &str) -> Error {
        Error::settings(format!("{} [{}] {key}", self.file, self.name), reason)
    }
}
