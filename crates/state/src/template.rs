//! Decoding of templates: configurations as INI text, which operators keep under version control.
//!
//! A template is accepted or refused as a whole, so that a typo in one section cannot put only part
//! of a configuration in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
    str::FromStr,
};

use ini::{Ini, ParseOption, Properties};

use crate::{Account, Class, Config, Error, Group, Kind, Name, Result, Route, config};

/// Version of the template format that is supported.
const TEMPLATE_FORMAT: u64 = 1;

/// A template at the design size takes about 0.1 MB.
const MAX_TEMPLATE_BYTES: usize = 1024 * 1024;

const MAX_STATEMENT_PREFIX_BYTES: usize = 1000;

/// Allowed numbers of servers in a group.
const GROUP_SIZE_RANGE: RangeInclusive<u64> = 1..=9;

/// Keys of an account section that can have a default in the `[template]` section.
const DEFAULT_KEYS: &[&str] = &["rate", "burst", "age"];

/// Default values from the `[template]` section.
struct TemplateHeader<'a> {
    defaults: BTreeMap<&'a str, &'a str>,
}

/// A section and its values by key; no key appears twice.
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
    /// Names the section, the key and the allowed values of the first error.
    fn try_from(text: &str) -> Result<Config> {
        if text.len() > MAX_TEMPLATE_BYTES {
            return Err(Error::syntax(format!("longer than {MAX_TEMPLATE_BYTES} bytes")));
        }
        let ini = Ini::load_from_str_opt(text, ini_parse_options()).map_err(|e| {
            let line = e.line + 1;
            Error::syntax(format!("line {line}: {}", e.msg))
        })?;
        let sections = parse_sections(&ini)?;
        let header = parse_header(&sections)?;
        let mut config = Config::default();
        for section in &sections {
            add_section(&mut config, section, &header)?;
        }
        check_unique(&config)?;
        Ok(config)
    }
}

/// Reads quotes and backslashes literally, as statements contain both.
fn ini_parse_options() -> ParseOption {
    ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() }
}

fn parse_sections(ini: &Ini) -> Result<Vec<Section<'_>>> {
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
        sections.push(Section { title, values: parse_values(title, properties)? });
    }
    Ok(sections)
}

fn parse_values<'a>(title: &str, properties: &'a Properties) -> Result<BTreeMap<&'a str, &'a str>> {
    let mut values = BTreeMap::new();
    for (key, value) in properties.iter() {
        if values.insert(key, value).is_some() {
            return Err(Error::template(title, key, "one value"));
        }
    }
    Ok(values)
}

