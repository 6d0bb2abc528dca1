//! Log lines and counters of answers to callers.

use auburnlug_protocol::job::{Answer, Completion, ErrorCode};
use auburnlug_state::Millis;
use auburnlug_transport::event::{Event, log};

use crate::local_state::LocalState;

/// A request that was answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnsweredRequest<'a> {
    /// Identifier of the request.
    pub(crate) id: &'a str,
    /// Kind of the statement.
    pub(crate) kind: &'static str,
    /// Client account; empty for callers without a key.
    pub(crate) account: &'a str,
    /// Database.
    pub(crate) database: &'a str,
    /// Arrival time.
    pub(crate) arrival: Millis,
}

/// Logs and counts the answer to a request. Successful answers that needed no server are left out.
pub(crate) fn log_answer(local: &LocalState, request: &AnsweredRequest<'_>, answer: &Answer) {
    let AnsweredRequest { id, kind, account, database, arrival } = *request;
    let elapsed = local.now().saturating_sub(arrival);
    let server = answer.server.as_deref().unwrap_or("none");
    let version = local.view().config.version;
    match &answer.end {
        Completion::Done(None) => {}
        Completion::Done(Some(_)) => {
            local.metrics.served.inc();
            local.metrics.latency.observe(elapsed as f64 / 1e3);
            log(
                Event::RequestServed,
                format_args!(
                    "id={id} account={account} database={database} server={server} ms={elapsed} waited={} ran={} kind={kind}",
                    answer.waited, answer.ran
                ),
            );
        }
        Completion::Error(code, reason) => {
            local.metrics.count_error(*code);
            let ran = matches!(code, ErrorCode::Failed | ErrorCode::Timeout | ErrorCode::Unknown);
            let event = if ran { Event::RequestFailed } else { Event::RequestRefused };
            log(
                event,
                format_args!(
                    "id={id} account={account} database={database} server={server} ms={elapsed} kind={kind} code={code} reason={:?} config_version={version}",
                    &**reason
                ),
            );
        }
    }
}
