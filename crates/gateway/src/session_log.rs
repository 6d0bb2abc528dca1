//! Log lines and counters of answers to callers.

use auburnlug_protocol::job::{Answer, Code, End};
use auburnlug_state::Millis;
use auburnlug_transport::event::{Event, log};

use crate::local::Local;

/// A request that was answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked<'a> {
    /// Identity of the request.
    pub(crate) id: &'a str,
    /// Kind of the statement.
    pub(crate) kind: &'static str,
    /// Client account; empty for callers without a key.
    pub(crate) account: &'a str,
    /// Database.
    pub(crate) database: &'a str,
    /// Time of its arrival.
    pub(crate) arrival: Millis,
}

/// Logs and counts the answer to a request. What this system answered alone is left out, unless it
/// is an error.
pub(crate) fn log_answer(local: &Local, asked: &Asked<'_>, answer: &Answer) {
    let Asked { id, kind, account, database, arrival } = *asked;
    let took = local.now().saturating_sub(arrival);
    let server = answer.server.as_deref().unwrap_or("none");
    let version = local.view().plan.version;
    match &answer.end {
        End::Done(None) => {}
        End::Done(Some(_)) => {
            local.metrics.served.inc();
            local.metrics.latency.observe(took as f64 / 1e3);
            log(
                Event::RequestServed,
                format_args!(
                    "id={id} account={account} database={database} server={server} ms={took} waited={} ran={} kind={kind}",
                    answer.waited, answer.ran
                ),
            );
        }
        End::Error(code, reason) => {
            local.metrics.count_error(*code);
            let ran = matches!(code, Code::Failed | Code::Timeout | Code::Unknown);
            let event = if ran { Event::RequestFailed } else { Event::RequestRefused };
            log(
                event,
                format_args!(
                    "id={id} account={account} database={database} server={server} ms={took} kind={kind} code={code} reason={:?} config_version={version}",
                    &**reason
                ),
            );
        }
    }
}
