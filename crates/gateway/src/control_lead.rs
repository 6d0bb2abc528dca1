//! Work of the control member that leads: entries, their leases and shares, and what they are sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::{
    delegates::{self, Delegates},
    holders::{self, Holders, Needy, Place},
    leases::{LEASE, Leases},
    roster::Roster,
    share::{Ask as ShareAsk, Given, HELD, Limit, Shares},
};
use auburnlug_protocol::fleet::{
    Demand, Evidence, FleetGrant, FleetMessage, Held, HolderView, LeadView, Renewal, Share, Update,
};
use auburnlug_state::{
    Millis, Name, Term,
    fleet::{Fleet, FleetChange, Run},
};
use auburnlug_transport::event::{Event, log};

use crate::{
    control::Control,
    control_handle::Heartbeat,
    control_succession::{Monitor, Succession},
};

/// Time without a renewal after which an entry is forgotten, in milliseconds.
const GONE: Millis = 3_500;

/// Time without a renewal after which an entry gets no connections, in milliseconds: three are
/// missing.
const MISSING: Millis = 1_500;

/// Time without a link after which an entry gets no connections, in milliseconds: its process has
/// ended, or it would have dialed again.
const UNLINKED: Millis = 400;

/// Time between two heartbeats of a server after which it counts as silent, in milliseconds.
const SILENT: Millis = 5_000;

/// Time in which changes of the entries are gathered before holders are chosen, in milliseconds.
const SETTLE: Millis = 50;

/// Time after which a new leader chooses holders, in milliseconds: entries tell it what they hold
/// as soon as they hear of it, and one way between regions takes some ten milliseconds.
const INHERIT: Millis = 250;

/// State of the leading control member.
pub(crate) struct Leader {
    /// Term of the agreement.
    pub(crate) term: Term,
    /// Start of the leadership.
    pub(crate) since: Millis,
    pub(crate) leases: Leases,
    pub(crate) entries: BTreeMap<Name, EntryState>,
    pub(crate) heard: BTreeMap<Arc<str>, Heard>,
    pub(crate) evidence: BTreeMap<(Arc<str>, Name), Witness>,
    pub(crate) monitors: BTreeMap<Arc<str>, Monitor>,
    pub(crate) successions: BTreeMap<Arc<str>, Succession>,
    /// Time since which no replica of a group has received all that its primary has.
    pub(crate) apart: BTreeMap<Arc<str>, Millis>,
    holders: BTreeMap<Arc<str>, Holders>,
    delegates: Delegates,
    /// Region of each failure domain.
    regions: BTreeMap<Arc<str>, Arc<str>>,
    members: BTreeSet<Name>,
    /// Time at which the holders are chosen again.
    place_at: Option<Millis>,
    /// Entries that may hold connections.
    healthy: usize,
    shares: Shares,
    /// Entries of an earlier leader that have not told their shares.
    untold: BTreeSet<Name>,
    /// Time from which on none of those can have held a share, as all have started again; `None`
    /// if one has not.
    idle: Option<Millis>,
    /// Renewals of entries that are not recorded yet, with their links.
    roster: Roster<(u64, Renewal)>,
    /// Time since which recorded entries have not renewed.
    absent: BTreeMap<Name, Millis>,
    /// Number of the newest update.
    pub(crate) index: u64,
    changed: Parts,
    /// Update from which on entries know the present leader of each group.
    pub(crate) published: BTreeMap<Arc<str>, u64>,
}

/// Number of the update in which each part of the view changed last.
#[derive(Debug, Clone, Copy, Default)]
struct Parts {
    backends: u64,
    leads: u64,
    holders: u64,
    delegates: u64,
    members: u64,
}

/// An entry that renews its lease here.
pub(crate) struct EntryState {
    link: u64,
    run: u64,
    place: Place,
    /// Last update that it was sent on this link.
    sent: u64,
    /// Version of the configuration that it has once it has all updates of this link.
    version: u64,
    renewed: Millis,
    /// Time since which it has no link here.
    unlinked: Option<Millis>,
    /// Whether it stops, so that it should hold no connections.
    leaving: bool,
    /// Whether it admits operations for entries near it.
    delegate: bool,
}

