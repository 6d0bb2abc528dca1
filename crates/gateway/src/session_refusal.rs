//! Refusals of a session: requests that cannot be understood, and keys and databases that are gone.

use std::sync::Arc;

use auburnlug_protocol::job::{Answer, Code, SessionState};
use auburnlug_transport::event::{Event, log};

use crate::{
    session::{Ending, Session},
    session_log::log_answer,
    wire::Broken,
};

impl Session {
    /// Refuses a request whose database or key is gone.
    pub(crate) async fn withdraw(
        &mut self,
        id: &Arc<str>,
        code: Code,
        reason: &'static str,
    ) -> Result<(), Ending> {
        self.drop_transaction();
        let answer = Answer::error(code, reason);
        let local = &self.shared.local;
        log_answer(local, &self.asked(id, "any", local.now()), &answer);
        let sent = self.send(Some(answer), Some(SessionState::Idle)).await;
        match code {
            Code::UnknownKey => Err(Ending::KeyWithdrawn),
            _ => sent.map_err(|()| Ending::Caller),
        }
    }

    /// Refuses a request that cannot be understood.
    pub(crate) async fn reject(&mut self, id: &str, reason: &'static str) -> Result<(), Ending> {
        self.shared.local.metrics.count_error(Code::Malformed);
        log(
            Event::MessageMalformed,
            format_args!("id={} account={} reason={reason:?}", id.escape_debug(), self.account),
        );
        let state = match &mut self.transaction {
            None => SessionState::Idle,
            Some(transaction) => {
                transaction.state = SessionState::Failed;
                let place = transaction.place.take();
                if let Some(place) = place {
                    self.shared.router.end(place);
                }
                SessionState::Failed
            }
        };
        let answer = Answer::error(Code::Malformed, reason);
        self.send(Some(answer), Some(state)).await.map_err(|()| Ending::Caller)
    }

    pub(crate) async fn broken(&mut self, broken: Broken) -> Ending {
        match broken {
            Broken::TooLarge => self.unreadable(Code::TooLarge, "the message is too large").await,
            Broken::Malformed => self.unreadable(Code::Malformed, "not a message").await,
        }
    }

    pub(crate) async fn unreadable(&mut self, code: Code, reason: &'static str) -> Ending {
        self.shared.local.metrics.count_error(code);
        log(
            Event::MessageMalformed,
            format_args!("account={} code={code} reason={reason:?}", self.account),
        );
        self.refuse(Answer::error(code, reason)).await;
        Ending::Unreadable
    }

    /// Sends the last answer of a session.
    pub(crate) async fn refuse(&mut self, answer: Answer) {
        // The session ends in any case.
        let _ = self.send(Some(answer), None).await;
    }
}
