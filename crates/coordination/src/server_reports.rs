//! Reports of entries on the health of servers, aggregated by server so that the leader of hundreds
//! of entries reads only a few values for each group.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_state::{Millis, Name};

/// Time for which a report of unanswered commits counts: two renewal intervals.
const STALL_REPORT_TTL_MS: Millis = 1_000;

/// Reports of all entries, by server.
#[derive(Debug, Default)]
pub struct ServerReports {
    servers: BTreeMap<Arc<str>, ServerReport>,
}

#[derive(Debug, Default)]
struct ServerReport {
    /// Time at which the server last answered any entry.
    answered: Millis,
    /// Commits in a row that the server left unanswered, by reporting entry, with the time of the
    /// report.
    stalled: BTreeMap<Name, (u32, Millis)>,
}

impl ServerReports {
    /// Adds the report of an entry: when the server last answered it, and how many commits in a row
    /// the server left unanswered.
    pub fn add(
        &mut self,
        server: &Arc<str>,
        from: &Name,
        answered: Option<Millis>,
        stalled: u32,
        now: Millis,
    ) {
        let report = self.servers.entry(server.clone()).or_default();
        report.answered = report.answered.max(answered.unwrap_or(0));
        if stalled > 0 {
            report.stalled.insert(from.clone(), (stalled, now));
        } else {
            report.stalled.remove(from.as_str());
        }
    }

    /// Time at which a server last answered any entry; 0 if it never did.
    pub fn last_answer(&self, server: &str) -> Millis {
        self.servers.get(server).map_or(0, |report| report.answered)
    }

    /// Number of commits in a row that the server left unanswered, by recent reports of all
    /// entries.
    pub fn stalled_commits(&self, server: &str, now: Millis) -> u32 {
        let report = self.servers.get(server).into_iter();
        let recent = report.flat_map(|report| report.stalled.values());
        recent.filter(|(_, at)| now < at + STALL_REPORT_TTL_MS).map(|(count, _)| count).sum()
    }

    /// Keeps only the servers that `wanted` selects.
    pub fn retain(&mut self, wanted: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| wanted(server));
    }
}
