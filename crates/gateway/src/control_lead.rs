//! Work of the control member that leads: entries, their leases and shares, and what they are sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::{
    changes::Tracked,
    delegates::{self, Delegates},
    evidence::Reports,
    holders::{self, Holders, Needy, Place},
    leases::{self, LEASE, Leases},
    roster::Roster,
    share::{Ask as ShareAsk, Given, HELD, Limit, Shares},
};
use auburnlug_protocol::{
    fleet::{
        Demand, Evidence, FleetGrant, FleetMessage, Held, HolderView, LeadView, PositionSample,
        Renewal, Share, Update,
    },
    packed::Packed,
};
use auburnlug_state::{
    Millis, Name, Term,
    fleet::{Backend, Fleet, FleetChange, Run},
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

/// Least time between two grants with positions to an entry, in milliseconds: they are longer than
/// the rest, and a grant may come for each token that an entry lacks.
const POSITIONS: Millis = 250;

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
    pub(crate) reports: Reports,
    pub(crate) monitors: BTreeMap<Arc<str>, Monitor>,
    pub(crate) successions: BTreeMap<Arc<str>, Succession>,
    /// Time since which no replica of a group has received all that its primary has.
    pub(crate) apart: BTreeMap<Arc<str>, Millis>,
    holders: BTreeMap<Arc<str>, Holders>,
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
    view: Published,
    /// Updates to the newest state, by the last update and the configuration that a follower has.
    packed: BTreeMap<(u64, u64), Arc<Packed>>,
    /// Update to which they lead.
    packed_index: u64,
    /// Update from which on entries know the present leader of each group.
    pub(crate) published: BTreeMap<Arc<str>, u64>,
}

/// View of the fleet as entries are sent it.
#[derive(Debug, Default)]
struct Published {
    backends: Tracked<Backend>,
    leads: Tracked<LeadView>,
    holders: Tracked<Vec<HolderView>>,
    delegates: Tracked<BTreeSet<Name>>,
    /// Update in which the control members changed.
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
    /// Time of the last grant with positions.
    positioned: Millis,
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

impl Leader {
    /// Lets a new run of an entry wait until it is recorded.
    fn started(&mut self, link: u64, from: &Name, renewal: Renewal, now: Millis) {
        // The process of an earlier run has ended, and with it its lease and shares.
        self.shares.forget(from);
        if self.untold.remove(from.as_str()) {
            // The clock of an entry starts with its process.
            let started = now.saturating_sub(renewal.sent);
            self.idle = self.idle.map(|idle| idle.max(started));
        }
        self.roster.wait(from.clone(), renewal.run, (link, renewal));
    }

