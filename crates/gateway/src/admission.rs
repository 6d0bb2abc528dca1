//! Admits the operations of callers by the rates of their client accounts.

use std::{rc::Rc, sync::Arc};

use crate::{local::Local, relay::Relay};

/// Admits operations here or by a delegate.
pub struct Admission {
    local: Rc<Local>,
    relay: Rc<Relay>,
}

impl Admission {
    /// Admission at this entry; `relay` reaches delegates.
    pub fn new(local: Rc<Local>, relay: Rc<Relay>) -> Admission {
        Admission { local, relay }
    }

    /// Whether the rate of a client account covers another operation. If none of the delegates
    /// answers, the control leader is asked.
    pub async fn admit(&self, account: &Arc<str>) -> bool {
        if !self.local.limited(account) {
            return true;
        }
        let delegates = self.local.delegates(account);
        if !delegates.is_empty() {
            self.local.pass(account);
        }
        for delegate in delegates {
            if let Some(admitted) = self.relay.claim(&delegate, account).await {
                return admitted;
            }
        }
        self.local.admit(account).await
    }
}
