//! Differences between two configurations of a fleet.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    Millis,
    fleet::{AccountPlan, Database, GroupPlan, Plan},
};

/// What turns one configuration into another. Most changes touch a few of thousands of databases.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanDelta {
    /// Version that it starts from; 0 is the empty configuration.
    pub base: u64,
    /// Version that it leads to.
    pub version: u64,
    #[serde(rename = "d")]
    databases: Changes<Database>,
    #[serde(rename = "g")]
    groups: Changes<GroupPlan>,
    #[serde(rename = "a")]
    accounts: Changes<AccountPlan>,
    #[serde(rename = "i")]
    idle: Millis,
}

/// New values by name; `None` for those that are gone.
type Changes<T> = BTreeMap<Arc<str>, Option<T>>;

impl PlanDelta {
    /// What turns `before` into `after`.
    pub fn between(before: &Plan, after: &Plan) -> PlanDelta {
        PlanDelta {
            base: before.version,
            version: after.version,
            databases: changes(&before.databases, &after.databases),
            groups: changes(&before.groups, &after.groups),
            accounts: changes(&before.accounts, &after.accounts),
            idle: after.idle,
        }
    }

    /// The changed configuration; `None` if `plan` is not of the version that this starts from.
    pub fn apply(&self, plan: &Plan) -> Option<Plan> {
        if plan.version != self.base {
            return None;
        }
        let mut plan = plan.clone();
        plan.version = self.version;
        plan.idle = self.idle;
        replace(&mut plan.databases, &self.databases);
        replace(&mut plan.groups, &self.groups);
        replace(&mut plan.accounts, &self.accounts);
        Some(plan)
    }
}

fn changes<T: Clone + PartialEq>(
    before: &BTreeMap<Arc<str>, T>,
    after: &BTreeMap<Arc<str>, T>,
) -> Changes<T> {
    let gone = before.keys().filter(|name| !after.contains_key(*name));
    let gone = gone.map(|name| (name.clone(), None));
    let new = after.iter().filter(|(name, value)| before.get(*name) != Some(value));
    gone.chain(new.map(|(name, value)| (name.clone(), Some(value.clone())))).collect()
}

fn replace<T: Clone>(values: &mut BTreeMap<Arc<str>, T>, changes: &Changes<T>) {
    for (name, change) in changes {
        match change {
            Some(value) => drop(values.insert(name.clone(), value.clone())),
            None => drop(values.remove(name)),
        }
    }
}
