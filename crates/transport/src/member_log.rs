//! Log lines and metrics about the control group as one member sees it.
//!
//! Lines are written when something changes, never for a repeated message or a periodic check, so
//! their number does not depend on how often the member is called.

use auburnlug_coordination::{
    Error,
    membership::ControlGroup,
    membership_step::MembershipStep,
    raft::{Members, Raft},
    redundancy::Redundancy,
};
use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::{Index, Millis, Name};

use crate::{
    control_metrics::ControlMetrics,
    event::{Event, log},
    member_log::{
        heard::HeardMembers, leader::LeaderLog, leaderless::LeaderlessLog, lost_disks::LostDisksLog,
    },
};

mod heard;
mod leader;
mod leaderless;
mod lost_disks;

/// What a member has logged about its group.
#[derive(Debug)]
pub(crate) struct MemberLog {
    identity: Name,
    /// Leader that the member knew at the last call.
    leader: Option<Name>,
    /// Time since which the member knows this leader, or none.
    leader_since: Millis,
    /// Whether the member looked for the group at the last call.
    searching: bool,
    /// Whether it was logged that the group does not list the member.
    unlisted: bool,
    heard: HeardMembers,
    leaderless: LeaderlessLog,
    lost_disks: LostDisksLog,
    /// Present while the member leads its term.
    leading: Option<LeaderLog>,
    /// Whether the member led alone at the last call.
    alone: bool,
    /// Whether it was logged that the disk has no space for a snapshot.
    disk_full: bool,
    /// Present while the member may act for the group.
    redundancy: Option<Redundancy>,
    metrics: ControlMetrics,
}

impl MemberLog {
    /// Starts the log of the member `identity`, which may look for its group.
    pub(crate) fn new(identity: Name, searching: bool, now: Millis) -> MemberLog {
        MemberLog {
            heard: HeardMembers::new(&identity, now),
            identity,
            leader: None,
            leader_since: now,
            searching,
            unlisted: false,
            leaderless: LeaderlessLog::default(),
            lost_disks: LostDisksLog::default(),
            leading: None,
            alone: false,
            disk_full: false,
            redundancy: None,
            metrics: ControlMetrics::default(),
        }
    }

    /// Replaces the metrics, which from now on are those of the member.
    pub(crate) fn set_metrics(&mut self, metrics: ControlMetrics, losses: usize) {
        metrics.set_configured(losses);
        self.metrics = metrics;
    }

    /// Reports the sizes of the stored log and of the last snapshot, in bytes.
    pub(crate) fn record_stored(&self, log: u64, snapshot: usize) {
        self.metrics.set_stored(log, snapshot);
    }

    /// Logs a snapshot up to `index` that replaced the log, with the sizes of both, in bytes.
    pub(crate) fn record_compaction(&mut self, index: Index, log_bytes: u64, snapshot: usize) {
        self.metrics.count_compaction();
        self.metrics.set_stored(log_bytes, snapshot);
        self.disk_full = false;
        log(
            Event::LogCompacted,
            format_args!("index={index} snapshot_bytes={snapshot} log_bytes={log_bytes}"),
        );
    }

    /// Logs that the disk has no space for a snapshot, until one has been written.
    pub(crate) fn record_full_disk(&mut self, log_bytes: u64) {
        if !std::mem::replace(&mut self.disk_full, true) {
            log(Event::SnapshotPostponed, format_args!("log_bytes={log_bytes}"));
        }
    }

    /// Disk losses that the group tolerates; `None` unless this member leads it.
    pub(crate) fn redundancy(&self) -> Option<Redundancy> {
        self.redundancy
    }

    /// Records who has sent a message from the instance `from`.
    pub(crate) fn record_message(&mut self, from: &Name, message: &ControlMessage, now: Millis) {
        self.heard.record(from, message, now);
    }

    /// Logs changes of what the member knows about its leader and its own membership. `raft` is
    /// `None` while the member looks for the group.
    pub(crate) fn observe(&mut self, raft: Option<&Raft>, asks_to_join: bool, now: Millis) {
        let Some(raft) = raft else {
            self.metrics.set_leaderless(now.saturating_sub(self.leader_since));
            return;
        };
        let leads = raft.lease_valid(now);
        self.metrics.set_members(raft.members(), leads);
        if !leads {
            self.set_redundancy(None);
        }
        if raft.leader() != self.leader.as_ref() {
            self.log_leader_change(raft, now);
        }
        self.observe_voters(raft, now);
        if !raft.leads() {
            self.leading = None;
        } else if self.leading.as_ref().is_none_or(|leading| leading.term != raft.term()) {
            self.leading = Some(LeaderLog::new(raft.term(), now));
        }
        self.observe_alone(raft);
        // The first request to join of a member without state is logged as `JoinRequested`.
        let first_request = std::mem::take(&mut self.searching);
        if asks_to_join && !std::mem::replace(&mut self.unlisted, true) && !first_request {
            self.log_unlisted(raft);
        }
        // Without a leader, answers of members that lag may make the request start and end often.
        if !asks_to_join && raft.leader().is_some() {
            self.unlisted = false;
        }
    }

