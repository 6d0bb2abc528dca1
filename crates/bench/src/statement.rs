//! Parser for the SQL subset that a stand-in server supports.

use crate::Write;

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// `BEGIN`.
    Begin,
    /// `COMMIT`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
    /// `DISCARD ALL`: resets the connection.
    Discard,
    /// `SHOW auburnlug.status`.
    Status,
    /// `SELECT auburnlug.fence(TERM)`.
    Fence(u64),
    /// `SELECT auburnlug.promote(TERM)`.
    Promote(u64),
    /// `SELECT auburnlug.follow(TERM, 'HOST:PORT')`.
    Follow(u64, String),
    /// `INSERT INTO t VALUES (key, value)` or `UPDATE t SET value = .. WHERE key = ..`.
    Write(Write),
    /// `SELECT value FROM t WHERE key = .. [AND request = ..]`.
    Read {
        /// Table.
        table: String,
        /// Key.
        key: String,
        /// Request id, for the record.
        request: Option<String>,
    },
    /// Only white space and comments.
    Empty,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Token {
    Word(String),
    Text(String),
    Symbol(char),
}

/// Splits the text of a simple query at semicolons outside of quotes.
pub fn split_statements(sql: &str) -> Vec<&str> {
    let (mut parts, mut start, mut quoted) = (Vec::new(), 0, false);
    for (at, c) in sql.char_indices() {
        match c {
            '\'' => quoted = !quoted,
            ';' if !quoted => {
                parts.push(&sql[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&sql[start..]);
    parts.retain(|p| !p.trim().is_empty());
    parts
}

/// Highest parameter number (`$1`, `$2`, ..) in a statement.
pub fn count_parameters(sql: &str) -> usize {
    let numbers = tokenize(sql).unwrap_or_default().into_iter().filter_map(|t| match t {
        Token::Word(word) => word.strip_prefix('$')?.parse::<usize>().ok(),
        _ => None,
    });
    numbers.max().unwrap_or(0)
}

/// Parses one statement with its parameter values; `None` if it is not supported.
pub fn parse_statement(sql: &str, values: &[String]) -> Option<Statement> {
    let tokens = tokenize(sql)?;
    let words: Vec<String> = tokens
        .iter()
        .map(|t| match t {
            Token::Word(w) => w.to_ascii_lowercase(),
            Token::Text(_) => "'".into(),
            Token::Symbol(c) => c.to_string(),
        })
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let value = |at: usize| match tokens.get(at)? {
        Token::Text(text) => Some(text.clone()),
        Token::Word(word) => match word.strip_prefix('$') {
            Some(number) => values.get(number.parse::<usize>().ok()?.checked_sub(1)?).cloned(),
            None => word.parse::<i64>().ok().map(|n| n.to_string()),
        },
        Token::Symbol(_) => None,
    };
    let number = |at: usize| value(at)?.parse().ok();
    Some(match words.as_slice() {
        [] => Statement::Empty,
        ["begin"] | ["begin" | "start", "transaction"] => Statement::Begin,
        ["commit"] | ["end"] => Statement::Commit,
        ["rollback"] | ["abort"] => Statement::Rollback,
        ["discard", "all"] => Statement::Discard,
        ["show", "auburnlug.status"] => Statement::Status,
        ["select", "auburnlug.fence", "(", _, ")"] => Statement::Fence(number(3)?),
        ["select", "auburnlug.promote", "(", _, ")"] => Statement::Promote(number(3)?),
        ["select", "auburnlug.follow", "(", _, ",", _, ")"] => {
            Statement::Follow(number(3)?, value(5)?)
        }
        ["insert", "into", table, "values", "(", _, ",", _, ")"] => {
            Statement::Write(Write { table: (*table).into(), key: value(5)?, value: value(7)? })
        }
        ["update", table, "set", "value", "=", _, "where", "key", "=", _] => {
            Statement::Write(Write { table: (*table).into(), key: value(9)?, value: value(5)? })
        }
        ["select", "value" | "*", "from", table, "where", "key", "=", _, rest @ ..] => {
            let request = match rest {
                [] => None,
                ["and", "request", "=", _] => Some(value(11)?),
                _ => return None,
            };
            Statement::Read { table: (*table).into(), key: value(7)?, request }
        }
        _ => return None,
    })
}

fn tokenize(sql: &str) -> Option<Vec<Token>> {
    let mut tokens = Vec::new();
    let mut rest = sql.trim_start();
    while let Some(first) = rest.chars().next() {
        if let Some(comment) = rest.strip_prefix("/*") {
            rest = &comment[comment.find("*/")? + 2..];
        } else if first == '\'' {
            let (text, after) = parse_quoted(&rest[1..])?;
            tokens.push(Token::Text(text));
            rest = after;
        } else if is_word(first) {
            let end = rest.find(|c| !is_word(c)).unwrap_or(rest.len());
            tokens.push(Token::Word(rest[..end].into()));
            rest = &rest[end..];
        } else {
            if first != ';' {
                tokens.push(Token::Symbol(first));
            }
            rest = &rest[first.len_utf8()..];
        }
        rest = rest.trim_start();
    }
    Some(tokens)
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || "_.$-".contains(c)
}

fn parse_quoted(rest: &str) -> Option<(String, &str)> {
    let mut text = String::new();
    let mut chars = rest.char_indices().peekable();
    while let Some((at, c)) = chars.next() {
        match c {
            '\'' if matches!(chars.peek(), Some((_, '\''))) => {
                chars.next();
                text.push('\'');
            }
            '\'' => return Some((text, &rest[at + 1..])),
            _ => text.push(c),
        }
    }
    None
}
