//! Evidence that control members have lost their disks.
//!
//! An identity lasts as long as the data folder that holds it, and one process at a time runs for an
//! instance. So if the instance of a listed member runs under another identity, the listed one has
//! lost its disk for good. Messages of former processes may arrive late, and identities have no order,
//! so a message that names another identity is only a claim. The receiver then asks the instance for
//! its identity with a random number, which the answer repeats: the process that answers ran after the
//! membership had listed the other identity.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_coordination::{bootstrap::instance_of, raft::Members};
use auburnlug_protocol::peer::ControlMessage;
use auburnlug_state::Name;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Questions to instances, and what they have answered.
#[derive(Debug)]
pub(crate) struct LossProofs {
    questions: BTreeMap<Name, Question>,
    /// Identity that each instance has answered last.
    present: BTreeMap<Name, Name>,
    rng: StdRng,
}

/// Question to an instance that is not answered yet.
#[derive(Debug)]
struct Question {
    nonce: u64,
    /// Identities of the instance in the membership when the question was first asked.
    listed: BTreeSet<Name>,
    /// Whether the instance has asked to join.
    joins: bool,
}

/// What the answer to a question shows.
#[derive(Debug)]
pub(crate) struct Proof {
    /// Identities that the instance has lost.
    pub(crate) lost: BTreeSet<Name>,
    /// Whether the instance has asked to join before.
    pub(crate) joins: bool,
}

impl LossProofs {
    pub(crate) fn new(seed: u64) -> LossProofs {
        let (questions, present) = (BTreeMap::new(), BTreeMap::new());
        LossProofs { questions, present, rng: StdRng::seed_from_u64(seed) }
    }

    /// Whether the instance has answered that it runs under `identity`, and nothing else since.
    pub(crate) fn is_present(&self, instance: &Name, identity: &Name) -> bool {
        self.present.get(instance.as_str()) == Some(identity)
    }

    /// Question to an instance. It stays the same until it is answered.
    pub(crate) fn ask(
        &mut self,
        instance: &Name,
        members: &Members,
        joins: bool,
    ) -> ControlMessage {
        let rng = &mut self.rng;
        let question = self.questions.entry(instance.clone()).or_insert_with(|| Question {
            nonce: rng.random(),
            listed: identities_of(instance, members),
            joins: false,
        });
        question.joins |= joins;
        ControlMessage::Identify { nonce: question.nonce }
    }

    /// Handles an answer; `None` if it is to no present question.
    pub(crate) fn record_answer(
        &mut self,
        instance: &Name,
        identity: &Name,
        nonce: u64,
        members: &Members,
    ) -> Option<Proof> {
        if self.questions.get(instance.as_str())?.nonce != nonce {
            return None;
        }
        let Question { listed: mut lost, joins, .. } = self.questions.remove(instance.as_str())?;
        // The answer may be older than an identity that has joined since.
        let joins = joins && identities_of(instance, members).is_subset(&lost);
        lost.remove(identity.as_str());
        self.present.insert(instance.clone(), identity.clone());
        Some(Proof { lost, joins })
    }
}

/// Identities of an instance in a membership.
pub(crate) fn identities_of(instance: &Name, members: &Members) -> BTreeSet<Name> {
    let same = |name: &&Name| instance_of(name).as_ref() == Some(instance);
    members.all().filter(same).cloned().collect()
}

/// Voters that are lost as the membership lists a learner of the same instance. Such a learner was
/// added with evidence, as an earlier learner is removed before its instance joins again.
pub(crate) fn replaced_voters(members: &Members) -> BTreeSet<Name> {
    let instances = members.learners.iter().filter_map(instance_of);
    let identities = instances.flat_map(|instance| identities_of(&instance, members));
    identities.filter(|name| members.is_voter(name)).collect()
}
