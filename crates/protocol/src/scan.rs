//! Splits a query text into statements and normalises each.
//!
//! Quoting follows PostgreSQL with `standard_conforming_strings = on`, which holds on every server
//! connection because statements that would change it are refused.

/// A statement of a query text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Part {
    /// Lower case outside quotes, single spaces, no comments.
    pub text: String,
    /// Like `text`, with an empty literal in place of each string.
    pub bare: String,
}

/// Statements of `sql`; empty ones are left out.
pub(crate) fn scan(sql: &str) -> Vec<Part> {
    let mut scanner = Scanner { rest: sql, parts: Vec::new(), part: Part::default(), gap: false };
    while scanner.step() {}
    scanner.finish();
    scanner.parts
}

struct Scanner<'a> {
    rest: &'a str,
    parts: Vec<Part>,
    part: Part,
    /// Whether white space or a comment precedes what comes next.
    gap: bool,
}

impl Scanner<'_> {
    fn step(&mut self) -> bool {
        let Some(c) = self.rest.chars().next() else { return false };
        if c.is_whitespace() {
            self.skip(c.len_utf8());
        } else if self.rest.starts_with("--") {
            self.skip(self.rest.find('\n').unwrap_or(self.rest.len()));
        } else if self.rest.starts_with("/*") {
            self.skip(comment(self.rest));
        } else if c == ';' {
            self.rest = &self.rest[1..];
            self.finish();
        } else if c == '\'' {
            let escapes = self.escapes();
            self.quoted(literal(self.rest, '\'', escapes), true);
        } else if c == '"' {
            self.quoted(literal(self.rest, '"', false), false);
        } else if let Some(end) = self.dollar() {
            self.quoted(end, true);
        } else {
            self.word(c);
        }
        true
    }

    fn skip(&mut self, bytes: usize) {
        self.rest = &self.rest[bytes..];
        self.gap = true;
    }

    fn space(&mut self) {
        if self.gap && !self.part.text.is_empty() {
            self.part.text.push(' ');
            self.part.bare.push(' ');
        }
        self.gap = false;
    }

    fn word(&mut self, c: char) {
        self.space();
        let c = c.to_ascii_lowercase();
        self.part.text.push(c);
        self.part.bare.push(c);
        self.rest = &self.rest[c.len_utf8()..];
    }

    fn quoted(&mut self, bytes: usize, string: bool) {
        self.space();
        let (quoted, rest) = self.rest.split_at(bytes);
        self.part.text.push_str(quoted);
        self.part.bare.push_str(if string { "''" } else { quoted });
        self.rest = rest;
    }

    /// Whether the string that starts here is of the form `E'...'`.
    fn escapes(&self) -> bool {
        let mut before = self.part.bare.chars().rev();
        !self.gap && before.next() == Some('e') && !before.next().is_some_and(ident)
    }

    /// Length of the dollar-quoted string that starts here.
    fn dollar(&self) -> Option<usize> {
        let body = self.rest.strip_prefix('$')?;
        if !self.gap && self.part.bare.chars().next_back().is_some_and(ident) {
            return None;
        }
        let tag = body.find('$')?;
        let name = &body[..tag];
        if name.starts_with(|c: char| c.is_ascii_digit())
            || !name.chars().all(|c| ident(c) && c != '$')
        {
            return None;
        }
        let mark = &self.rest[..tag + 2];
        let end = self.rest[mark.len()..].find(mark);
        Some(end.map_or(self.rest.len(), |end| end + 2 * mark.len()))
    }

    fn finish(&mut self) {
        self.gap = false;
        let part = std::mem::take(&mut self.part);
        if !part.text.is_empty() {
            self.parts.push(part);
        }
    }
}

fn ident(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_' || c == '$' || !c.is_ascii()
}

/// Length of the comment at the start of `text`; comments nest.
fn comment(text: &str) -> usize {
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

/// Length of the quoted text at the start of `text`; a doubled quote does not end it.
fn literal(text: &str, quote: char, escapes: bool) -> usize {
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
    // An escape at the end may point past the text or into a character.
    bytes.len()
}
