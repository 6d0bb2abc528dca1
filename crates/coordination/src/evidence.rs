//! What entries report of primaries, kept by server so that a leader of hundreds of entries looks
//! at a few values for each group.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Name};

/// Time for which unanswered commits that an entry reported count, in milliseconds: two renewals.
const RECENT: Millis = 1_000;

/// Reports on all servers.
#[derive(Debug, Default)]
pub struct Reports {
    servers: BTreeMap<Arc<str>, Server>,
}

#[derive(Debug, Default)]
struct Server {
    answered: Millis,
    /// Commits in a row that entries saw unanswered, with the time of the report.
    stalled: BTreeMap<Name, (u32, Millis)>,
}

impl Reports {
    /// Takes the report of an entry: when the server last answered it, and how many commits in a
    /// row it left unanswered.
    pub fn add(
        &mut self,
        server: &Arc<str>,
        from: &Name,
        answered: Option<Millis>,
        stalled: u32,
        now: Millis,
    ) {
        let known = self.servers.entry(server.clone()).or_default();
        known.answered = known.answered.max(answered.unwrap_or(0));
        if stalled > 0 {
            known.stalled.insert(from.clone(), (stalled, now));
        } else {
            known.stalled.remove(from.as_str());
        }
    }

    /// Time at which a server last answered any entry; 0 if it never did.
    pub fn answered(&self, server: &str) -> Millis {
        self.servers.get(server).map_or(0, |known| known.answered)
    }

    /// Commits in a row that entries saw unanswered lately.
    pub fn stalled(&self, server: &str, now: Millis) -> u32 {
        let known = self.servers.get(server).into_iter();
        let recent = known.flat_map(|known| known.stalled.values());
        recent.filter(|(_, at)| now < at + RECENT).map(|(count, _)| count).sum()
    }

    /// Forgets servers that are not wanted.
    pub fn retain(&mut self, wanted: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| wanted(server));
    }
}
