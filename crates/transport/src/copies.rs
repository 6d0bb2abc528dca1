//! Copies of request ids that this instance keeps as the standby of other instances' groups.
//!
//! A copy must not be used once its owner may have stored ids elsewhere. The owner voids the copy
//! of an instance before it relies on another one, unless the instance has left the replicated
//! state. An instance leaves only after its lease has ended, so all copies are dropped when that
//! happens.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::dedup::{Entry, Intents, Key};
use auburnlug_protocol::peer::{Answer, Copied, Traffic};
use auburnlug_state::{Millis, Name, Shard};
use tokio::time::sleep;

use crate::{
    forward::lock,
    group::{MAX_ANSWERS, MAX_REQUESTS},
    view::Control,
};

/// Time between two looks at the lease; well below its length, so that each renewal is seen.
const TICK: Duration = Duration::from_millis(100);

/// Ids are kept for twice as long as at the owner.
const MAX_INTENTS: usize = 2 * MAX_REQUESTS;

/// Copies by group.
pub(crate) struct Copies {
    control: Arc<dyn Control>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// End of the lease at the last look.
    until: Millis,
    /// Number of the next table.
    next: u64,
    copies: BTreeMap<Name, Copy>,
    /// Epochs under which this instance took groups over; older owners store nothing any more.
    floors: BTreeMap<Name, u64>,
}

struct Copy {
    epoch: u64,
    table: u64,
    intents: Intents<Answer>,
}

impl Copies {
    pub(crate) fn new(control: Arc<dyn Control>) -> Copies {
        Copies { control, state: Mutex::default() }
    }

    /// Watches the lease.
    pub(crate) async fn watch(self: Arc<Self>) {
        loop {
            self.look(&mut lock(&self.state));
            sleep(TICK).await;
        }
    }

    /// Handles a message of the instance `peer`, and returns the answer to it.
    pub(crate) fn take(&self, peer: &Name, message: Traffic) -> Option<Traffic> {
        match message {
            Traffic::Intent { id, group, epoch, keys } => {
                let stored = self.change(peer, &group, epoch, |copy, now| {
                    keys.iter().all(|(account, id)| copy.intents.store(account, id, now))
                });
                Some(answer(id, stored))
            }
            Traffic::Fill { id, group, epoch, table, entries } => {
                let filled = self.change(peer, &group, epoch, |copy, now| {
                    copy.table == table && copy.intents.fill(sized(entries), now)
                });
                Some(answer(id, filled))
            }
            Traffic::Void { id, group, epoch } => {
                lock(&self.state).copies.retain(|name, copy| *name != group || copy.epoch > epoch);
                Some(answer(id, self.change(peer, &group, epoch, |_, _| true)))
            }
            Traffic::Ended { group, epoch, answers } => {
                self.change(peer, &group, epoch, |copy, _| {
                    for ((account, id), answer) in answers {
                        let size = answer.messages.len();
                        copy.intents.finish(account, id, answer, size);
                    }
                    true
                });
                None
            }
            _ => None,
        }
    }

    /// Takes the complete copy of the owner under `former` for this instance, the owner under
    /// `epoch`; messages of former owners have no effect from now on.
    pub(crate) fn resume(
        &self,
        group: &Name,
        former: u64,
        epoch: u64,
    ) -> Option<Vec<Entry<Answer>>> {
        let now = self.control.now();
        let mut state = lock(&self.state);
        self.look(&mut state);
        state.floors.insert(group.clone(), epoch);
        let copy = state.copies.remove(group)?;
        (copy.epoch == former).then(|| copy.intents.export(now))?
    }

    /// Changes the copy of the group under `epoch`; `edit` is false if there is no room.
    fn change(
        &self,
        peer: &Name,
        group: &Name,
        epoch: u64,
        edit: impl FnOnce(&mut Copy, Millis) -> bool,
    ) -> (u64, Copied) {
        let now = self.control.now();
        let mut state = lock(&self.state);
        let held = self.look(&mut state);
        let view = self.control.view().borrow().clone();
        // Where this instance's view is older than the owner's, the owner is believed.
        let holder = view.machine.shards.get(&Shard::Group(group.clone()));
        let stale = holder.is_some_and(|holder| {
            let other = holder.instance.as_ref() != Some(peer);
            holder.epoch > epoch || (holder.epoch == epoch && other)
        });
        let newer = state.copies.get(group).is_some_and(|copy| copy.epoch > epoch)
            || state.floors.get(group).is_some_and(|floor| *floor >= epoch);
        if stale || newer || !held {
            return (0, Copied::Stale);
        }
        let table = state.number();
        let copy =
            state.copies.entry(group.clone()).or_insert_with(|| Copy::new(epoch, table, now));
        if copy.epoch < epoch {
            *copy = Copy::new(epoch, table, now);
        }
        let copied = match edit(copy, now) {
            false => Copied::Full,
            true if copy.intents.is_complete(now) => Copied::Complete,
            true => Copied::Partial,
        };
        (copy.table, copied)
    }

    /// Drops all copies if the lease may have ended since the last look; tells whether one is held.
    fn look(&self, state: &mut State) -> bool {
        let now = self.control.now();
        let lease = self.control.lease();
        if now >= state.until || now >= lease {
            state.copies.clear();
        }
        state.until = lease;
        now < state.until
    }
}

impl State {
    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

impl Copy {
    fn new(epoch: u64, table: u64, now: Millis) -> Copy {
        Copy { epoch, table, intents: Intents::new(MAX_INTENTS, MAX_ANSWERS, now) }
    }
}

fn answer(id: u64, (table, copy): (u64, Copied)) -> Traffic {
    Traffic::Stored { id, table, copy }
}

fn sized(entries: Vec<(Key, Option<Answer>)>) -> Vec<Entry<Answer>> {
    let size = |answer: Answer| {
        let size = answer.messages.len();
        (answer, size)
    };
    entries.into_iter().map(|(key, answer)| (key, answer.map(size))).collect()
}
