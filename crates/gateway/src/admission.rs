//! Admission control: admits the operations of callers by the rates of their client accounts.

use std::{rc::Rc, sync::Arc};

use crate::{local_state::LocalState, relay::Relay};

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

    /// Whether the rate of a client account admits another operation. If no regional limiter
    /// answers, the entry requests a token from the control leader.
    pub async fn admit(&self, account: &Arc<str>) -> bool {
        if !self.local.is_rate_limited(account) {
            return true;
        }
        let limiters = self.local.regional_limiters(account);
        if !limiters.is_empty() {
            self.local.record_forwarded(account);
        }
        for delegate in limiters {
            if let Some(admitted) = self.relay.claim_token(&delegate, account).await {
                return admitted;
            }
        }
        self.local.admit(account).await
    }
}
