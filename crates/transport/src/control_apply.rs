//! Applies committed entries, from the own log or from the leader's updates.

use std::sync::Arc;

use auburnlug_coordination::raft::{Entry, Payload};
use auburnlug_state::{Applied, Command, Index, Machine};

use crate::{
    control_core::Core,
    control_member::Member,
    event::{Event, log},
    view::View,
};

/// Committed commands kept for instances that lag behind; others get the whole state.
const RECENT: usize = 4_096;

impl Core {
    pub(crate) fn commit(&mut self, entries: Vec<Entry>) {
        let mut answers = Vec::new();
        for entry in entries {
            let applied = self.apply_entry(&entry);
            if let Some(pending) = self.pending.remove(&entry.index) {
                answers.push((pending.waiter, applied.filter(|_| pending.term == entry.term)));
            }
        }
        self.publish_view();
        self.push_updates();
        for (waiter, applied) in answers {
            self.answer(waiter, applied);
        }
    }

    /// An update may have brought the machine further than the own log, while this member was
    /// not yet part of the group. Entries up to there are left out: setting the index back would
    /// apply later ones twice.
    fn apply_entry(&mut self, entry: &Entry) -> Option<Applied> {
        if let Payload::Members(members) = &entry.payload {
            log(
                Event::MembersChanged,
                format_args!("voters {:?}, learners {:?}", members.voters, members.learners),
            );
        }
        if entry.index <= self.machine.index {
            return None;
        }
        let machine = Arc::make_mut(&mut self.machine);
        let Payload::Command(command) = &entry.payload else {
            machine.index = entry.index;
            return None;
        };
        let applied = machine.apply(entry.index, command);
        self.note(entry.index, command.clone(), &applied);
        Some(applied)
    }

    fn note(&mut self, index: Index, command: Command, applied: &Applied) {
        log_applied(&command, applied);
        // Only a leader sends them to others; a published template may be 1 MiB long.
        if self.member.is_none() {
            return;
        }
        self.recent.push_back((index, command));
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }

    /// Whether this instance derives its state from its own log. What a leader sends it besides
    /// would run ahead of that log.
    fn agrees(&self) -> bool {
        self.member.as_ref().is_some_and(Member::agrees)
    }

    /// Applies committed commands that the leader sent. Those that are already applied are left
    /// out, so that repeated and overlapping updates have no effect.
    pub(crate) fn update(&mut self, after: Index, until: Index, commands: &[(Index, Command)]) {
        if self.agrees() || after > self.machine.index {
            return;
        }
        let start = self.machine.index;
        for (index, command) in commands.iter().filter(|(index, _)| *index > start) {
            let applied = Arc::make_mut(&mut self.machine).apply(*index, command);
            self.note(*index, command.clone(), &applied);
        }
        if until > self.machine.index {
            Arc::make_mut(&mut self.machine).index = until;
        }
        self.publish_view();
    }

    /// Takes the whole state that the leader sent.
    pub(crate) fn copy(&mut self, machine: Machine) {
        if !self.agrees() {
            self.replace(machine);
        }
    }

    pub(crate) fn replace(&mut self, machine: Machine) {
        if machine.index > self.machine.index {
            self.machine = Arc::new(machine);
            self.recent.clear();
            self.publish_view();
        }
    }

    pub(crate) fn publish_view(&mut self) {
        self.holder.applied(self.machine.index);
        self.publish_lease();
        let machine = self.machine.clone();
        self.outputs.view.send_modify(|view| {
            let mut next = View::clone(view);
            next.release.retain(|shard, epoch| {
                machine.shards.get(shard).is_some_and(|holder| holder.epoch == *epoch)
            });
            next.machine = machine;
            *view = Arc::new(next);
        });
    }
}

fn log_applied(command: &Command, applied: &Applied) {
    match (command, applied) {
        (Command::Configure(change), Applied::Changed(version)) => log(
            Event::ConfigApplied,
            format_args!("version {version}, change {} by {}", change.id, change.operator),
        ),
        (Command::Configure(change), refused) => {
            log(Event::ChangeRefused, format_args!("change {}: {refused:?}", change.id));
        }
        (Command::Assign { shard, instance, epoch }, Applied::Done) => {
            log(Event::ShardAssigned, format_args!("{shard} to {instance:?} after epoch {epoch}"));
        }
        (Command::Register(instance), Applied::Done) => {
            log(Event::InstanceRegistered, format_args!("{}", instance.name));
        }
        (Command::Remove { instance, .. }, Applied::Done) => {
            log(Event::InstanceRemoved, format_args!("{instance}"));
        }
        (Command::Announce(server), Applied::Done) => log(
            Event::ServerRecorded,
            format_args!("{} of group {} at {}", server.name, server.group, server.address),
        ),
        _ => {}
    }
}
