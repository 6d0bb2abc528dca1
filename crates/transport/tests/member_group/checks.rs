//! Invariants of the simulated group.

use auburnlug_coordination::raft::Payload;
use auburnlug_state::limits;

use super::*;

/// Time within which the group leads again after all processes were killed.
pub const RECOVERY_LIMIT_MS: Millis = 12_000;

/// Age of an answer up to which a voter counts as responsive, and time for which another voter has
/// to be lost before that one must be removed first.
const RESPONSE_AGE_MS: Millis = 1_000;

/// Entries that a member may be behind the last acknowledged one.
const MAX_LAG_ENTRIES: Index = 20;

impl Group {
    pub fn fail(&mut self, text: impl std::fmt::Display) {
        let text = text.to_string();
        self.note(format_args!("VIOLATION {text}"));
        self.violation.get_or_insert(text);
    }

    /// Applies an entry; every member must commit the same one at each index, without gaps.
    pub(super) fn apply(&mut self, instance: &Name, entry: Entry) {
        let index = entry.index;
        let Some(process) = &mut self.instance(instance).process else { return };
        if index != process.machine.index + 1 {
            let applied = process.machine.index;
            return self.fail(format_args!("gap: {instance} applies {index} after {applied}"));
        }
        process.machine.index = index;
        if let Payload::Command(Command::Fleet(change)) = &entry.payload {
            process.machine.fleet.apply(change);
        }
        let acknowledged = process.takes_proposal(index, entry.term);
        let first = self.committed.entry(index).or_insert_with(|| entry.clone());
        if *first != entry {
            return self.fail(format_args!("loss: {instance} commits another entry at {index}"));
        }
        if acknowledged {
            self.acknowledged = self.acknowledged.max(index);
        }
    }

    /// No message and no log exceeds its bound in bytes.
    pub fn check_bytes(&mut self, messages: &[(Name, ControlMessage)]) {
        let Some(document) = self.settings.document else { return };
        let entry = document + 1_000;
        for (to, message) in messages {
            let bytes = message.byte_size();
            if bytes > limits::MESSAGE_BYTES.max(entry) + entry {
                return self.fail(format_args!("bytes: a message of {bytes} to {to}"));
            }
        }
        let most = 3 * limits::log_limit(entry) + limits::UNCOMMITTED_BYTES + entry;
        for (name, state) in &self.instances {
            let bytes = state.disk.log_bytes();
            if bytes > most as u64 {
                let text = format!("bytes: a log of {bytes} at {name}");
                return self.fail(text);
            }
        }
    }

    /// At most one member holds a lease, and it has applied everything that was acknowledged.
    pub(super) fn check_leases(&mut self) {
        let now = self.now;
        let processes = self.instances.iter().filter_map(|(name, state)| {
            let clock_runs = state.suspended.is_none_or(|(_, stops)| !stops);
            clock_runs.then_some((name, state.process.as_ref()?))
        });
        let leading: Vec<(Name, Index)> = processes
            .filter(|(_, process)| process.syncing.is_none() && process.leads(now))
            .map(|(name, process)| (name.clone(), process.machine.index))
            .collect();
        if leading.len() > 1 {
            return self.fail(format_args!("lease: more than one is valid: {leading:?}"));
        }
        let acknowledged = self.acknowledged;
        if let Some((name, index)) = leading.first()
            && *index < acknowledged
        {
            self.fail(format_args!("loss: {name} leads at {index}, acknowledged {acknowledged}"));
        }
    }

    /// A responsive voter is not removed while another voter has been lost for longer.
    pub(super) fn check_change(&mut self, leader: &Name, before: &Members, after: &Members) {
        self.note(format_args!(
            "{leader} changes members to voters {} learners {}",
            list(&after.voters),
            list(&after.learners)
        ));
        let Some(removed) = before.voters.difference(&after.voters).next() else { return };
        let enough = (2 * self.settings.losses + 1).max(3);
        if after.voters.len() < enough && !self.is_gone(removed) {
            return self.fail(format_args!(
                "removal: {leader} removes {removed}, whose disk is not lost, without a successor"
            ));
        }
        let answered = self.answered.get(&(leader.clone(), removed.clone()));
        let recent = answered.is_some_and(|at| self.now < *at + RESPONSE_AGE_MS);
        if !recent || self.lost_since(removed).is_some() {
            return;
        }
        let lost = |name: &&Name| {
            self.lost_since(name).is_some_and(|since| self.now >= since + RESPONSE_AGE_MS)
        };
        if let Some(voter) = after.voters.iter().find(lost) {
            self.fail(format_args!(
                "removal: {leader} removes the running voter {removed} and keeps {voter}"
            ));
        }
    }

    /// Time since which the member with an identity cannot serve.
    fn lost_since(&self, identity: &Name) -> Option<Millis> {
        if let Some(since) = self.gone.get(identity.as_str()) {
            return Some(*since);
        }
        let instance = instance_of(identity)?;
        self.instances.get(instance.as_str())?.lost_since
    }

    /// Instance that leads with a valid lease.
    pub fn leader(&self) -> Option<Name> {
        let leads = |state: &Instance| {
            let running = state.process.as_ref().filter(|_| state.suspended.is_none());
            running.is_some_and(|process| process.leads(self.now))
        };
        let mut leading = self.instances.iter().filter(|(_, state)| leads(state));
        leading.next().map(|(name, _)| name.clone())
    }

