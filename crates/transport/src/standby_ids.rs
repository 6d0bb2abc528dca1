//! Copies of request ids that this instance keeps as the standby of other instances' groups.
//!
//! A copy must not be used once its owner may have stored ids at another standby. The owner voids
//! the copy of an instance before it relies on another one, unless the instance was removed from
//! the replicated state. That happens only after the end of its lease, so all copies are dropped
//! when the lease ends.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::dedup::{IntentTable, RequestEntry, RequestKey};
use auburnlug_protocol::peer::{Answer, TableState, TrafficMessage};
use auburnlug_state::{Millis, Name, Shard};
use tokio::time::sleep;

use crate::{
    forwarder::lock,
    group::{MAX_REQUEST_IDS, MAX_STORED_ANSWER_BYTES},
    view::Control,
};

/// Well below the length of the lease, so that each renewal is seen.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Twice the bound at the owner, because ids are kept for twice as long as there.
const MAX_STORED_INTENTS: usize = 2 * MAX_REQUEST_IDS;

/// Copies by group.
pub(crate) struct StandbyIds {
    control: Arc<dyn Control>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// End of the lease at the last check.
    lease_end: Millis,
    /// Number of the next table.
    next_table: u64,
    copies: BTreeMap<Name, GroupCopy>,
    /// Epochs under which this instance took groups over; messages of older owners are refused.
    min_epochs: BTreeMap<Name, u64>,
}

struct GroupCopy {
    epoch: u64,
    table: u64,
    intents: IntentTable<Answer>,
}

impl StandbyIds {
    pub(crate) fn new(control: Arc<dyn Control>) -> StandbyIds {
        StandbyIds { control, state: Mutex::default() }
    }

    /// Checks the lease periodically.
    pub(crate) async fn watch_lease(self: Arc<Self>) {
        loop {
            self.check_lease(&mut lock(&self.state));
            sleep(LEASE_CHECK_INTERVAL).await;
        }
    }

    /// Handles a message of the instance `peer`, and returns the answer to it.
    pub(crate) fn handle_message(
        &self,
        peer: &Name,
        message: TrafficMessage,
    ) -> Option<TrafficMessage> {
        match message {
            TrafficMessage::Intent { id, group, epoch, keys } => {
                let stored = self.update_copy(peer, &group, epoch, |copy, now| {
                    keys.iter().all(|(account, id)| copy.intents.store(account, id, now))
                });
                Some(stored_answer(id, stored))
            }
            TrafficMessage::Fill { id, group, epoch, table, entries } => {
                let filled = self.update_copy(peer, &group, epoch, |copy, now| {
                    copy.table == table && copy.intents.fill(with_sizes(entries), now)
                });
                Some(stored_answer(id, filled))
            }
            TrafficMessage::Void { id, group, epoch } => {
                lock(&self.state).copies.retain(|name, copy| *name != group || copy.epoch > epoch);
                Some(stored_answer(id, self.update_copy(peer, &group, epoch, |_, _| true)))
            }
            TrafficMessage::Ended { group, epoch, answers } => {
                self.update_copy(peer, &group, epoch, |copy, _| {
                    for ((account, id), answer) in answers {
                        let size = answer.messages.len();
                        copy.intents.record_answer(account, id, answer, size);
                    }
                    true
                });
                None
            }
            _ => None,
        }
    }

    /// Removes and returns the complete copy of the owner under `former`, for this instance as the
    /// owner under `epoch`. From now on, messages of former owners are refused.
    pub(crate) fn take_over(
        &self,
        group: &Name,
        former: u64,
        epoch: u64,
    ) -> Option<Vec<RequestEntry<Answer>>> {
        let now = self.control.now();
        let mut state = lock(&self.state);
        self.check_lease(&mut state);
        state.min_epochs.insert(group.clone(), epoch);
        let copy = state.copies.remove(group)?;
        (copy.epoch == former).then(|| copy.intents.export(now))?
    }

    /// Changes the copy of the group under `epoch`; `edit` returns false if the table is full.
    fn update_copy(
        &self,
        peer: &Name,
        group: &Name,
        epoch: u64,
        edit: impl FnOnce(&mut GroupCopy, Millis) -> bool,
    ) -> (u64, TableState) {
        let now = self.control.now();
        let mut state = lock(&self.state);
        let lease_valid = self.check_lease(&mut state);
        let view = self.control.view().borrow().clone();
        // If this instance's view is older than the owner's, the message is accepted.
        let holder = view.machine.shards.get(&Shard::Group(group.clone()));
        let stale = holder.is_some_and(|holder| {
            let other = holder.instance.as_ref() != Some(peer);
            holder.epoch > epoch || (holder.epoch == epoch && other)
        });
        let newer = state.copies.get(group).is_some_and(|copy| copy.epoch > epoch)
            || state.min_epochs.get(group).is_some_and(|min_epoch| *min_epoch >= epoch);
        if stale || newer || !lease_valid {
            return (0, TableState::Stale);
        }
        let table = state.take_number();
        let copy =
            state.copies.entry(group.clone()).or_insert_with(|| GroupCopy::new(epoch, table, now));
        if copy.epoch < epoch {
            *copy = GroupCopy::new(epoch, table, now);
        }
        let copied = match edit(copy, now) {
            false => TableState::Full,
            true if copy.intents.is_complete(now) => TableState::Complete,
            true => TableState::Partial,
        };
        (copy.table, copied)
    }

    /// Drops all copies if the lease may have ended since the last check; returns whether one is
    /// valid now.
    fn check_lease(&self, state: &mut State) -> bool {
        let now = self.control.now();
        let lease = self.control.lease();
        if now >= state.lease_end || now >= lease {
            state.copies.clear();
        }
        state.lease_end = lease;
        now < state.lease_end
    }
}

impl State {
    fn take_number(&mut self) -> u64 {
        self.next_table += 1;
        self.next_table
    }
}

impl GroupCopy {
    fn new(epoch: u64, table: u64, now: Millis) -> GroupCopy {
        GroupCopy {
            epoch,
            table,
            intents: IntentTable::new(MAX_STORED_INTENTS, MAX_STORED_ANSWER_BYTES, now),
        }
    }
}

fn stored_answer(id: u64, (table, copy): (u64, TableState)) -> TrafficMessage {
    TrafficMessage::Stored { id, table, copy }
}

fn with_sizes(entries: Vec<(RequestKey, Option<Answer>)>) -> Vec<RequestEntry<Answer>> {
    let size = |answer: Answer| {
        let size = answer.messages.len();
        (answer, size)
    };
    entries.into_iter().map(|(key, answer)| (key, answer.map(size))).collect()
}
