//! PostgreSQL errors for the outcomes of requests: SQLSTATE, message and hint.

use auburnlug_state::Millis;

use crate::peer::{Outcome, Reason};

/// Error as reported to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Message; contains "not run" only if nothing was sent to a database server.
    pub message: &'static str,
    /// Retry delay, if a retry can succeed.
    pub hint: Option<String>,
}

impl SqlError {
    /// Creates an error without a hint.
    pub fn new(code: &'static str, message: &'static str) -> SqlError {
        SqlError { code, message, hint: None }
    }
}

/// Returns the error of an outcome; `None` if the server's own answer is forwarded.
pub fn outcome_error(outcome: &Outcome) -> Option<SqlError> {
    match outcome {
        Outcome::Done | Outcome::Failed => None,
        Outcome::Refused { reason, retry } => Some(refusal_error(*reason, *retry)),
        Outcome::Unknown => Some(SqlError::new(
            "08007",
            "outcome unknown: the request may have run and its effect is not confirmed",
        )),
    }
}

/// Returns the error of a refusal. `retry` is the retry delay in milliseconds, or 0 for no hint.
pub fn refusal_error(reason: Reason, retry: Millis) -> SqlError {
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
    SqlError { code, message, hint }
}