fn parse_header<'a>(sections: &'a [Section<'a>]) -> Result<TemplateHeader<'a>> {
    let Some(section) = sections.iter().find(|s| s.title == "template") else {
        return Err(Error::template("template", "", "one section of this name"));
    };
    section.check_keys(&["format", "name", "rate", "burst", "age"])?;
    section.number("format", None, TEMPLATE_FORMAT..=TEMPLATE_FORMAT, "")?;
    section.name("name")?;
    let mut defaults = section.values.clone();
    defaults.retain(|key, _| DEFAULT_KEYS.contains(key));
    let header = TemplateHeader { defaults };
    // Defaults are checked here because those that no account uses are not read later.
    for key in header.defaults.keys() {
        match *key {
            "rate" => drop(section.number("rate", None, config::RATE_RANGE, "requests/s")?),
            "burst" => drop(section.number("burst", None, config::BURST_RANGE, "requests")?),
            _ => drop(section.number("age", None, config::READ_AGE_RANGE_MS, "ms")?),
        }
    }
    Ok(header)
}

fn add_section(
    config: &mut Config,
    section: &Section<'_>,
    header: &TemplateHeader<'_>,
) -> Result<()> {
    let words: Vec<&str> = section.title.split_whitespace().collect();
    let (kind, name) = match words[..] {
        ["template"] => return Ok(()),
        [kind, name] => (kind, name),
        _ => return Err(section.unknown_section()),
    };
    let name =
        || Name::try_from(name).map_err(|e| Error::template(section.title, "", &e.to_string()));
    match kind {
        "group" => drop(config.groups.insert(name()?, parse_group(section)?)),
        "route" => drop(config.routes.insert(name()?, parse_route(section)?)),
        "account" => {
            let name = name()?;
            let account = parse_account(section, header, name.as_str() == config::PUBLIC_ACCOUNT)?;
            config.accounts.insert(name, account);
        }
        _ => return Err(section.unknown_section()),
    }
    Ok(())
}

fn parse_group(section: &Section<'_>) -> Result<Group> {
    section.check_keys(&["size", "database"])?;
    let size: u64 = section.number("size", None, GROUP_SIZE_RANGE, "servers")?;
    Ok(Group { size: u32::try_from(size).unwrap_or(1), database: section.name("database")? })
}

fn parse_route(section: &Section<'_>) -> Result<Route> {
    section.check_keys(&["statement", "kind", "idempotent", "open", "class"])?;
    let text = section.value("statement", None)?;
    let is_normalized = text.split(' ').all(|word| !word.is_empty())
        && !text.contains(|c: char| c.is_control() || c.is_uppercase());
    if !is_normalized || text.len() > MAX_STATEMENT_PREFIX_BYTES {
        let allowed = format!(
            "1 to {MAX_STATEMENT_PREFIX_BYTES} bytes in lower case with single spaces between words"
        );
        return Err(Error::template(section.title, "statement", &allowed));
    }
    let yes_or_no = &[("yes", true), ("no", false)];
    Ok(Route {
        statement: text.into(),
        kind: section.choice("kind", &[("read", Kind::Read), ("write", Kind::Write)])?,
        idempotent: section.choice("idempotent", yes_or_no)?,
        open: section.choice("open", yes_or_no)?,
        class: section
            .choice("class", &[("interactive", Class::Interactive), ("batch", Class::Batch)])?,
    })
}

fn parse_account(
    section: &Section<'_>,
    header: &TemplateHeader<'_>,
    public: bool,
) -> Result<Account> {
    section.check_keys(&["rate", "burst", "age", "key"])?;
    let mut keys = BTreeSet::new();
    if public {
        if section.values.contains_key("key") {
            return Err(Error::template(section.title, "key", "no key: this account needs none"));
        }
    } else {
        let text = section.value("key", None)?;
        // The error must not contain the value, which may be the key itself, entered by mistake.
        let key = config::parse_key_hash(text).ok_or_else(|| {
            Error::template(section.title, "key", "SHA-256 of the key as 64 hexadecimal digits")
        })?;
        keys.insert(key);
    }
    let header = Some(header);
    Ok(Account {
        rate: section.number("rate", header, config::RATE_RANGE, "requests/s")?,
        burst: section.number("burst", header, config::BURST_RANGE, "requests")?,
        age: section.number("age", header, config::READ_AGE_RANGE_MS, "ms")?,
        keys,
    })
}

/// Checks that databases, statement prefixes and keys are unique, so that lookups are unambiguous.
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
    match config.find_account_with_shared_key() {
        Some(name) => {
            let title = format!("account {name}");
            Err(Error::template(&title, "key", "a key of no other account"))
        }
        None => Ok(()),
    }
}

impl Section<'_> {
    fn unknown_section(&self) -> Error {
        let allowed = "[template], [group NAME], [route NAME] or [account NAME]";
        Error::template(self.title, "", allowed)
    }

    fn check_keys(&self, keys: &[&str]) -> Result<()> {
        match self.values.keys().find(|key| !keys.contains(key)) {
            Some(key) => {
                let allowed = format!("the keys {}", keys.join(", "));
                Err(Error::template(self.title, key, &allowed))
            }
            None => Ok(()),
        }
    }

    fn value<'a>(&'a self, key: &str, header: Option<&'a TemplateHeader<'_>>) -> Result<&'a str> {
        let default = || header.and_then(|h| h.defaults.get(key));
        match self.values.get(key).or_else(default) {
            Some(value) => Ok(value),
            None => Err(Error::template(self.title, key, "a value: the parameter is missing")),
        }
    }

    fn number<T>(
        &self,
        key: &str,
        header: Option<&TemplateHeader<'_>>,
        range: RangeInclusive<T>,
        unit: &str,
    ) -> Result<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        match self.value(key, header)?.parse() {
            Ok(number) if range.contains(&number) => Ok(number),
            _ => {
                let allowed = format!("{} to {} {unit}", range.start(), range.end());
                Err(Error::template(self.title, key, allowed.trim_end()))
            }
        }
    }

    fn name(&self, key: &str) -> Result<Name> {
        let name_error = |e: Error| Error::template(self.title, key, &e.to_string());
        Name::try_from(self.value(key, None)?).map_err(name_error)
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
