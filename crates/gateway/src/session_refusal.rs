//! Refusals of a session: malformed requests, and keys and databases that were withdrawn.

use std::sync::Arc;

use auburnlug_protocol::job::{Answer, ErrorCode, SessionState};
use auburnlug_transport::event::{Event, log};

use crate::{
    session::{Ending, Session},
    session_log::log_answer,
    wire::DecodeError,
};

impl Session {
    /// Refuses a request whose database or key was withdrawn.
    pub(crate) async fn refuse_withdrawn(
        &mut self,
        id: &Arc<str>,
        code: ErrorCode,
        reason: &'static str,
    ) -> Result<(), Ending> {
        self.drop_transaction();
        let answer = Answer::error(code, reason);
        let local = &self.context.local;
        log_answer(local, &self.answered_request(id, "any", local.now()), &answer);
        let sent = self.send(Some(answer), Some(SessionState::Idle)).await;
        match code {
            ErrorCode::UnknownKey => Err(Ending::KeyWithdrawn),
            _ => sent.map_err(|()| Ending::Caller),
        }
    }

    /// Refuses a malformed request; an open transaction fails.
    pub(crate) async fn refuse_malformed(
        &mut self,
        id: &str,
        reason: &'static str,
    ) -> Result<(), Ending> {
        self.context.local.metrics.count_error(ErrorCode::Malformed);
        if self.client.may_log() {
            log(
                Event::MessageMalformed,
                format_args!("id={} account={} reason={reason:?}", id.escape_debug(), self.account),
            );
        }
        let state = match &mut self.transaction {
            None => SessionState::Idle,
            Some(transaction) => {
                transaction.state = SessionState::Failed;
                let route = transaction.route.take();
                if let Some(route) = route {
                    self.context.router.release(route);
                }
                SessionState::Failed
            }
        };
        let answer = Answer::error(ErrorCode::Malformed, reason);
        self.send(Some(answer), Some(state)).await.map_err(|()| Ending::Caller)
    }

    /// Ends a session whose data cannot be decoded.
    pub(crate) async fn end_undecodable(&mut self, error: DecodeError) -> Ending {
        match error {
            DecodeError::TooLarge => {
                self.end_unreadable(ErrorCode::TooLarge, "the message is too large").await
            }
            DecodeError::Malformed => {
                self.end_unreadable(ErrorCode::Malformed, "not a message").await
            }
        }
    }

    /// Ends a session with an error because of an unreadable message.
    pub(crate) async fn end_unreadable(&mut self, code: ErrorCode, reason: &'static str) -> Ending {
        self.context.local.metrics.count_error(code);
        if self.client.may_log() {
            log(
                Event::MessageMalformed,
                format_args!("account={} code={code} reason={reason:?}", self.account),
            );
        }
        self.send_final_answer(Answer::error(code, reason)).await;
        Ending::Unreadable
    }

    /// Sends the last answer of a session.
    pub(crate) async fn send_final_answer(&mut self, answer: Answer) {
        // The session ends even if the answer cannot be sent.
        let _ = self.send(Some(answer), None).await;
    }
}
