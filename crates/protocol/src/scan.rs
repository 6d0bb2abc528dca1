//! Splits a query text into statements and normalizes each.
//!
//! Quoting follows PostgreSQL with `standard_conforming_strings = on`. This setting is in force on
//! every server connection, because statements that would change it are refused.

/// A normalized statement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ScannedStatement {
    /// Lower case outside quotes, single spaces, no comments.
    pub text: String,
    /// `text` with each string replaced by an empty literal.
    pub masked: String,
}

/// Returns the statements of `sql` without empty ones.
pub(crate) fn scan(sql: &str) -> Vec<ScannedStatement> {
    let mut scanner = Scanner {
        rest: sql,
        statements: Vec::new(),
        statement: ScannedStatement::default(),
        after_space: false,
    };
    while scanner.scan_token() {}
    scanner.finish_statement();
    scanner.statements
}

struct Scanner<'a> {
    rest: &'a str,
    statements: Vec<ScannedStatement>,
    statement: ScannedStatement,
    /// Whether white space or a comment precedes the rest.
    after_space: bool,
}

impl Scanner<'_> {
    fn scan_token(&mut self) -> bool {
        let Some(c) = self.rest.chars().next() else { return false };
        if c.is_whitespace() {
            self.skip(c.len_utf8());
        } else if self.rest.starts_with("--") {
            self.skip(self.rest.find('\n').unwrap_or(self.rest.len()));
        } else if self.rest.starts_with("/*") {
            self.skip(comment_length(self.rest));
        } else if c == ';' {
            self.rest = &self.rest[1..];
            self.finish_statement();
        } else if c == '\'' {
            let escapes = self.starts_escape_string();
            self.push_quoted(literal_length(self.rest, '\'', escapes), true);
        } else if c == '"' {
            self.push_quoted(literal_length(self.rest, '"', false), false);
        } else if let Some(end) = self.dollar_quoted_length() {
            self.push_quoted(end, true);
        } else {
            self.push_char(c);
        }
        true
    }

    fn skip(&mut self, bytes: usize) {
        self.rest = &self.rest[bytes..];
        self.after_space = true;
    }

    fn push_space(&mut self) {
        if self.after_space && !self.statement.text.is_empty() {
            self.statement.text.push(' ');
            self.statement.masked.push(' ');
        }
        self.after_space = false;
    }

    fn push_char(&mut self, c: char) {
        self.push_space();
        let c = c.to_ascii_lowercase();
        self.statement.text.push(c);
        self.statement.masked.push(c);
        self.rest = &self.rest[c.len_utf8()..];
    }

    fn push_quoted(&mut self, bytes: usize, string: bool) {
        self.push_space();
        let (quoted, rest) = self.rest.split_at(bytes);
        self.statement.text.push_str(quoted);
        self.statement.masked.push_str(if string { "''" } else { quoted });
        self.rest = rest;
    }

    /// Returns whether the string that starts here has the form `E'...'`.
    fn starts_escape_string(&self) -> bool {
        let mut before = self.statement.masked.chars().rev();
        !self.after_space
            && before.next() == Some('e')
            && !before.next().is_some_and(is_identifier_char)
    }

    /// Returns the length in bytes of the dollar-quoted string that starts here, if one does.
    fn dollar_quoted_length(&self) -> Option<usize> {
        let body = self.rest.strip_prefix('$')?;
        if !self.after_space
            && self.statement.masked.chars().next_back().is_some_and(is_identifier_char)
        {
            return None;
        }
        let tag = body.find('$')?;
        let name = &body[..tag];
        if name.starts_with(|c: char| c.is_ascii_digit())
            || !name.chars().all(|c| is_identifier_char(c) && c != '$')
        {
            return None;
        }
        let delimiter = &self.rest[..tag + 2];
        let end = self.rest[delimiter.len()..].find(delimiter);
        Some(end.map_or(self.rest.len(), |end| end + 2 * delimiter.len()))
    }

    fn finish_statement(&mut self) {
        self.after_space = false;
        let statement = std::mem::take(&mut self.statement);
        if !statement.text.is_empty() {
            self.statements.push(statement);
        }
    }
}

fn is_identifier_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_' || c == '$' || !c.is_ascii()
}

/// Returns the length in bytes of the comment at the start of `text`; comments nest.
fn comment_length(text: &str) -> usize {
    let bytes = text.as_bytes();
    let (mut depth, mut at) = (0, 0);
    while at < bytes.len() {
        if bytes[at..].starts_with(b"/*") {
            depth += 1;
            at += 2;
        } else if bytes[at..].starts_with(b"*/") {
            depth -= 1;
            at += 2;
            if depth == 0 {
                return at;
            }
        } else {
            at += 1;
        }
    }
    bytes.len()
}

/// Returns the length in bytes of the quoted text at the start of `text`; a doubled quote does not
/// end it.
fn literal_length(text: &str, quote: char, escapes: bool) -> usize {
    let bytes = text.as_bytes();
    let mut at = 1;
    while at < bytes.len() {
        if escapes && bytes[at] == b'\\' {
            at += 2;
        } else if bytes[at] == quote as u8 {
            if bytes.get(at + 1) != Some(&(quote as u8)) {
                return at + 1;
            }
            at += 2;
        } else {
            at += 1;
        }
    }
    // `at` cannot be used here: after a backslash it may lie beyond the text or inside a character.
    bytes.len()
}
