//! SQLSTATE, message and hint of each outcome.

use auburnlug_state::Millis;

use crate::peer::{Outcome, Reason};

/// Error as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// SQLSTATE.
    pub code: &'static str,
    /// Message; "not run" appears only if nothing reached a database server.
    pub message: &'static str,
    /// When to retry, if that helps.
    pub hint: Option<String>,
}

impl Fault {
    /// A fault without a hint.
    pub fn new(code: &'static str, message: &'static str) -> Fault {
        Fault { code, message, hint: None }
    }
}

/// Error of an outcome; `None` if the server's own answer is passed on.
pub fn fault(outcome: &Outcome) -> Option<Fault> {
    match outcome {
        Outcome::Done | Outcome::Failed => None,
        Outcome::Refused { reason, retry } => Some(refusal(*reason, *retry)),
        Outcome::Unknown => Some(Fault::new(
            "08007",
            "outcome unknown: the request may have run and its effect is not confirmed",
        )),
    }
}

/// Error of a refusal; `retry` is in milliseconds, 0 for none.
pub fn refusal(reason: Reason, retry: Millis) -> Fault {
    let (code, message) = match reason {
        Reason::Rate => ("53400", "not run: the client account is above its rate"),
        Reason::Overload => ("53400", "not run: too many requests are waiting"),
        Reason::Primary => ("57P03", "not run: the database group has no primary"),
        Reason::Owner => {
            ("57P03", "not run: the database group or the rate has no owner at present")
        }
        Reason::Lease => ("57P03", "not run: the instance cannot confirm its configuration"),
        Reason::Key => ("28000", "not run: the key is not valid"),
        Reason::Stopping => ("57P03", "not run: the instance is stopping"),
        Reason::State => ("0A000", "not run: the statement would leave state on the connection"),
        Reason::Connection => ("57P03", "not run: no connection to a database server"),
        Reason::Size => ("54000", "not run: the request is too large"),
        Reason::Standby => ("57P03", "not run: the standby of the database group does not answer"),
        Reason::Cancelled => ("57014", "not run: cancelled on the caller's request"),
    };
    let hint = (retry > 0).then(|| format!("retry after {retry} ms"));
    Fault { code, message, hint }
}
