//! Transactions of a session: their state, and the route on which their statements run.

use std::sync::Arc;

use auburnlug_protocol::job::{Answer, ErrorCode, SessionState, StatementText, TransactionStep};
use auburnlug_state::{Millis, fleet::Database};

use crate::{relay::TransactionRoute, session::Session};

/// Transaction of a session.
pub(crate) struct Transaction {
    pub(crate) state: SessionState,
    pub(crate) read_only: bool,
    pub(crate) database: Database,
    /// Arrival time of the first request.
    pub(crate) arrival: Millis,
    /// Route of the statements; `None` before the first one.
    pub(crate) route: Option<TransactionRoute>,
    pub(crate) has_written: bool,
}

impl Session {
    pub(crate) fn begin_transaction(
        &mut self,
        database: Database,
        read_only: bool,
        arrival: Millis,
    ) {
        self.transaction = Some(Transaction {
            state: SessionState::Open,
            read_only,
            database,
            arrival,
            route: None,
            has_written: false,
        });
    }

    /// Runs a statement or the commit of the open transaction.
    pub(crate) async fn run_in_transaction(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        text: StatementText,
        writes: bool,
        commits: bool,
    ) -> (Answer, SessionState) {
        let Some(mut transaction) = self.transaction.take() else {
            return (
                Answer::error(ErrorCode::Malformed, "no transaction is open"),
                SessionState::Idle,
            );
        };
        let route = transaction.route.take();
        let step = match route {
            Some(_) => TransactionStep::Next,
            None => TransactionStep::First { read_only: transaction.read_only },
        };
        let arrived = if route.is_some() { arrival } else { transaction.arrival };
        // The configuration may have changed since the transaction was opened.
        if route.is_none()
            && let Ok(database) = self.check_access()
        {
            transaction.database = database;
        }
        let mut task =
            self.build_task(id, &transaction.database, step, text, writes || commits, arrived);
        task.job.commits = commits;
        transaction.has_written |= writes;
        let (answer, route) = match route {
            Some(route) => self.context.router.run_next(route, task).await,
            None => self.context.router.run_first(task).await,
        };
        if commits {
            if let Some(route) = route {
                self.context.router.release(route);
            }
            if answer.code().is_none() && transaction.has_written {
                self.commit_position = self.commit_position.max(answer.position);
            }
            return (answer, SessionState::Idle);
        }
        let failed = answer.code().is_some() || route.is_none();
        if failed {
            if let Some(route) = route {
                self.context.router.release(route);
            }
            transaction.state = SessionState::Failed;
        } else {
            transaction.route = route;
        }
        let state = transaction.state;
        self.transaction = Some(transaction);
        (answer, state)
    }

    pub(crate) async fn commit(
        &mut self,
        id: &Arc<str>,
        arrival: Millis,
        text: Arc<str>,
    ) -> (Answer, SessionState) {
        self.run_in_transaction(id, arrival, StatementText::Plain(text), false, true).await
    }

    /// Rolls back the open transaction, if any.
    pub(crate) fn drop_transaction(&mut self) {
        if let Some(route) = self.transaction.take().and_then(|mut t| t.route.take()) {
            self.context.router.release(route);
        }
    }
}
