//! Decoding of a template: the INI text that operators keep under version control.
//!
//! A template is accepted whole or not at all, so that a typing error in one section can't leave
//! half of a configuration in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
    str::FromStr,
};

use ini::{Ini, ParseOption, Properties};

use crate::{Account, Class, Config, Error, Group, Kind, Name, Result, Route, config};

/// Version of the format that this decoder reads.
const FORMAT: u64 = 1;

/// Longest template, in bytes. One at the design size takes about 0.1 MB.
const MAX_BYTES: usize = 1024 * 1024;

/// Longest statement prefix, in bytes.
const MAX_STATEMENT: usize = 1000;

/// Allowed servers of a group.
const SIZES: RangeInclusive<u64> = 1..=9;

const DEFAULTS: &[&str] = &["rate", "burst", "age"];

/// Name and defaults of the `[template]` section.
struct Head<'a> {
    defaults: BTreeMap<&'a str, &'a str>,
}

/// Parameters of one section, each present once.
struct Section<'a> {
    title: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl TryFrom<&str> for Config {
    type Error = Error;

    /// Decodes a template.
    ///
    /// # Errors
    ///
    /// The first fault found, with its section, key and allowed range.
    fn try_from(text: &str) -> Result<Config> {
        if text.len() > MAX_BYTES {
            return Err(Error::syntax(format!("longer than {MAX_BYTES} bytes")));
        }
        let ini = Ini::load_from_str_opt(text, options()).map_err(|e| {
            let line = e.line + 1;
            Error::syntax(format!("line {line}: {}", e.msg))
        })?;
        let sections = sections(&ini)?;
        let head = head(&sections)?;
        let mut config = Config::default();
        for section in &sections {
            add(&mut config, section, &head)?;
        }
        check_unique(&config)?;
        Ok(config)
    }
}

/// Statements contain quotes and backslashes, so both are taken literally.
fn options() -> ParseOption {
    ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() }
}

fn sections(ini: &Ini) -> Result<Vec<Section<'_>>> {
    let mut titles = BTreeSet::new();
    let mut sections = Vec::new();
    for (title, properties) in ini {
        let Some(title) = title else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(Error::template("", key, "a section before the first key"));
            }
            continue;
        };
        let words: Vec<&str> = title.split_whitespace().collect();
        if !titles.insert(words) {
            return Err(Error::template(title, "", "one section of this name"));
        }
        sections.push(Section { title, values: values(title, properties)? });
    }
    Ok(sections)
}

fn values<'a>(title: &str, properties: &'a Properties) -> Result<BTreeMap<&'a str, &'a str>> {
    let mut values = BTreeMap::new();
    for (key, value) in properties.iter() {
        if values.insert(key, value).is_some() {
            return Err(Error::template(title, key, "one value"));
        }
    }
    Ok(values)
}