impl EntryState {
    /// Whether it may hold connections.
    fn healthy(&self, now: Millis) -> bool {
        !self.leaving
            && now < self.renewed + MISSING
            && self.unlinked.is_none_or(|since| now < since + UNLINKED)
    }
}

/// Last heartbeat of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Heard {
    run: Run,
    sequence: u64,
    /// Time at which it arrived.
    pub(crate) at: Millis,
    /// Whether the server took itself for the primary.
    pub(crate) leads: bool,
    silent: bool,
}

/// What an entry last said of a primary.
#[derive(Debug, Clone)]
pub(crate) struct Witness {
    pub(crate) server: Arc<str>,
    /// Time of the primary's last answer to it, on this clock.
    pub(crate) answered: Millis,
    pub(crate) stalled: u32,
    /// Time of the report.
    pub(crate) at: Millis,
}

impl Leader {
    /// Takes over what an entry was given by an earlier leader, until holders are chosen here.
    fn inherit(&mut self, from: &Name, holds: Vec<Held>) {
        if self.changed.holders > 0 {
            return;
        }
        for held in holds {
            let holders = self.holders.entry(held.server).or_default();
            if holders.iter().all(|(name, _)| name != from) {
                let at = held.turn.min(holders.len());
                holders.insert(at, (from.clone(), held.connections));
            }
        }
    }

    /// Delegates chosen here, or else by an earlier leader.
    fn present_delegates(&self) -> Delegates {
        if self.changed.delegates > 0 {
            return self.delegates.clone();
        }
        let mut delegates = Delegates::new();
        for (name, entry) in self.entries.iter().filter(|(_, entry)| entry.delegate) {
            delegates.entry(entry.place.region.clone()).or_default().insert(name.clone());
        }
        delegates
    }

    /// Takes a heartbeat; false if a later one has arrived before.
    pub(crate) fn heard(&mut self, beat: &Heartbeat, now: Millis) -> bool {
        let (run, sequence) = (beat.backend.run, beat.sequence);
        let known = self.heard.get(&beat.backend.id);
        if known.is_some_and(|known| (known.run, known.sequence) >= (run, sequence)) {
            return false;
        }
        let heard = Heard { run, sequence, at: now, leads: beat.leads, silent: false };
        self.heard.insert(beat.backend.id.clone(), heard);
        true
    }
}

impl Control {
    pub(crate) fn take_over(&mut self) {
        let now = self.now();
        let term = self.member.term();
        let first = self.fleet().plan.version == 0 && self.fleet().leads.is_empty();
        log(
            Event::LeaderElected,
            format_args!("term={term} first={first} links={}", self.accepted.len()),
        );
        // The holders stay until they are chosen anew.
        let parts = Parts { backends: 1, leads: 1, holders: 0, delegates: 0, members: 1 };
        let place_at = Some(now + if first { SETTLE } else { INHERIT });
        let published = self.fleet().leads.keys().map(|group| (group.clone(), 1)).collect();
        let known: BTreeSet<Name> = self.fleet().entries.keys().cloned().collect();
        self.leader = Some(Leader {
            term,
            since: now,
            leases: Leases::new(now, known.clone()),
            entries: BTreeMap::new(),
            heard: BTreeMap::new(),
            evidence: BTreeMap::new(),
            monitors: BTreeMap::new(),
            successions: BTreeMap::new(),
            apart: BTreeMap::new(),
            holders: BTreeMap::new(),
            delegates: Delegates::new(),
            regions: BTreeMap::new(),
            members: self.member.instances(),
            place_at,
            healthy: 0,
            shares: Shares::new(now, first),
            untold: known,
            idle: Some(0),
            roster: Roster::new(),
            absent: BTreeMap::new(),
            index: 1,
            changed: parts,
            published,
        });
        let links: Vec<u64> = self.accepted.keys().copied().collect();
        for link in links {
            self.send(link, FleetMessage::Leading);
        }
    }