    /// Logs that a member has lost its disk, as the instance `source` says or has shown.
    pub(crate) fn record_loss(&self, lost: &Name, source: &Name, members: &Members) {
        let role = role(members, lost);
        log(Event::LossProven, format_args!("identity={lost} role={role} source={source}"));
    }

    /// Logs the first request to join from each identity.
    pub(crate) fn record_join(&mut self, instance: &Name, identity: &Name, members: &Members) {
        let Some(leading) = &mut self.leading else { return };
        leading.record_join(instance, identity, members);
    }

    /// Records the redundancy of the group, and logs when the group starts or ceases to tolerate the
    /// configured disk losses.
    pub(crate) fn observe_group(&mut self, group: &ControlGroup, now: Millis) {
        let redundancy = Redundancy::of(group);
        self.set_redundancy(Some(redundancy));
        let Some(leading) = &mut self.leading else { return };
        leading.observe_group(group, redundancy, now);
    }

    /// Counts and logs a proposed membership, and logs once per reason that it was refused.
    pub(crate) fn record_proposal(
        &mut self,
        group: &ControlGroup,
        next: &Members,
        proposed: Result<Index, Error>,
        now: Millis,
    ) {
        let Some(leading) = &mut self.leading else { return };
        let Some(step) = MembershipStep::between(&group.members, next) else { return };
        if proposed.is_ok() {
            self.metrics.count_step(step.kind);
        }
        leading.record_proposal(group, &step, &proposed, now);
    }

    fn set_redundancy(&mut self, redundancy: Option<Redundancy>) {
        self.redundancy = redundancy;
        self.metrics.set_redundancy(redundancy);
    }

    fn observe_alone(&mut self, raft: &Raft) {
        let alone = raft.leads_alone();
        if std::mem::replace(&mut self.alone, alone) == alone {
            return;
        }
        let event = if alone { Event::LeadsAlone } else { Event::LeadsNoLongerAlone };
        let (term, last, commit) = (raft.term(), raft.last_index(), raft.commit_index());
        let (voters, lost) = (&raft.members().voters, raft.lost());
        log(
            event,
            format_args!(
                "term={term} last_index={last} commit_index={commit} voters={voters:?} \
                 without_disk={lost:?}"
            ),
        );
    }

    /// Logs and counts what the member knows of voters that are missing.
    fn observe_voters(&mut self, raft: &Raft, now: Millis) {
        let (identity, heard, since) = (&self.identity, &self.heard, self.leader_since);
        self.metrics.set_lost(heard.lost_voters(raft.members()).len());
        if raft.leader().is_some() {
            self.metrics.set_leaderless(0);
            self.leaderless.end();
            self.lost_disks.end();
        } else {
            self.metrics.set_leaderless(now.saturating_sub(since));
            self.leaderless.observe(identity, raft, heard, since, now);
            self.lost_disks.observe(identity, raft, heard, since, now);
        }
    }

    fn log_leader_change(&mut self, raft: &Raft, now: Millis) {
        let known = now.saturating_sub(std::mem::replace(&mut self.leader_since, now));
        let from = std::mem::replace(&mut self.leader, raft.leader().cloned());
        let heard = match &from {
            Some(leader) if *leader != self.identity => {
                now.saturating_sub(raft.last_heartbeat()).to_string()
            }
            _ => "none".to_string(),
        };
        let (from, to) = (name_or_none(&from), name_or_none(&self.leader));
        let (role, term) = (role(raft.members(), &self.identity), raft.term());
        log(
            Event::KnownLeaderChanged,
            format_args!(
                "from={from} to={to} known_ms={known} heard_ms={heard} role={role} term={term}"
            ),
        );
    }

    fn log_unlisted(&self, raft: &Raft) {
        let (identity, leader) = (&self.identity, name_or_none(&self.leader));
        let (role, term) = (role(raft.members(), identity), raft.term());
        log(
            Event::MemberUnlisted,
            format_args!("identity={identity} own_log={role} leader={leader} term={term}"),
        );
    }
}

/// Role of `identity` in a membership.
fn role(members: &Members, identity: &Name) -> &'static str {
    if members.voters.contains(identity.as_str()) {
        "voter"
    } else if members.learners.contains(identity.as_str()) {
        "learner"
    } else {
        "none"
    }
}

fn name_or_none(name: &Option<Name>) -> &str {
    name.as_ref().map_or("none", Name::as_str)
}
