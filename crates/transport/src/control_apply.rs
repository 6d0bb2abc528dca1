//! Applies committed entries from this member's log or from the leader's updates.

use std::sync::Arc;

use auburnlug_coordination::raft::{Entry, Payload};
use auburnlug_state::{Applied, Command, Index, Machine, byte_size::ByteSize, limits};

use crate::{
    control_core::Core,
    control_member::Member,
    event::{Event, log},
    view::View,
};

/// Committed commands kept for instances that lag; those that lag further get a snapshot. Fewer are
/// kept if they are larger than [`limits::MIN_RETAINED_BYTES`] together.
const MAX_RECENT_COMMANDS: usize = 4_096;

impl Core {
    pub(crate) fn apply_committed(&mut self, entries: Vec<Entry>) {
        let mut answers = Vec::new();
        // The outcome of an entry on a single disk stays unknown.
        let alone = self.member.as_ref().is_some_and(Member::leads_alone);
        for entry in entries {
            let applied = self.apply_entry(&entry);
            if let Some(pending) = self.pending.remove(&entry.index) {
                answers.push((
                    pending.waiter,
                    applied.filter(|_| pending.term == entry.term && !alone),
                ));
            }
        }
        self.publish_view();
        self.push_updates();
        for (waiter, applied) in answers {
            self.answer(waiter, applied);
        }
    }

    /// Applies one entry of this member's log, unless the machine already contains it: before this
    /// member joined the group, updates from the leader may have moved the machine ahead of the
    /// log. Moving the index back would apply later entries twice.
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
        self.record_applied(entry.index, command.clone(), &applied);
        Some(applied)
    }

    fn record_applied(&mut self, index: Index, command: Command, applied: &Applied) {
        log_applied(&command, applied);
        // Only a control member can become leader and send them to others. They are not kept
        // elsewhere, as a published template may take 1 MiB.
        if self.member.is_none() {
            return;
        }
        self.recent_bytes += command.byte_size();
        self.recent_commands.push_back((index, command));
        while self.recent_commands.len() > MAX_RECENT_COMMANDS
            || (self.recent_bytes > limits::MIN_RETAINED_BYTES && self.recent_commands.len() > 1)
        {
            let Some((_, oldest)) = self.recent_commands.pop_front() else { break };
            self.recent_bytes -= oldest.byte_size();
        }
    }

    /// Whether this instance derives its state from its own log. It then ignores updates and
    /// snapshots from the leader, which would run ahead of that log.
    fn uses_own_log(&self) -> bool {
        self.member.as_ref().is_some_and(Member::is_in_group)
    }

    /// Applies committed commands that the leader sent. Commands that are already applied are
    /// skipped, so repeated and overlapping updates are idempotent.
    pub(crate) fn apply_update(
        &mut self,
        after: Index,
        until: Index,
        commands: &[(Index, Command)],
    ) {
        if self.uses_own_log() || after > self.machine.index {
            return;
        }
        let start = self.machine.index;
        for (index, command) in commands.iter().filter(|(index, _)| *index > start) {
            let applied = Arc::make_mut(&mut self.machine).apply(*index, command);
            self.record_applied(*index, command.clone(), &applied);
        }
        if until > self.machine.index {
            Arc::make_mut(&mut self.machine).index = until;
        }
        self.publish_view();
    }

    /// Replaces the state by a snapshot that the leader sent.
    pub(crate) fn apply_snapshot(&mut self, machine: Machine) {
        if !self.uses_own_log() {
            self.replace_machine(machine);
        }
    }

    pub(crate) fn replace_machine(&mut self, machine: Machine) {
        if machine.index > self.machine.index {
            self.machine = Arc::new(machine);
            self.recent_commands.clear();
            self.recent_bytes = 0;
            self.publish_view();
        }
    }

    pub(crate) fn publish_view(&mut self) {
        self.lease_holder.record_applied(self.machine.index);
        self.publish_lease();
        let machine = self.machine.clone();
        self.outputs.view.send_modify(|view| {
            let mut next = View::clone(view);
            next.releasing.retain(|shard, epoch| {
                machine.shards.get(shard).is_some_and(|owner| owner.epoch == *epoch)
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
