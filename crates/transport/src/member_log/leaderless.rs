//! Log lines that tell why nobody leads the group, as far as one member knows.

use std::{collections::BTreeMap, fmt::Write};

use auburnlug_coordination::raft::{Members, Raft};
use auburnlug_state::{Millis, Name};

use super::{heard::HeardMembers, role};
use crate::event::{Event, log};

/// Time without a known leader after which the reason is logged. Longer than an election.
pub(super) const LEADERLESS_LOG_DELAY_MS: Millis = 2_000;

/// Time between two lines about the reason, however often it changes.
pub(super) const LEADERLESS_LOG_INTERVAL_MS: Millis = 5_000;

/// Time after which a voter counts as silent. Without a leader, voters ask each other several times
/// in it.
const SILENCE_MS: Millis = 1_000;

/// What a member has logged about the lack of a leader.
#[derive(Debug, Default)]
pub(super) struct LeaderlessLog {
    /// Time of the last line.
    logged: Option<Millis>,
    /// What the last line said; `None` if a leader was known since.
    picture: Option<Picture>,
}

/// State of the voters.
#[derive(Debug, PartialEq, Eq)]
struct Picture {
    role: &'static str,
    voters: BTreeMap<Name, Voter>,
}

/// What a member knows of a voter.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Voter {
    /// The member itself.
    Own,
    Answers,
    Silent,
    /// The instance has returned without its disk under another identity.
    Lost(Name),
}

impl LeaderlessLog {
    /// Forgets the last line, as a leader is known.
    pub(super) fn end(&mut self) {
        self.picture = None;
    }

    /// Logs why the member `identity` knows no leader since `since`, if that has changed.
    pub(super) fn observe(
        &mut self,
        identity: &Name,
        raft: &Raft,
        heard: &HeardMembers,
        since: Millis,
        now: Millis,
    ) {
        let waits = self.logged.is_some_and(|logged| now < logged + LEADERLESS_LOG_INTERVAL_MS);
        let members = raft.members();
        if waits || now < since + LEADERLESS_LOG_DELAY_MS || members.voters.is_empty() {
            return;
        }
        let picture = Picture::of(identity, members, heard, now);
        if self.picture.as_ref() == Some(&picture) {
            return;
        }
        let (term, index, needed) =
            (raft.term(), raft.last_index(), members.needed(&heard.lost_voters(members), identity));
        let (role, answering, silent) = (picture.role, picture.answering(), now - since);
        let voters = picture.describe(heard, now);
        log(
            Event::LeaderMissed,
            format_args!(
                "identity={identity} role={role} last_index={index} term={term} \
                 leaderless_ms={silent} needed={needed} answering={answering} voters=[{voters}]"
            ),
        );
        self.logged = Some(now);
        self.picture = Some(picture);
    }
}

impl Picture {
    fn of(identity: &Name, members: &Members, heard: &HeardMembers, now: Millis) -> Picture {
        let voter = |name: &Name| {
            if name == identity {
                Voter::Own
            } else if let Some(successor) = heard.successor(name) {
                Voter::Lost(successor.clone())
            } else if heard.age(name, now).is_some_and(|age| age < SILENCE_MS) {
                Voter::Answers
            } else {
                Voter::Silent
            }
        };
        let voters = members.all_voters().map(|name| (name.clone(), voter(name))).collect();
        Picture { role: role(members, identity), voters }
    }

    /// Number of voters that take part in an election, as far as known.
    fn answering(&self) -> usize {
        let takes_part = |voter: &&Voter| matches!(voter, Voter::Own | Voter::Answers);
        self.voters.values().filter(takes_part).count()
    }

    fn describe(&self, heard: &HeardMembers, now: Millis) -> String {
        let mut text = String::new();
        for (name, voter) in &self.voters {
            let separator = if text.is_empty() { "" } else { ", " };
            let age = |name| heard.age(name, now).map_or("none".to_string(), |age| age.to_string());
            // Writing to a string does not fail.
            let _ = match voter {
                Voter::Own => write!(text, "{separator}{name} self"),
                Voter::Answers => write!(text, "{separator}{name} answers heard_ms={}", age(name)),
                Voter::Silent => write!(text, "{separator}{name} silent heard_ms={}", age(name)),
                Voter::Lost(by) => {
                    write!(text, "{separator}{name} lost now={by} heard_ms={}", age(by))
                }
            };
        }
        text
    }
}
