//! Classification of statements.
//!
//! A statement is normalized (lower case outside quotes, single spaces, no comments) and compared
//! with the prefixes of the configured routes. A statement that matches no route is treated as a
//! non-idempotent write.

use auburnlug_state::{Class, Config, Kind};

use crate::scan::{ScannedStatement, scan};

/// Options that a caller gives in the leading comment of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hints {
    /// Request id.
    pub id: Option<String>,
    /// Session.
    pub session: Option<String>,
    /// Maximum age of the data, in milliseconds.
    pub age: Option<u64>,
}

/// Effect of a statement on the connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// No effect that outlives the statement.
    Plain,
    /// Opens a transaction.
    Begin,
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Changes a setting of the proxy.
    Setting(Setting),
    /// Would leave state on the server connection, or uses an unsupported part of the protocol.
    LeavesState,
}

/// A change to a setting of the proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Setting {
    /// Session name; `None` resets it.
    Session(Option<String>),
    /// Id of the next request.
    Request(Option<String>),
    /// Maximum age of the data, in milliseconds.
    Age(Option<u64>),
}

/// A classified statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Normalized text.
    pub text: String,
    /// Read or write.
    pub kind: Kind,
    /// Whether the statement is idempotent, so that it may be retried.
    pub idempotent: bool,
    /// Whether callers without a key may run it.
    pub open: bool,
    /// Scheduling class.
    pub class: Class,
    /// Effect on the connection.
    pub effect: Effect,
}

/// Longest value that a comment or a setting may give, in bytes.
const MAX_OPTION_BYTES: usize = 128;

/// Functions that leave state on the connection that they run on.
const STATEFUL_FUNCTIONS: [&str; 6] = [
    "pg_advisory_lock",
    "pg_try_advisory_lock",
    "pg_advisory_unlock",
    "set_config",
    "pg_notify",
    "dblink_connect",
];

/// Splits a query text into statements, without empty ones, and classifies each.
///
/// ```
/// use auburnlug_protocol::statement::{Effect, classify};
/// let list = classify("BEGIN; select 1", &Default::default());
/// assert_eq!(list[0].effect, Effect::Begin);
/// assert_eq!(list[1].text, "select 1");
/// ```
pub fn classify(sql: &str, config: &Config) -> Vec<Statement> {
    scan(sql).into_iter().map(|statement| classify_statement(statement, config)).collect()
}

/// Splits a query text into statements, without empty ones, and normalizes each.
pub fn normalize(sql: &str) -> Vec<String> {
    scan(sql).into_iter().map(|statement| statement.text).collect()
}

/// Parses the comment `/* auburnlug id=... session=... age=... */` before the first statement.
pub fn parse_hints(sql: &str) -> Hints {
    let mut hints = Hints::default();
    let Some(rest) = sql.trim_start().strip_prefix("/*") else { return hints };
    let Some((comment, _)) = rest.split_once("*/") else { return hints };
    let mut words = comment.split_ascii_whitespace();
    if words.next() != Some("auburnlug") {
        return hints;
    }
    for word in words {
        match word.split_once('=') {
            Some(("id", value)) => hints.id = validate_value(value),
            Some(("session", value)) => hints.session = validate_value(value),
            Some(("age", value)) => hints.age = value.parse().ok(),
            _ => {}
        }
    }
    hints
}

fn classify_statement(statement: ScannedStatement, config: &Config) -> Statement {
    let effect = statement_effect(&statement);
    let route = config
        .routes
        .values()
        .filter(|route| !route.statement.is_empty() && statement.text.starts_with(&route.statement))
        .max_by_key(|route| route.statement.len());
    match route {
        Some(route) => Statement {
            text: statement.text,
            kind: route.kind,
            idempotent: route.idempotent,
            open: route.open,
            class: route.class,
            effect,
        },
        None => Statement {
            text: statement.text,
            kind: Kind::Write,
            idempotent: false,
            open: false,
            class: Class::Interactive,
            effect,
        },
    }
}

fn statement_effect(statement: &ScannedStatement) -> Effect {
    let words: Vec<&str> =
        statement.masked.split([' ', '(', '=']).filter(|word| !word.is_empty()).collect();
    let at = |index: usize| words.get(index).copied().unwrap_or_default();
    match at(0) {
        "begin" => Effect::Begin,
        "start" if at(1) == "transaction" => Effect::Begin,
        "commit" | "rollback" if at(1) == "prepared" => Effect::LeavesState,
        "commit" | "end" if !has_and_chain(&words) => Effect::Commit,
        "rollback" if at(1) == "to" || at(2) == "to" => Effect::Plain,
        "rollback" | "abort" if !has_and_chain(&words) => Effect::Rollback,
        "set" | "reset" if statement.text.contains("auburnlug.") => {
            parse_setting(statement).map_or(Effect::LeavesState, Effect::Setting)
        }
        "set" if at(1) == "transaction" || at(1) == "local" => Effect::Plain,
        "commit" | "end" | "rollback" | "abort" | "set" | "reset" | "listen" | "unlisten"
        | "notify" | "prepare" | "execute" | "deallocate" | "discard" | "load" | "copy" | "do" => {
            Effect::LeavesState
        }
        "declare" if contains_pair(&words, "with", "hold") => Effect::LeavesState,
        "create" if words.iter().take(5).any(|word| matches!(*word, "temp" | "temporary")) => {
            Effect::LeavesState
        }
        _ if has_into_temp(&words)
            || STATEFUL_FUNCTIONS.iter().any(|name| statement.masked.contains(name)) =>
        {
            Effect::LeavesState
        }
        _ => Effect::Plain,
    }
}

/// Returns whether `AND CHAIN` is given, which opens a new transaction immediately. The proxy does
/// not track this in the transaction state of a caller.
fn has_and_chain(words: &[&str]) -> bool {
    contains_pair(words, "and", "chain")
}

fn has_into_temp(words: &[&str]) -> bool {
    contains_pair(words, "into", "temp") || contains_pair(words, "into", "temporary")
}

fn contains_pair(words: &[&str], first: &str, second: &str) -> bool {
    words.windows(2).any(|pair| pair == [first, second])
}

fn parse_setting(statement: &ScannedStatement) -> Option<Setting> {
    let text = statement.text.as_str();
    if let Some(name) = text.strip_prefix("reset auburnlug.") {
        return setting_from_value(name, None);
    }
    let rest = text.strip_prefix("set ")?;
    let rest = rest.strip_prefix("session ").unwrap_or(rest).strip_prefix("auburnlug.")?;
    let end = rest.find([' ', '='])?;
    let (name, rest) = rest.split_at(end);
    let rest = rest.trim_start();
    let value = rest.strip_prefix('=').or_else(|| rest.strip_prefix("to "))?.trim();
    let unquoted =
        value.strip_prefix('\'').and_then(|value| value.strip_suffix('\'')).unwrap_or(value);
    if unquoted == "default" || unquoted.is_empty() {
        return setting_from_value(name, None);
    }
    setting_from_value(name, Some(validate_value(unquoted)?))
}

fn setting_from_value(name: &str, value: Option<String>) -> Option<Setting> {
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

fn validate_value(value: &str) -> Option<String> {
    let valid = !value.is_empty()
        && value.len() <= MAX_OPTION_BYTES
        && value.bytes().all(|c| c.is_ascii_graphic());
    valid.then(|| value.to_string())
}