fn head<'a>(sections: &'a [Section<'a>]) -> Result<Head<'a>> {
    let Some(section) = sections.iter().find(|s| s.title == "template") else {
        return Err(Error::template("template", "", "one section of this name"));
    };
    section.known(&["format", "name", "rate", "burst", "age"])?;
    section.number("format", None, FORMAT..=FORMAT, "")?;
    section.name("name")?;
    let mut defaults = section.values.clone();
    defaults.retain(|key, _| DEFAULTS.contains(key));
    let head = Head { defaults };
    // A default that no account uses is checked too.
    for key in head.defaults.keys() {
        match *key {
            "rate" => drop(section.number("rate", None, config::RATES, "requests/s")?),
            "burst" => drop(section.number("burst", None, config::BURSTS, "requests")?),
            _ => drop(section.number("age", None, config::AGES, "ms")?),
        }
    }
    Ok(head)
}

fn add(config: &mut Config, section: &Section<'_>, head: &Head<'_>) -> Result<()> {
    let words: Vec<&str> = section.title.split_whitespace().collect();
    let (kind, name) = match words[..] {
        ["template"] => return Ok(()),
        [kind, name] => (kind, name),
        _ => return Err(section.unknown()),
    };
    let name =
        || Name::try_from(name).map_err(|e| Error::template(section.title, "", &e.to_string()));
    match kind {
        "group" => drop(config.groups.insert(name()?, group(section)?)),
        "route" => drop(config.routes.insert(name()?, route(section)?)),
        "account" => {
            let name = name()?;
            let account = account(section, head, name.as_str() == config::PUBLIC)?;
            config.accounts.insert(name, account);
        }
        _ => return Err(section.unknown()),
    }
    Ok(())
}

fn group(section: &Section<'_>) -> Result<Group> {
    section.known(&["size", "database"])?;
    let size: u64 = section.number("size", None, SIZES, "servers")?;
    Ok(Group { size: u32::try_from(size).unwrap_or(1), database: section.name("database")? })
}

fn route(section: &Section<'_>) -> Result<Route> {
    section.known(&["statement", "kind", "idempotent", "open", "class"])?;
    let text = section.value("statement", None)?;
    let normal = text.split(' ').all(|word| !word.is_empty())
        && !text.contains(|c: char| c.is_control() || c.is_uppercase());
    if !normal || text.len() > MAX_STATEMENT {
        let allowed =
            format!("1 to {MAX_STATEMENT} bytes in lower case with single spaces between words");
        return Err(Error::template(section.title, "statement", &allowed));
    }
    let switch = &[("yes", true), ("no", false)];
    Ok(Route {
        statement: text.into(),
        kind: section.choice("kind", &[("read", Kind::Read), ("write", Kind::Write)])?,
        idempotent: section.choice("idempotent", switch)?,
        open: section.choice("open", switch)?,
        class: section
            .choice("class", &[("interactive", Class::Interactive), ("batch", Class::Batch)])?,
    })
}

fn account(section: &Section<'_>, head: &Head<'_>, public: bool) -> Result<Account> {
    section.known(&["rate", "burst", "age", "key"])?;
    let mut keys = BTreeSet::new();
    if public {
        if section.values.contains_key("key") {
            return Err(Error::template(section.title, "key", "no key: this account needs none"));
        }
    } else {
        let text = section.value("key", None)?;
        // The value is not repeated: it may be the key itself, entered by mistake.
        let key = config::key_hash(text).ok_or_else(|| {
            Error::template(section.title, "key", "SHA-256 of the key as 64 hexadecimal digits")
        })?;
        keys.insert(key);
    }
    let head = Some(head);
    Ok(Account {
        rate: section.number("rate", head, config::RATES, "requests/s")?,
        burst: section.number("burst", head, config::BURSTS, "requests")?,
        age: section.number("age", head, config::AGES, "ms")?,
        keys,
    })
}

/// Refuses what would make a lookup by database, statement or key ambiguous.
fn check_unique(config: &Config) -> Result<()> {
    let mut databases = BTreeSet::new();
    for (name, group) in &config.groups {
        if !databases.insert(&group.database) {
            let title = format!("group {name}");
            return Err(Error::template(&title, "database", "a database of no other group"));
        }
    }
    let mut statements = BTreeSet::new();
    for (name, route) in &config.routes {
        if !statements.insert(&route.statement) {
            let title = format!("route {name}");
            return Err(Error::template(&title, "statement", "a prefix of no other route"));
        }
    }
    match config.shared_key() {
        Some(name) => {
            let title = format!("account {name}");
            Err(Error::template(&title, "key", "a key of no other account"))
        }
        None => Ok(()),
    }
}

impl Section<'_> {
    fn unknown(&self) -> Error {
        let allowed = "[template], [group NAME], [route NAME] or [account NAME]";
        Error::template(self.title, "", allowed)
    }

    fn known(&self, keys: &[&str]) -> Result<()> {
        match self.values.keys().find(|key| !keys.contains(key)) {
            Some(key) => {
                let allowed = format!("the keys {}", keys.join(", "));
                Err(Error::template(self.title, key, &allowed))
            }
            None => Ok(()),
        }
    }

    fn value<'a>(&'a self, key: &str, head: Option<&'a Head<'_>>) -> Result<&'a str> {
        let default = || head.and_then(|h| h.defaults.get(key));
        match self.values.get(key).or_else(default) {
            Some(value) => Ok(value),
            None => Err(Error::template(self.title, key, "a value: the parameter is missing")),
        }
    }

    fn number<T>(
        &self,
        key: &str,
        head: Option<&Head<'_>>,
        range: RangeInclusive<T>,
        unit: &str,
    ) -> Result<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        match self.value(key, head)?.parse() {
            Ok(number) if range.contains(&number) => Ok(number),
            _ => {
                let allowed = format!("{} to {} {unit}", range.start(), range.end());
                Err(Error::template(self.title, key, allowed.trim_end()))
            }
        }
    }

    fn name(&self, key: &str) -> Result<Name> {
        let fault = |e: Error| Error::template(self.title, key, &e.to_string());
        Name::try_from(self.value(key, None)?).map_err(fault)
    }

    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T> {
        let value = self.value(key, None)?;
        match choices.iter().find(|(word, _)| *word == value) {
            Some((_, choice)) => Ok(*choice),
            None => {
                let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
                Err(Error::template(self.title, key, &words.join(" or ")))
            }
        }
    }
}