    /// Membership as the leader knows it.
    pub fn members(&mut self) -> Members {
        let leader = self.leader();
        let process = leader.and_then(|leader| self.instance(&leader).process.as_mut());
        process.and_then(Process::members).unwrap_or_default()
    }

    /// Requires a leader and that every running instance is in the group and follows it.
    pub fn check_membership(&mut self) {
        let Some(leader) = self.leader() else { return self.fail("leader: none leads") };
        let members = self.members();
        let describe = format!(
            "leader {leader}, voters {} learners {}",
            list(&members.voters),
            list(&members.learners)
        );
        let expected = self.acknowledged.saturating_sub(MAX_LAG_ENTRIES);
        let outside = self.instances.iter().find(|(_, state)| {
            let known = members.all().any(|member| *member == state.identity);
            let follows = state.process.as_ref().is_some_and(|process| {
                let member = &process.member;
                member.is_in_group()
                    && member.leader().as_ref() == Some(&leader)
                    && process.machine.index >= expected
            });
            state.lost_since.is_none() && !(known && follows)
        });
        if let Some((name, state)) = outside {
            let process = state.process.as_ref();
            let believed = process.and_then(|process| process.member.leader());
            let applied = process.map(|process| process.machine.index);
            let text = format!(
                "membership: {name} runs as {} and does not follow; {describe}; it knows the leader \
                 {believed:?} and has applied {applied:?} of {}",
                state.identity, self.acknowledged
            );
            self.fail(text);
        }
    }

    /// Requires that the group survives each permitted loss of disks after calm.
    pub fn check_tolerance(&mut self) {
        let running = self.instances.iter().filter(|(_, state)| state.lost_since.is_none());
        let running: Vec<Name> = running.map(|(name, _)| name.clone()).collect();
        self.check_losses(&running, self.settings.losses);
    }

    /// Requires that the group survives a restart of all processes in which up to `count` of the
    /// `candidates` lose their disks. Instances that cannot serve now stay down.
    pub fn check_losses(&mut self, candidates: &[Name], count: usize) {
        for lost in subsets(candidates, count) {
            let members = self.members();
            let mut fork = self.fork(&lost);
            let end = fork.now + RECOVERY_LIMIT_MS;
            while fork.now < end && fork.violation.is_none() && fork.leader().is_none() {
                fork.run(25);
            }
            let leads = fork.leader().is_some();
            if let Some(text) = fork.violation {
                return self.fail(format_args!("after the loss of [{}]: {text}", list(&lost)));
            }
            if !leads {
                return self.fail(format_args!(
                    "tolerance: none leads after the loss of [{}]; voters {} learners {}",
                    list(&lost),
                    list(&members.voters),
                    list(&members.learners)
                ));
            }
        }
    }

    /// Copy of the group after a restart of all processes, in which some have lost their disks.
    fn fork(&mut self, lost: &BTreeSet<Name>) -> Group {
        let mut fork = Group::empty(self.settings.clone(), self.rng.random());
        (fork.now, fork.acknowledged) = (self.now, self.acknowledged);
        (fork.counter, fork.committed) = (self.counter, self.committed.clone());
        fork.next_proposal = Millis::MAX;
        fork.gone = self.gone.clone();
        for (instance, state) in &self.instances {
            fork.add(instance.clone(), &state.seeds);
            if !lost.contains(instance.as_str()) {
                let copy = fork.instance(instance);
                (copy.identity, copy.disk) = (state.identity.clone(), copy_disk(&state.disk));
            } else {
                fork.gone.insert(state.identity.clone(), fork.now);
            }
            if state.lost_since.is_none() {
                fork.start(instance, false);
            }
        }
        fork
    }

    /// Violation with the last lines of the trace.
    pub fn report(&self, lines: usize) -> Option<String> {
        let text = self.violation.as_ref()?;
        let skipped = self.trace.len().saturating_sub(lines);
        Some(format!("{text}\n  {}", self.trace[skipped..].join("\n  ")))
    }
}

pub(super) fn copy_disk(disk: &MemoryDisk) -> MemoryDisk {
    let loaded = disk.clone().load().expect("the disk works");
    let (saved, mut copy) = (loaded.saved, MemoryDisk::new(loaded.identity));
    let (vote, snapshot) = (Some(saved.vote), saved.snapshot);
    let ready = Ready { vote, snapshot, append: saved.entries, ..Ready::default() };
    copy.store(&ready).expect("the disk works");
    copy.sync().expect("the disk works");
    copy
}

/// Subsets of `names` with at most `size` elements.
fn subsets(names: &[Name], size: usize) -> Vec<BTreeSet<Name>> {
    let mut subsets = vec![BTreeSet::new()];
    for name in names {
        let larger: Vec<BTreeSet<Name>> = subsets
            .iter()
            .filter(|subset| subset.len() < size)
            .map(|subset| subset.iter().chain([name]).cloned().collect())
            .collect();
        subsets.extend(larger);
    }
    subsets
}

pub fn list(names: &BTreeSet<Name>) -> String {
    names.iter().map(Name::as_str).collect::<Vec<_>>().join(" ")
}
