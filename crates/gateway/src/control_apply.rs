//! Work that a step of the control member leaves: messages to send, entries to apply, and changes of
//! the leadership.

use auburnlug_coordination::raft::{Entry, Payload};
use auburnlug_state::{Applied, Command, fleet::FleetChange};
use auburnlug_transport::{
    control_member::Work,
    event::{Event, log},
};

use crate::{
    control::{Control, PendingProposal},
    control_handle::ControlReply,
    control_lead::Leader,
    control_log::{log_applied, records_backend, records_entries, records_promotion},
};

/// Kinds of entries that a step has applied.
#[derive(Debug, Default)]
struct AppliedKinds {
    any: bool,
    /// Entries of the fleet were registered or removed.
    entries: bool,
    /// A promotion to order was recorded.
    promotion: bool,
}

impl Control {
    /// Makes pending Raft changes durable, sends messages and applies committed entries.
    pub(crate) fn persist_and_apply(&mut self) -> auburnlug_transport::Result<()> {
        let now = self.now();
        let before = self.fleet().plan.version;
        let mut applied = AppliedKinds::default();
        loop {
            let work = self.member.step(now)?;
            let more = work.more;
            self.apply_work(work, &mut applied)?;
            if !more {
                break;
            }
        }
        self.update_leadership();
        if applied.any {
            self.publish_fleet_changes(before);
        }
        if applied.entries {
            self.handle_recorded_entries();
        }
        if applied.promotion {
            self.monitor_groups(now);
        }
        Ok(())
    }

    fn apply_work(
        &mut self,
        work: Work,
        applied: &mut AppliedKinds,
    ) -> auburnlug_transport::Result<()> {
        for (to, message) in work.messages {
            self.send_member(&to, message);
        }
        if let Some(machine) = work.machine
            && machine.index >= self.machine.index
        {
            self.machine = machine;
            self.configs.store(&self.machine.fleet.plan);
        }
        if work.committed.is_empty() {
            return Ok(());
        }
        applied.any = true;
        applied.entries |= work.committed.iter().any(records_entries);
        applied.promotion |= work.committed.iter().any(records_promotion);
        for entry in work.committed {
            self.apply_entry(entry);
        }
        self.member.compact(&self.machine)?;
        self.metrics.config_version.set(self.fleet().plan.version);
        Ok(())
    }

    fn apply_entry(&mut self, entry: Entry) {
        let fresh = entry.index > self.replayed_index;
        if let Payload::Members(members) = &entry.payload
            && fresh
        {
            log(
                Event::MembersChanged,
                format_args!("voters={:?} learners={:?}", members.voters, members.learners),
            );
        }
        let applied = match &entry.payload {
            Payload::Command(command) => Some(self.machine.apply(entry.index, command)),
            _ => {
                self.machine.index = self.machine.index.max(entry.index);
                None
            }
        };
        self.configs.store(&self.machine.fleet.plan);
        if let Payload::Command(Command::Fleet(change)) = &entry.payload
            && fresh
        {
            log_applied(change, applied.as_ref());
        }
        if let Some(PendingProposal { term, reply: Some(reply), .. }) =
            self.proposals.remove(&entry.index)
        {
            // An entry of another term at this index is not this proposal, whose outcome stays
            // unknown, as does that of an entry on a single disk.
            let is_safe = term == entry.term && !self.member.leads_alone();
            let is_unused = records_backend(&entry) && applied == Some(Applied::Stale);
            let begun = match &entry.payload {
                Payload::Command(Command::Fleet(FleetChange::Evacuate { domain, begin: true })) => {
                    Some(domain)
                }
                _ => None,
            };
            match (begun, &mut self.leader) {
                (Some(domain), Some(leader)) if is_safe => {
                    leader.wait_for_evacuation(domain, reply, self.clock.now());
                }
                (None, _) if is_safe && !is_unused => drop(reply.send(ControlReply::Done(()))),
                _ => drop(reply.send(ControlReply::Unavailable)),
            }
        }
    }

    fn update_leadership(&mut self) {
        let leads = self.member.leads(self.now());
        let is_lost =
            |leader: &Leader| !self.member.leads_term() || leader.term != self.member.term();
        let lost = self.leader.as_ref().is_some_and(is_lost);
        if leads && self.leader.is_none() {
            self.start_leading();
        } else if lost && let Some(leader) = self.leader.take() {
            log(Event::LeaderLost, format_args!("term={}", self.member.term()));
            leader.lease.set_end(None);
            for (_, proposal) in std::mem::take(&mut self.proposals) {
                if let Some(reply) = proposal.reply {
                    let _ = reply.send(ControlReply::Unavailable);
                }
            }
        }
        if let Some(leader) = &self.leader {
            leader.lease.set_end(self.member.lease_end());
        }
    }
}
