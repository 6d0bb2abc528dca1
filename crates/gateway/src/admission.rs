//! Admission control: admits the operations of callers by the rates of their client accounts.

use std::{rc::Rc, sync::Arc};

use auburnlug_protocol::job::{Answer, ErrorCode};
use auburnlug_state::Millis;

use crate::{local_state::LocalState, relay::Relay};

/// Time after which no further regional limiter is asked: a typical latency objective, less some time
/// for the statement.
const LIMITERS_TIMEOUT_MS: Millis = 700;

/// Admits operations locally or through a regional limiter.
pub struct Admission {
    local: Rc<LocalState>,
    relay: Rc<Relay>,
}

impl Admission {
    /// Admission control of this entry; `relay` reaches regional limiters.
    pub fn new(local: Rc<LocalState>, relay: Rc<Relay>) -> Admission {
        Admission { local, relay }
    }

    /// Admits an operation of a client account. If no regional limiter answers, the entry requests a
    /// token from the control leader.
    ///
    /// # Errors
    ///
    /// The rate of the account does not admit another operation; the answer to the caller.
    pub async fn admit(&self, account: &Arc<str>) -> Result<(), Answer> {
        if !self.local.is_rate_limited(account) || self.take_token(account).await {
            return Ok(());
        }
        let usage = self.local.describe_rate(account);
        Err(Answer::error(ErrorCode::Busy, format!("rate of the client account: {usage}")))
    }

    async fn take_token(&self, account: &Arc<str>) -> bool {
        let limiters = self.local.regional_limiters(account);
        if !limiters.is_empty() {
            self.local.record_forwarded(account);
        }
        let started = self.local.now();
        for delegate in limiters {
            if self.local.now() >= started + LIMITERS_TIMEOUT_MS {
                break;
            }
            if let Some(admitted) = self.relay.claim_token(&delegate, account).await {
                return admitted;
            }
        }
        self.local.admit(account).await
    }
}