    /// Answers the renewal of an entry.
    pub(crate) fn renewed(&mut self, link: u64, from: &Name, renewal: Renewal) {
        let now = self.now();
        let recorded = self.machine.fleet.entries.get(from.as_str()).copied();
        let Some(leader) = &mut self.leader else { return };
        if recorded != Some(renewal.run) {
            // The process of an earlier run has ended, and with it its lease and shares.
            if leader.untold.remove(from.as_str()) {
                // The clock of an entry starts with its process.
                let started = now.saturating_sub(renewal.sent);
                leader.idle = leader.idle.map(|idle| idle.max(started));
            }
            leader.roster.wait(from.clone(), renewal.run, (link, renewal));
            self.record_entries(now);
            return;
        }
        if renewal.full && leader.untold.remove(from.as_str()) {
            leader.idle = None;
        }
        let place = Place { region: renewal.region, domain: renewal.domain };
        let known = leader.entries.get(from.as_str());
        let applied_here = known.is_some_and(|e| e.link == link);
        let joined = known.is_none_or(|e| e.run != renewal.run || e.leaving != renewal.leaving);
        // What an entry applied of another leader's updates counts for nothing here.
        let known = known.filter(|e| e.link == link && e.run == renewal.run && !renewal.unfit);
        let (sent, version) =
            known.filter(|e| e.sent > 0).map_or((0, renewal.version), |e| (e.sent, e.version));
        let applied = if applied_here { renewal.applied.min(sent) } else { 0 };
        let state = EntryState {
            link,
            run: renewal.run,
            place,
            sent,
            version,
            renewed: now,
            unlinked: None,
            leaving: renewal.leaving,
            delegate: renewal.delegate,
        };
        leader.entries.insert(from.clone(), state);
        leader.leases.renew(from, applied, now);
        leader.inherit(from, renewal.holds);
        self.witness(from, renewal.evidence, now);
        if joined {
            log(
                Event::EntryChanged,
                format_args!(
                    "entry={} run={} leaving={}",
                    from.as_str(),
                    renewal.run,
                    renewal.leaving
                ),
            );
            self.place_holders();
        }
        self.update_entry(from);
        let shares = self.share(from, &renewal.demand, now);
        let Some(leader) = &self.leader else { return };
        let positions = self.positions(now);
        let index = leader.index;
        let grant = FleetGrant { sent: renewal.sent, span: LEASE, index, shares, positions };
        self.send(link, FleetMessage::Grant(Box::new(grant)));
    }

    /// Records entries that joined or left; one change is under way at a time.
    fn record_entries(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        if !leader.roster.free(now) {
            return;
        }
        let joined = leader.roster.runs();
        let gone = |name: &Name| leader.absent.get(name).is_some_and(|since| now >= since + HELD);
        let left = self.machine.fleet.entries.iter().filter(|(name, _)| gone(name));
        let left: BTreeMap<Name, u64> = left.map(|(name, run)| (name.clone(), *run)).collect();
        if joined.is_empty() && left.is_empty() {
            return;
        }
        leader.roster.proposed(now);
        self.propose(FleetChange::Entries { joined, left }, None);
    }

    /// Answers entries that are recorded now.
    pub(crate) fn entries_recorded(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        for (name, (link, renewal)) in leader.roster.applied(&self.machine.fleet.entries) {
            self.renewed(link, &name, renewal);
        }
        self.record_entries(self.now());
    }

    /// Notes which recorded entries do not renew.
    fn note_absent(&mut self, now: Millis) {
        let recorded = &self.machine.fleet.entries;
        let Some(leader) = &mut self.leader else { return };
        let entries = &leader.entries;
        leader.absent.retain(|name, _| recorded.contains_key(name) && !entries.contains_key(name));
        for name in recorded.keys().filter(|name| !entries.contains_key(*name)) {
            leader.absent.entry(name.clone()).or_insert(now);
        }
        if leader.untold.is_empty() {
            leader.shares.settle(leader.idle, now);
        }
    }

