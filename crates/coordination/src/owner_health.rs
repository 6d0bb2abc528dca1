//! Responsiveness of a connection owner, as another entry observes it.
//!
//! A frozen or cut-off owner sends nothing, and what is sent to it waits in vain. An avoidance of a
//! fixed length makes the statements that arrive just after it wait again, and those that may run
//! only once wait until their time-out. So an owner that fell silent stays avoided until it sends
//! something or a link to it opens. Until then, one job at a time tests it: a job that another
//! owner can run as well. While there is no link, opening one is the test.
//!
//! An owner may also answer while it cannot use one of its servers: a partition lies between the
//! two. Another owner of the server gets its jobs meanwhile, by the same rules.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Name};

/// Time without any message after a job was sent, from which an owner counts as silent. Most
/// statements are answered sooner, also between regions.
pub const OWNER_SILENCE_LIMIT_MS: Millis = 300;

/// Time between the first test of an avoided owner and the loss before it. It doubles up to
/// [`MAX_TEST_INTERVAL_MS`] with each test that fails.
const MIN_TEST_INTERVAL_MS: Millis = 500;

/// Maximum time between two tests of an avoided owner.
const MAX_TEST_INTERVAL_MS: Millis = 2_000;

/// Time after the last test was due from which a path to a server is forgotten.
const PATH_EXPIRY_MS: Millis = 10_000;

/// Responsiveness of one connection owner.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OwnerHealth {
    /// Time at which the oldest job was sent after the last message from the owner.
    awaiting_since: Option<Millis>,
    /// Time of the next test; `None` if the owner is not avoided.
    next_test: Option<Millis>,
    failed_tests: u32,
}

impl OwnerHealth {
    /// Records that a job was sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Records that no job is awaited any more.
    pub fn record_idle(&mut self) {
        self.awaiting_since = None;
    }

    /// Records a message from the owner or the opening of a link to it. Returns whether it was
    /// avoided until now.
    pub fn record_sign(&mut self) -> bool {
        let was_avoided = self.next_test.is_some();
        *self = OwnerHealth::default();
        was_avoided
    }

    /// Records that the owner did not answer in time, or that no link to it is open. Returns
    /// whether it was not avoided until now.
    pub fn record_loss(&mut self, now: Millis) -> bool {
        let newly_lost = self.next_test.is_none();
        // Several jobs that wait for the same owner report one loss.
        if self.next_test.is_none_or(|next| now >= next) {
            let interval = MIN_TEST_INTERVAL_MS << self.failed_tests.min(4);
            self.next_test = Some(now + interval.min(MAX_TEST_INTERVAL_MS));
            self.failed_tests += 1;
        }
        newly_lost
    }

    /// Whether other owners are preferred.
    pub fn is_avoided(&self, now: Millis) -> bool {
        let silent = self.awaiting_since.is_some_and(|since| now >= since + OWNER_SILENCE_LIMIT_MS);
        self.next_test.is_some() || silent
    }

    /// Claims the test of an avoided owner that is due; false if none is due. The next one is due
    /// only after a further interval.
    pub fn claim_test(&mut self, now: Millis) -> bool {
        let due = self.next_test.is_some_and(|next| now >= next);
        if due || (self.next_test.is_none() && self.is_avoided(now)) {
            self.record_loss(now);
        }
        due
    }
}

/// Responsiveness of all connection owners and of their paths to servers.
#[derive(Debug, Default)]
pub struct OwnerRecords {
    owners: BTreeMap<Name, OwnerHealth>,
    paths: BTreeMap<(Name, Arc<str>), OwnerHealth>,
}

/// Connection owners of a server, in the order in which a job tries them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerOrder {
    /// Owners; avoided ones are last.
    pub names: Vec<Name>,
    /// Owner to which a link should be opened without waiting for it.
    pub dial: Option<Name>,
    /// Whether the job tests an avoided owner.
    pub tests: bool,
}

impl OwnerRecords {
    /// Records of an owner.
    pub fn owner(&mut self, name: &Name) -> &mut OwnerHealth {
        self.owners.entry(name.clone()).or_default()
    }

    /// Records whether an owner could use a server. Returns whether other owners of the server are
    /// preferred from now on.
    pub fn record_path(
        &mut self,
        name: &Name,
        server: &Arc<str>,
        usable: bool,
        now: Millis,
    ) -> bool {
        let key = (name.clone(), server.clone());
        if usable {
            self.paths.remove(&key);
            return false;
        }
        self.paths.retain(|_, path| path.next_test.is_some_and(|at| now < at + PATH_EXPIRY_MS));
        self.paths.entry(key).or_default().record_loss(now)
    }

    /// Orders the owners of a server for a job. An avoided owner is tested only if another one can
    /// run the job afterwards: `run_once` is false, and one is not avoided.
    pub fn order(
        &mut self,
        server: &Arc<str>,
        owners: Vec<Name>,
        is_linked: impl Fn(&Name) -> bool,
        run_once: bool,
        now: Millis,
    ) -> OwnerOrder {
        let path = |name: &Name| (name.clone(), server.clone());
        let is_avoided = |name: &Name| {
            let avoided = |health: &OwnerHealth| health.is_avoided(now);
            self.owners.get(name).is_some_and(avoided)
                || self.paths.get(&path(name)).is_some_and(avoided)
        };
        let (avoided, mut names): (Vec<Name>, Vec<Name>) =
            owners.iter().cloned().partition(is_avoided);
        if avoided.is_empty() || names.is_empty() {
            return OwnerOrder { names: owners, dial: None, tests: false };
        }
        let (mut dial, mut tests) = (None, false);
        for name in avoided {
            let linked = is_linked(&name);
            let may_test = !tests && (!linked || !run_once);
            let health = self.owners.get_mut(&name).filter(|health| health.is_avoided(now));
            let health = health.or_else(|| self.paths.get_mut(&path(&name)));
            let due = may_test && health.is_some_and(|health| health.claim_test(now));
            if due && linked {
                names.insert(0, name);
                tests = true;
                continue;
            }
            if due {
                dial = Some(name.clone());
            }
            names.push(name);
        }
        OwnerOrder { names, dial, tests }
    }
}
