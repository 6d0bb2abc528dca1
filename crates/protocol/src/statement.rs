//! Classification of statements.
//!
//! A statement is normalised (lower case outside quotes, single spaces, no comments) and compared
//! with the prefixes of the configured routes. What matches no route is a non-idempotent write.

use auburnlug_state::{Class, Config, Kind};

use crate::scan::{Part, scan};

/// What the leading comment of a request asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hints {
    /// Request id.
    pub id: Option<String>,
    /// Session.
    pub session: Option<String>,
    /// Accepted age of the data, in milliseconds.
    pub age: Option<u64>,
}

/// Effect of a statement on the connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// None that outlives the statement.
    Plain,
    /// Opens a transaction.
    Begin,
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Changes a setting of the proxy.
    Setting(Setting),
    /// Would leave state on the server connection, or uses an unsupported protocol part.
    State,
}

/// A change of a setting of the proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Setting {
    /// Session; `None` resets it.
    Session(Option<String>),
    /// Id of the next request.
    Request(Option<String>),
    /// Accepted age of the data, in milliseconds.
    Age(Option<u64>),
}

/// A classified statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Normalised text.
    pub text: String,
    /// Read or write.
    pub kind: Kind,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Whether it may run without a key.
    pub open: bool,
    /// Scheduling class.
    pub class: Class,
    /// Effect on the connection.
    pub effect: Effect,
}

/// Longest value taken from a comment or a setting, in bytes.
const MAX_VALUE: usize = 128;

/// Functions that change the state of the connection they run on.
const STATE_CALLS: [&str; 6] = [
    "pg_advisory_lock",
    "pg_try_advisory_lock",
    "pg_advisory_unlock",
    "set_config",
    "pg_notify",
    "dblink_connect",
];

/// Statements of a query text, in order; empty ones are left out.
///
/// ```
/// use auburnlug_protocol::statement::{Effect, classify};
/// let list = classify("BEGIN; select 1", &Default::default());
/// assert_eq!(list[0].effect, Effect::Begin);
/// assert_eq!(list[1].text, "select 1");
/// ```
pub fn classify(sql: &str, config: &Config) -> Vec<Statement> {
    scan(sql).into_iter().map(|part| statement(part, config)).collect()
}

/// Normalised texts of the statements of a query text.
pub fn normalise(sql: &str) -> Vec<String> {
    scan(sql).into_iter().map(|part| part.text).collect()
}

/// Reads the comment `/* auburnlug id=... session=... age=... */` before the first statement.
pub fn hints(sql: &str) -> Hints {
    let mut hints = Hints::default();
    let Some(rest) = sql.trim_start().strip_prefix("/*") else { return hints };
    let Some((comment, _)) = rest.split_once("*/") else { return hints };
    let mut words = comment.split_ascii_whitespace();
    if words.next() != Some("auburnlug") {
        return hints;
    }
    for word in words {
        match word.split_once('=') {
            Some(("id", value)) => hints.id = checked(value),
            Some(("session", value)) => hints.session = checked(value),
            Some(("age", value)) => hints.age = value.parse().ok(),
            _ => {}
        }
    }
    hints
}

fn statement(part: Part, config: &Config) -> Statement {
    let effect = effect(&part);
    let route = config
        .routes
        .values()
        .filter(|route| !route.statement.is_empty() && part.text.starts_with(&route.statement))
        .max_by_key(|route| route.statement.len());
    match route {
        Some(route) => Statement {
            text: part.text,
            kind: route.kind,
            idempotent: route.idempotent,
            open: route.open,
            class: route.class,
            effect,
        },
        None => Statement {
            text: part.text,
            kind: Kind::Write,
            idempotent: false,
            open: false,
            class: Class::Interactive,
            effect,
        },
    }
}

fn effect(part: &Part) -> Effect {
    let words: Vec<&str> =
        part.bare.split([' ', '(', '=']).filter(|word| !word.is_empty()).collect();
    let at = |index: usize| words.get(index).copied().unwrap_or_default();
    match at(0) {
        "begin" => Effect::Begin,
        "start" if at(1) == "transaction" => Effect::Begin,
        "commit" | "rollback" if at(1) == "prepared" => Effect::State,
        "commit" | "end" if !chained(&words) => Effect::Commit,
        "rollback" if at(1) == "to" || at(2) == "to" => Effect::Plain,
        "rollback" | "abort" if !chained(&words) => Effect::Rollback,
        "set" | "reset" if part.text.contains("auburnlug.") => {
            setting(part).map_or(Effect::State, Effect::Setting)
        }
        "set" if at(1) == "transaction" || at(1) == "local" => Effect::Plain,
        "commit" | "end" | "rollback" | "abort" | "set" | "reset" | "listen" | "unlisten"
        | "notify" | "prepare" | "execute" | "deallocate" | "discard" | "load" | "copy" | "do" => {
            Effect::State
        }
        "declare" if adjacent(&words, "with", "hold") => Effect::State,
        "create" if words.iter().take(5).any(|word| matches!(*word, "temp" | "temporary")) => {
            Effect::State
        }
        _ if into_temp(&words) || STATE_CALLS.iter().any(|call| part.bare.contains(call)) => {
            Effect::State
        }
        _ => Effect::Plain,
    }
}

/// `COMMIT AND CHAIN` opens a transaction at once, which the state of the caller does not model.
fn chained(words: &[&str]) -> bool {
    adjacent(words, "and", "chain")
}

fn into_temp(words: &[&str]) -> bool {
    adjacent(words, "into", "temp") || adjacent(words, "into", "temporary")
}

fn adjacent(words: &[&str], first: &str, second: &str) -> bool {
    words.windows(2).any(|pair| pair == [first, second])
}

fn setting(part: &Part) -> Option<Setting> {
    let text = part.text.as_str();
    if let Some(name) = text.strip_prefix("reset auburnlug.") {
        return build(name, None);
    }
    let rest = text.strip_prefix("set ")?;
    let rest = rest.strip_prefix("session ").unwrap_or(rest).strip_prefix("auburnlug.")?;
    let end = rest.find([' ', '='])?;
    let (name, rest) = rest.split_at(end);
    let rest = rest.trim_start();
    let value = rest.strip_prefix('=').or_else(|| rest.strip_prefix("to "))?.trim();
    let plain =
        value.strip_prefix('\'').and_then(|value| value.strip_suffix('\'')).unwrap_or(value);
    if plain == "default" || plain.is_empty() {
        return build(name, None);
    }
    build(name, Some(checked(plain)?))
}

fn build(name: &str, value: Option<String>) -> Option<Setting> {
    match name {
        "session" => Some(Setting::Session(value)),
        "request" => Some(Setting::Request(value)),
        "age" => match value {
            Some(text) => Some(Setting::Age(Some(text.parse().ok()?))),
            None => Some(Setting::Age(None)),
        },
        _ => None,
    }
}

fn checked(value: &str) -> Option<String> {
    let valid = !value.is_empty()
        && value.len() <= MAX_VALUE
        && value.bytes().all(|c| c.is_ascii_graphic());
    valid.then(|| value.to_string())
}
