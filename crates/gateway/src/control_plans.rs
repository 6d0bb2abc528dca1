//! Configurations that were in force, and the changes between them that entries are sent.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_protocol::plan_part::PlanPart;
use auburnlug_state::fleet::Plan;
use auburnlug_transport::event::{Event, log};

/// Configurations kept: the changes that may come while an entry is sent one.
const KEPT: usize = 16;

/// The newest configurations of a control member.
#[derive(Debug)]
pub(crate) struct Plans {
    kept: BTreeMap<u64, Arc<Plan>>,
    /// Parts that lead to the newest configuration, by the version that they start from.
    parts: BTreeMap<u64, Arc<PlanPart>>,
}

impl Plans {
    /// Begins with the configuration in force.
    pub(crate) fn new(plan: &Arc<Plan>) -> Plans {
        Plans { kept: BTreeMap::from([(plan.version, plan.clone())]), parts: BTreeMap::new() }
    }

    /// Takes the configuration in force.
    pub(crate) fn keep(&mut self, plan: &Arc<Plan>) {
        if self.kept.insert(plan.version, plan.clone()).is_none() {
            self.parts.clear();
        }
        while self.kept.len() > KEPT {
            self.kept.pop_first();
        }
    }

    /// What turns the version `held` into the newest one; all of it for a version that is not
    /// kept. `None` if `held` is the newest.
    pub(crate) fn part(&mut self, held: u64) -> Option<Arc<PlanPart>> {
        let (version, newest) = self.kept.last_key_value()?;
        if held >= *version {
            return None;
        }
        let empty = Arc::default();
        let before = self.kept.get(&held).unwrap_or(&empty);
        if let Some(part) = self.parts.get(&before.version) {
            return Some(part.clone());
        }
        match PlanPart::between(before, newest) {
            Ok(part) => {
                let part = Arc::new(part);
                self.parts.insert(part.base, part.clone());
                Some(part)
            }
            Err(e) => {
                log(Event::ConfigApplied, format_args!("version={version} not encoded: {e}"));
                None
            }
        }
    }
}