    /// Takes over what an entry was given by an earlier leader, until holders are chosen here.
    fn inherit(&mut self, from: &Name, holds: Vec<Held>) {
        if self.view.holders.known() {
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
        if self.view.delegates.known() {
            return self.view.delegates.values().clone();
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
        // The holders and delegates stay until they are chosen anew.
        let mut view = Published { members: 1, ..Published::default() };
        view.backends.replace(self.fleet().backends.clone(), 1);
        view.leads.replace(lead_views(self.fleet()), 1);
        let place_at = Some(now + if first { SETTLE } else { INHERIT });
        let published = self.fleet().leads.keys().map(|group| (group.clone(), 1)).collect();
        let known: BTreeSet<Name> = self.fleet().entries.keys().cloned().collect();
        self.leader = Some(Leader {
            term,
            since: now,
            leases: Leases::new(now, known.clone()),
            entries: BTreeMap::new(),
            heard: BTreeMap::new(),
            reports: Reports::default(),
            monitors: BTreeMap::new(),
            successions: BTreeMap::new(),
            apart: BTreeMap::new(),
            holders: BTreeMap::new(),
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
            view,
            packed: BTreeMap::new(),
            packed_index: 0,
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
            leader.started(link, from, renewal, now);
            return self.record_entries(now);
        }
        if renewal.full && leader.untold.remove(from.as_str()) {
            leader.idle = None;
        }
        let place = Place { region: renewal.region, domain: renewal.domain };
        let known = leader.entries.get(from.as_str());
        let applied_here = known.is_some_and(|e| e.link == link);
        let joined = known.is_none_or(|e| e.run != renewal.run || e.leaving != renewal.leaving);
        let positioned = known.filter(|_| applied_here).map_or(0, |e| e.positioned);
        // What an entry applied of another leader's updates counts for nothing here.
        let known = known.filter(|e| e.link == link && e.run == renewal.run && !renewal.unfit);
        let (sent, version) =
            known.filter(|e| e.sent > 0).map_or((0, renewal.version), |e| (e.sent, e.version));
        let told = (renewal.term, renewal.applied);
        let applied = if applied_here { leases::applied(leader.term, told, sent) } else { 0 };
        let state = EntryState {
            link,
            run: renewal.run,
            place,
            sent,
            version,
            renewed: now,
            positioned,
            unlinked: None,
            leaving: renewal.leaving,
            delegate: renewal.delegate,
        };
        leader.entries.insert(from.clone(), state);
        leader.leases.renew(from, applied, now);
        if renewal.full && applied > 0 {
            leader.leases.tell(from, renewal.holds.iter().map(|held| held.server.clone()));
        }
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
        let positions = self.due_positions(from, now);
        let Some(leader) = &self.leader else { return };
        let index = leader.index;
        let grant = FleetGrant { sent: renewal.sent, span: LEASE, index, shares, positions };
        self.send(link, FleetMessage::Grant(Box::new(grant)));
    }

    /// Positions of primaries for a grant, unless the entry was told some just before.
    fn due_positions(&mut self, entry: &Name, now: Millis) -> Vec<PositionSample> {
        let Some(leader) = &mut self.leader else { return Vec::new() };
        let Some(state) = leader.entries.get_mut(entry.as_str()) else { return Vec::new() };
        if now < state.positioned + POSITIONS {
            return Vec::new();
        }
        let since = std::mem::replace(&mut state.positioned, now);
        self.positions(since, now)
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
            let answered = seen.answered.map(|age| now.saturating_sub(age));
            leader.reports.add(&seen.server, from, answered, seen.stalled, now);
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

    /// Notes what committed changes altered in the view, and sends it. `before` is the version of
    /// the configuration that was in force.
    pub(crate) fn fleet_changed(&mut self, before: u64) {
        let fleet = &self.machine.fleet;
        let Some(leader) = &mut self.leader else { return };
        let next = leader.index + 1;
        let backends = leader.view.backends.replace(fleet.backends.clone(), next);
        let leads = leader.view.leads.replace(lead_views(fleet), next);
        if !backends.is_empty() {
            leader.reports.retain(|server| fleet.backends.contains_key(server));
        }
        if before != fleet.plan.version || !backends.is_empty() || !leads.is_empty() {
            leader.published.extend(leads.into_iter().map(|group| (group, next)));
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
        let next = leader.index + 1;
        let delegates = delegates::choose(&places, &leader.present_delegates());
        let moved = !leader.view.delegates.replace(delegates, next).is_empty();
        if moved {
            let delegates = leader.view.delegates.values();
            log(Event::DelegatesChanged, format_args!("delegates={delegates:?}"));
        }
        let chosen = holders::choose(&places, &servers, &leader.regions, &leader.holders);
        for (server, holders) in &chosen {
            if leader.holders.get(server) != Some(holders) {
                log(Event::HoldersChanged, format_args!("server={server} holders={holders:?}"));
            }
        }
        let names = |holders: &Holders| holders.iter().map(|(name, _)| name.clone()).collect();
        let placed = chosen.iter().map(|(server, holders)| (server.clone(), names(holders)));
        leader.leases.place(placed.collect(), next);
        leader.holders = chosen;
        let views = holder_views(leader);
        let changed = leader.view.holders.replace(views, next);
        if moved || !changed.is_empty() {
            leader.index = next;
            self.update_entries();
        }
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
        let Some(leader) = &mut self.leader else { return };
        let Some(entry) = leader.entries.get_mut(name.as_str()) else { return };
        let (sent, view) = (entry.sent, &leader.view);
        if sent >= leader.index {
            return;
        }
        entry.sent = leader.index;
        let (link, key) = (entry.link, (sent, entry.version));
        let plan = self.plans.part(entry.version);
        if let Some(part) = &plan {
            entry.version = part.version;
        }
        if leader.packed_index != leader.index {
            leader.packed.clear();
            leader.packed_index = leader.index;
        }
        if let Some(packed) = leader.packed.get(&key) {
            let packed = packed.clone();
            return self.send(link, FleetMessage::Update(packed));
        }
        let update = Update {
            index: leader.index,
            term: leader.term,
            plan,
            backends: view.backends.since(sent),
            leads: view.leads.since(sent),
            holders: view.holders.since(sent),
            delegates: view.delegates.since(sent),
            members: (view.members > sent).then(|| leader.members.iter().cloned().collect()),
        };
        match Packed::new(&update) {
            Ok(packed) => {
                let packed = Arc::new(packed);
                leader.packed.insert(key, packed.clone());
                self.send(link, FleetMessage::Update(packed));
            }
            // The entry is sent everything on its next link.
            Err(e) => log(Event::UpdateUnfit, format_args!("index={}: {e}", update.index)),
        }
    }

    pub(crate) fn lead_periodic(&mut self, now: Millis) {
        let instances = self.member.instances();
        let Some(leader) = &mut self.leader else { return };
        if leader.members != instances {
            leader.members = instances;
            leader.index += 1;
            leader.view.members = leader.index;
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