    fn witness(&mut self, from: &Name, evidence: Vec<Evidence>, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        for seen in evidence {
            let answered = seen.answered.map_or(0, |age| now.saturating_sub(age));
            let witness = Witness { server: seen.server, answered, stalled: seen.stalled, at: now };
            leader.evidence.insert((seen.group, from.clone()), witness);
        }
    }

    fn share(&mut self, from: &Name, demand: &[Demand], now: Millis) -> Vec<Share> {
        let plan = self.machine.fleet.plan.clone();
        let Some(leader) = &mut self.leader else { return Vec::new() };
        let mut shares = Vec::with_capacity(demand.len());
        for demand in demand {
            let Some(account) = plan.accounts.get(&demand.account) else { continue };
            let Some(rate) = account.rate else { continue };
            let limit = Limit { rate, burst: account.burst };
            let Demand { share, room, wanted, spread, .. } = *demand;
            let ask = ShareAsk { demand: demand.rate, share, room, wanted, spread };
            let given = leader.shares.renew(from, &demand.account, limit, ask, now);
            let Given { share: rate, room, tokens, spread } = given;
            shares.push(Share { account: demand.account.clone(), rate, room, tokens, spread });
        }
        shares
    }

    pub(crate) fn entry_unlinked(&mut self, link: u64) {
        let Some(leader) = &mut self.leader else { return };
        // The lease still runs; only the updates sent on the link may be lost.
        for (name, entry) in leader.entries.iter_mut().filter(|(_, entry)| entry.link == link) {
            leader.leases.unlink(name);
            entry.sent = 0;
            entry.unlinked = Some(self.clock.now());
        }
    }

    /// Notes what committed changes altered in the view and sends it.
    pub(crate) fn fleet_changed(&mut self, before: &Fleet) {
        let after = self.machine.fleet.clone();
        let Some(leader) = &mut self.leader else { return };
        let next = leader.index + 1;
        let mut changed = before.plan.version != after.plan.version;
        if before.backends != after.backends {
            leader.changed.backends = next;
            changed = true;
        }
        if before.leads != after.leads {
            leader.changed.leads = next;
            changed = true;
            for (group, lead) in &after.leads {
                if before.leads.get(group) != Some(lead) {
                    leader.published.insert(group.clone(), next);
                }
            }
        }
        if changed {
            leader.index = next;
            self.place_holders();
            self.update_entries();
        }
    }

    /// Has the holders chosen anew; several changes within a short time are one.
    pub(crate) fn place_holders(&mut self) {
        let now = self.clock.now();
        if let Some(leader) = &mut self.leader {
            leader.place_at.get_or_insert(now + SETTLE);
        }
    }

    /// Chooses the holders of each server.
    fn place_holders_now(&mut self) {
        let fleet = &self.machine.fleet;
        let limit = |group: &str| fleet.plan.groups.get(group).map(|plan| plan.connections);
        let servers: BTreeMap<Arc<str>, Needy> = fleet
            .backends
            .values()
            .filter_map(|b| {
                let needy = Needy { domain: b.domain.clone(), limit: limit(&b.group)? };
                Some((b.id.clone(), needy))
            })
            .collect();
        let now = self.clock.now();
        let Some(leader) = &mut self.leader else { return };
        leader.place_at = None;
        for entry in leader.entries.values() {
            leader.regions.insert(entry.place.domain.clone(), entry.place.region.clone());
        }
        let places: BTreeMap<Name, Place> = leader
            .entries
            .iter()
            .filter(|(_, entry)| entry.healthy(now))
            .map(|(name, entry)| (name.clone(), entry.place.clone()))
            .collect();
        if places.is_empty() {
            // Entries that stop still serve what they hold.
            return;
        }
        let delegates = delegates::choose(&places, &leader.present_delegates());
        if delegates != leader.delegates || leader.changed.delegates == 0 {
            log(Event::DelegatesChanged, format_args!("delegates={delegates:?}"));
            leader.delegates = delegates;
            leader.index += 1;
            leader.changed.delegates = leader.index;
        }
        let chosen = holders::choose(&places, &servers, &leader.regions, &leader.holders);
        for (server, holders) in &chosen {
            if leader.holders.get(server) != Some(holders) {
                log(Event::HoldersChanged, format_args!("server={server} holders={holders:?}"));
            }
        }
        if chosen != leader.holders || leader.changed.holders == 0 {
            leader.holders = chosen;
            leader.index += 1;
            leader.changed.holders = leader.index;
        }
        self.update_entries();
    }

