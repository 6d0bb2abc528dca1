//! Log lines of the leader: requests to join, steps of the membership, tolerated disk losses.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};

use auburnlug_coordination::{
    Category, Error,
    membership::{ControlGroup, Progress},
    membership_step::{MembershipStep, StepKind},
    raft::Members,
    redundancy::Redundancy,
};
use auburnlug_state::{Index, Millis, Name, Term};

use super::role;
use crate::event::{Event, log};

/// Time for which the tolerated disk losses must differ from those logged last before they are
/// logged again. One late acknowledgement is shorter.
const LOSSES_LOG_DELAY_MS: Millis = 1_000;

/// What a leader has logged in its term.
#[derive(Debug)]
pub(super) struct LeaderLog {
    pub(super) term: Term,
    since: Millis,
    /// Tolerated disk losses logged last, at most the configured ones; `None` before the first
    /// check.
    losses: Option<usize>,
    /// Time since which the tolerated disk losses differ from `losses`.
    differs_since: Option<Millis>,
    /// Identity of the last request to join, by instance.
    requests: BTreeMap<Name, Name>,
    /// Reasons for which proposals were refused since the last accepted one.
    refusals: Vec<Category>,
}

impl LeaderLog {
    /// Starts the log of the leader of `term`.
    pub(super) fn new(term: Term, since: Millis) -> LeaderLog {
        LeaderLog {
            term,
            since,
            losses: None,
            differs_since: None,
            requests: BTreeMap::new(),
            refusals: Vec::new(),
        }
    }

    /// Logs the first request to join from each identity.
    pub(super) fn record_join(&mut self, instance: &Name, identity: &Name, members: &Members) {
        if self.requests.get(instance.as_str()) == Some(identity) {
            return;
        }
        self.requests.insert(instance.clone(), identity.clone());
        let (role, term) = (role(members, identity), self.term);
        log(
            Event::JoinReceived,
            format_args!("instance={instance} identity={identity} role={role} term={term}"),
        );
    }

    /// Logs when the group starts or ceases to tolerate the configured disk losses.
    pub(super) fn observe_group(
        &mut self,
        group: &ControlGroup,
        redundancy: Redundancy,
        now: Millis,
    ) {
        let Redundancy { tolerated, configured } = redundancy;
        let losses = tolerated.min(configured);
        if *self.losses.get_or_insert(configured) == losses {
            self.differs_since = None;
            return;
        }
        if now < *self.differs_since.get_or_insert(now) + LOSSES_LOG_DELAY_MS {
            return;
        }
        self.differs_since = None;
        self.losses = Some(losses);
        let reduced = losses < configured;
        let event = if reduced { Event::LossesReduced } else { Event::LossesRestored };
        let (term, led) = (self.term, now.saturating_sub(self.since));
        let voters = describe_members(group, &group.members.voters);
        let learners = describe_members(group, &group.members.learners);
        log(
            event,
            format_args!(
                "tolerated={tolerated} configured={configured} voters=[{voters}] \
                 learners=[{learners}] term={term} led_ms={led}"
            ),
        );
    }

    /// Logs the proposed `step` of the membership, and once per reason that it was refused.
    pub(super) fn record_proposal(
        &mut self,
        group: &ControlGroup,
        step: &MembershipStep,
        proposed: &Result<Index, Error>,
        now: Millis,
    ) {
        let (kind, member) = (step.kind.label(), &step.member);
        let progress = describe_progress(group.progress.get(member.as_str()));
        let (term, led) = (self.term, now.saturating_sub(self.since));
        match proposed {
            Ok(index) => {
                self.refusals.clear();
                if matches!(step.kind, StepKind::LearnerRemoved | StepKind::VoterRemoved) {
                    self.requests.retain(|_, identity| identity != member);
                }
                log(
                    Event::MembershipProposed,
                    format_args!(
                        "step={kind} member={member} {progress} index={index} term={term} \
                         led_ms={led}"
                    ),
                );
            }
            Err(error) if !self.refusals.contains(&error.category()) => {
                self.refusals.push(error.category());
                log(
                    Event::MembershipRefused,
                    format_args!(
                        "step={kind} member={member} {progress} reason=\"{error}\" term={term} \
                         led_ms={led}"
                    ),
                );
            }
            Err(_) => {}
        }
    }
}

/// Members of a group with their progress, separated by commas.
fn describe_members(group: &ControlGroup, names: &BTreeSet<Name>) -> String {
    let mut text = String::new();
    for name in names {
        let separator = if text.is_empty() { "" } else { ", " };
        // Writing to a string does not fail.
        let _ = if *name == group.leader {
            write!(text, "{separator}{name} leads")
        } else {
            let progress = describe_progress(group.progress.get(name.as_str()));
            write!(text, "{separator}{name} {progress}")
        };
    }
    text
}

fn describe_progress(progress: Option<&Progress>) -> String {
    match progress {
        Some(Progress { caught_up, ack_age, .. }) => {
            format!("ack_age_ms={ack_age} caught_up={caught_up}")
        }
        None => "ack_age_ms=none caught_up=none".to_string(),
    }
}