    fn update_entries(&mut self) {
        let Some(leader) = &self.leader else { return };
        let names: Vec<Name> = leader.entries.keys().cloned().collect();
        for name in names {
            self.update_entry(&name);
        }
    }

    /// Sends an entry what changed since its last update.
    fn update_entry(&mut self, name: &Name) {
        let fleet = &self.machine.fleet;
        let Some(leader) = &mut self.leader else { return };
        let Some(entry) = leader.entries.get_mut(name.as_str()) else { return };
        let (sent, parts) = (entry.sent, leader.changed);
        if sent >= leader.index {
            return;
        }
        entry.sent = leader.index;
        let plan = self.plans.part(entry.version);
        if let Some(part) = &plan {
            entry.version = part.version;
        }
        let link = entry.link;
        let update = Update {
            index: leader.index,
            term: leader.term,
            plan,
            backends: (parts.backends > sent).then(|| fleet.backends.values().cloned().collect()),
            leads: (parts.leads > sent).then(|| lead_views(fleet)),
            holders: (parts.holders > sent).then(|| holder_views(leader)),
            delegates: (parts.delegates > sent).then(|| leader.delegates.clone()),
            members: (parts.members > sent).then(|| leader.members.iter().cloned().collect()),
        };
        self.send(link, FleetMessage::Update(Box::new(update)));
    }

    pub(crate) fn lead_periodic(&mut self, now: Millis) {
        let instances = self.member.instances();
        let Some(leader) = &mut self.leader else { return };
        if leader.members != instances {
            leader.members = instances;
            leader.index += 1;
            leader.changed.members = leader.index;
            self.update_entries();
        }
        let Some(leader) = &mut self.leader else { return };
        let before = leader.healthy;
        leader.leases.expire(now);
        leader.entries.retain(|_, entry| now < entry.renewed + GONE);
        self.note_absent(now);
        self.record_entries(now);
        let Some(leader) = &mut self.leader else { return };
        for (id, heard) in &mut leader.heard {
            if !heard.silent && now >= heard.at + SILENT {
                heard.silent = true;
                log(Event::BackendSilent, format_args!("server={id} seq={}", heard.sequence));
            }
        }
        leader.healthy = leader.entries.values().filter(|entry| entry.healthy(now)).count();
        if leader.healthy != before {
            log(Event::EntryChanged, format_args!("healthy={} before={before}", leader.healthy));
            self.place_holders();
        }
        if self.leader.as_ref().is_some_and(|l| l.place_at.is_some_and(|at| now >= at)) {
            self.place_holders_now();
        }
        self.watch_groups(now);
    }
}

fn lead_views(fleet: &Fleet) -> BTreeMap<Arc<str>, LeadView> {
    let view = |lead: &auburnlug_state::fleet::Lead| LeadView {
        term: lead.term,
        primary: lead.primary.clone(),
    };
    fleet.leads.iter().map(|(group, lead)| (group.clone(), view(lead))).collect()
}

fn holder_views(leader: &Leader) -> BTreeMap<Arc<str>, Vec<HolderView>> {
    let mut views = BTreeMap::new();
    for (server, holders) in &leader.holders {
        let known = holders.iter().filter_map(|(entry, connections)| {
            let place = &leader.entries.get(entry.as_str())?.place;
            Some(HolderView {
                entry: entry.clone(),
                domain: place.domain.clone(),
                region: place.region.clone(),
                connections: *connections,
            })
        });
        views.insert(server.clone(), known.collect());
    }
    views
}
