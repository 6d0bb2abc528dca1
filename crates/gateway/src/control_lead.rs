//! Control leader: its state, the leases and rate shares that it grants to entries, and its periodic
//! work.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::{
    connection_owners::{Location, ServerOwners},
    entry_leases::{self, ENTRY_LEASE_MS, EntryLeases},
    observation::ObservationClock,
    pending_entries::PendingEntries,
    rate_share::{
        RateLimit, RateShares, SHARE_RECLAIM_DELAY_MS, ShareGrant, ShareRequest as ShareAsk,
    },
    registration::EarlierRuns,
    server_pace::ColdShares,
    server_reports::ServerReports,
    update_pace::UpdatePace,
};
use auburnlug_protocol::{
    fleet::{
        AccountDemand, FleetGrant, FleetMessage, FleetRenewal, PositionSample, PrimaryObservation,
        RateShare,
    },
    packed::Packed,
};
use auburnlug_state::{
    Millis, Name, Term,
    fleet::{FleetChange, Incarnation},
};
use auburnlug_transport::event::{Event, log};

use crate::{
    control::Control,
    control_assignment::ASSIGNMENT_DEBOUNCE_MS,
    control_departures::DepartureWatch,
    control_evacuation::EvacuationWait,
    control_failover::ExternalFailover,
    control_handle::Heartbeat,
    control_heartbeat::UnusedHeartbeats,
    control_probe::ServerMonitor,
    control_updates::{PublishedView, lead_views},
    leader_lease::LeaderLease,
};

/// Time without a renewal after which an entry is removed.
pub(crate) const ENTRY_EXPIRY_MS: Millis = 3_500;

/// Time without a renewal after which an entry is assigned no connections: three missed renewals.
const RENEWAL_TIMEOUT_MS: Millis = 1_500;

/// Time without a link after which an entry is assigned no connections. A running process
/// reconnects sooner, so this one has ended.
const RECONNECT_TIMEOUT_MS: Millis = 400;

/// Time without a heartbeat after which a server is logged as unresponsive.
const SERVER_HEARTBEAT_TIMEOUT_MS: Millis = 5_000;

/// Minimum time between two grants with positions to the same entry. Positions make a grant large,
/// and an entry may receive a grant for every token that it waits for.
const MIN_POSITIONS_INTERVAL_MS: Millis = 250;

/// Delay of the first assignment by a new leader. Entries report the connections that they own as
/// soon as they learn of the leader; one way between regions takes some ten milliseconds.
const INITIAL_ASSIGNMENT_DELAY_MS: Millis = 250;

/// State of the control leader.
pub(crate) struct Leader {
    /// Raft term.
    pub(crate) term: Term,
    /// Time at which the leadership started.
    pub(crate) leading_since: Millis,
    /// Observation time, in which the silence of entries and servers is measured.
    pub(crate) observation: ObservationClock,
    /// Lease of this leadership; a later one of the same member has another.
    pub(crate) lease: LeaderLease,
    pub(crate) leases: EntryLeases,
    pub(crate) entries: BTreeMap<Name, EntryState>,
    pub(crate) heartbeats: BTreeMap<Arc<str>, LastHeartbeat>,
    /// Names whose last heartbeat was not used.
    pub(crate) unused: UnusedHeartbeats,
    /// Servers of which an earlier process than the recorded one reports.
    pub(crate) earlier_runs: EarlierRuns,
    /// Names that the server at the address of a heartbeat is being asked for.
    pub(crate) confirming: BTreeSet<Arc<str>>,
    pub(crate) reports: ServerReports,
    pub(crate) monitors: BTreeMap<Arc<str>, ServerMonitor>,
    pub(crate) failovers: BTreeMap<Arc<str>, ExternalFailover>,
    /// Replicas that left and may have held commits that no other replica holds.
    pub(crate) departures: BTreeMap<Arc<str>, DepartureWatch>,
    /// Groups whose primary stays although it should be replaced, with the time of the last log
    /// line.
    pub(crate) deferrals: BTreeMap<Arc<str>, Millis>,
    /// Time of the last look at all groups.
    pub(crate) looked_at: Millis,
    /// Requests for evacuations that are not acknowledged.
    pub(crate) evacuation_waits: Vec<EvacuationWait>,
    /// Observation time since which no replica of a group has received the primary's whole log.
    pub(crate) unreplicated_since: BTreeMap<Arc<str>, Millis>,
    pub(crate) connection_owners: BTreeMap<Arc<str>, ServerOwners>,
    /// Shares of the rates of servers in groups that limit cold ones.
    pub(crate) cold_shares: ColdShares,
    /// Region of each failure domain.
    pub(crate) regions: BTreeMap<Arc<str>, Arc<str>>,
    pub(crate) members: BTreeSet<Name>,
    /// Time of the next assignment of connections.
    pub(crate) assign_at: Option<Millis>,
    /// Number of entries that may own connections.
    pub(crate) healthy_entries: usize,
    pub(crate) shares: RateShares,
    /// Entries of an earlier leader that have not reported their rate shares.
    pub(crate) unreported: BTreeSet<Name>,
    /// Latest restart among those entries, after which none of them can hold a share; `None` once
    /// one of them reports without a restart.
    pub(crate) latest_restart: Option<Millis>,
    /// Renewals of entries whose registration is not committed yet, with their links.
    pub(crate) pending_entries: PendingEntries<(u64, FleetRenewal)>,
    /// Observation time since which registered entries have not renewed their lease.
    pub(crate) absent_since: BTreeMap<Name, Millis>,
    /// Index of the newest update.
    pub(crate) index: u64,
    /// When the newest update is sent to all entries.
    pub(crate) pace: UpdatePace,
    pub(crate) view: PublishedView,
    /// Encoded updates to the newest state, by the update index and the configuration version that
    /// an entry has.
    pub(crate) encoded_updates: BTreeMap<(u64, u64), Arc<Packed>>,
    /// Update index that the encoded updates lead to.
    pub(crate) encoded_index: u64,
    /// Index of the update that announced the present leader of each group.
    pub(crate) lead_index: BTreeMap<Arc<str>, u64>,
}

/// An entry that renews its lease with this leader.
pub(crate) struct EntryState {
    pub(crate) link: u64,
    pub(crate) incarnation: u64,
    pub(crate) location: Location,
    /// Index of the last update sent on this link; 0 before the first.
    pub(crate) sent_index: u64,
    /// Configuration version that the entry has after all updates sent on this link.
    pub(crate) config_version: u64,
    /// Observation time of the last renewal.
    pub(crate) renewed_at: Millis,
    /// Time of the last grant with position samples.
    pub(crate) sampled_at: Millis,
    /// Observation time since which the entry has no link to this member.
    pub(crate) disconnected_at: Option<Millis>,
    /// Whether the entry is shutting down and should own no connections.
    pub(crate) leaving: bool,
    /// Whether the entry is a regional limiter.
    pub(crate) regional_limiter: bool,
}

impl EntryState {
    /// Whether the entry may own connections at an observation time.
    pub(crate) fn is_healthy(&self, observed: Millis) -> bool {
        !self.leaving
            && observed < self.renewed_at + RENEWAL_TIMEOUT_MS
            && self.disconnected_at.is_none_or(|since| observed < since + RECONNECT_TIMEOUT_MS)
    }
}

/// The last heartbeat of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastHeartbeat {
    incarnation: Incarnation,
    sequence: u64,
    /// Observation time of its arrival.
    pub(crate) received_at: Millis,
    /// Whether the server reported itself as primary.
    pub(crate) claims_primary: bool,
    timed_out: bool,
    /// Whether another control member is to receive the server's next heartbeats.
    elsewhere: bool,
}

impl Leader {
    /// Queues a new incarnation of an entry until its registration is committed.
    fn queue_registration(&mut self, link: u64, from: &Name, renewal: FleetRenewal, now: Millis) {
        // The process of the earlier incarnation has ended, and with it its lease and shares.
        self.shares.remove_entry(from);
        if self.unreported.remove(from.as_str()) {
            // The clock of an entry starts at zero with its process.
            let started_at = now.saturating_sub(renewal.sent);
            self.latest_restart = self.latest_restart.map(|latest| latest.max(started_at));
        }
        self.pending_entries.wait(from.clone(), renewal.run, (link, renewal));
    }

    /// Index of the update in which the evacuated failure domains last changed.
    pub(crate) fn evacuated_index(&self) -> u64 {
        self.view.evacuated_index
    }

    /// Whether an entry in a failure domain has renewed its lease with this leader.
    pub(crate) fn has_seen_domain(&self, domain: &str) -> bool {
        self.regions.contains_key(domain)
            || self.entries.values().any(|entry| *entry.location.domain == *domain)
    }

    /// Records that a heartbeat was used. `elsewhere` tells that another member is to receive the
    /// next ones.
    pub(crate) fn record_heartbeat(&mut self, beat: &Heartbeat, elsewhere: bool, now: Millis) {
        let heartbeat = LastHeartbeat {
            incarnation: beat.backend.run,
            sequence: beat.sequence,
            received_at: self.observation.at(now),
            claims_primary: beat.claims_primary,
            timed_out: false,
            elsewhere,
        };
        self.heartbeats.insert(beat.backend.id.clone(), heartbeat);
    }

    /// Incarnation and sequence number of the last heartbeat of a server that was used.
    pub(crate) fn latest_heartbeat(&self, server: &str) -> Option<(Incarnation, u64)> {
        self.heartbeats.get(server).map(|last| (last.incarnation, last.sequence))
    }
}

impl Control {
    /// Starts the work of the control leader.
    pub(crate) fn start_leading(&mut self) {
        let now = self.now();
        let term = self.member.term();
        let first = self.fleet().plan.version == 0 && self.fleet().leads.is_empty();
        log(
            Event::LeaderElected,
            format_args!("term={term} first={first} links={}", self.accepted_links.len()),
        );
        // Entries keep their connection owners and regional limiters until the first assignment.
        let mut view = PublishedView { members: 1, ..PublishedView::default() };
        view.backends.replace(self.fleet().backends.clone().into(), 1);
        view.leads.replace(lead_views(self.fleet()), 1);
        view.evacuated = self.fleet().evacuated_domains();
        view.evacuated_index = u64::from(!view.evacuated.is_empty());
        self.metrics.evacuated_domains.set(view.evacuated.len() as i64);
        let assign_at =
            Some(now + if first { ASSIGNMENT_DEBOUNCE_MS } else { INITIAL_ASSIGNMENT_DELAY_MS });
        let lead_index = self.fleet().leads.keys().map(|group| (group.clone(), 1)).collect();
        let recorded: BTreeSet<Name> = self.fleet().entries.keys().cloned().collect();
        self.leader = Some(Leader {
            term,
            leading_since: now,
            observation: ObservationClock::new(now),
            lease: LeaderLease::new(self.clock.clone()),
            leases: EntryLeases::new(now, recorded.clone()),
            entries: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            unused: UnusedHeartbeats::default(),
            earlier_runs: EarlierRuns::default(),
            confirming: BTreeSet::new(),
            reports: ServerReports::default(),
            monitors: BTreeMap::new(),
            failovers: BTreeMap::new(),
            departures: BTreeMap::new(),
            deferrals: BTreeMap::new(),
            looked_at: 0,
            evacuation_waits: Vec::new(),
            unreplicated_since: BTreeMap::new(),
            connection_owners: BTreeMap::new(),
            cold_shares: ColdShares::default(),
            regions: BTreeMap::new(),
            members: self.member.instances(),
            assign_at,
            healthy_entries: 0,
            shares: RateShares::new(now, first),
            unreported: recorded,
            latest_restart: Some(0),
            pending_entries: PendingEntries::new(),
            absent_since: BTreeMap::new(),
            index: 1,
            pace: UpdatePace::default(),
            view,
            encoded_updates: BTreeMap::new(),
            encoded_index: 0,
            lead_index,
        });
        let links: Vec<u64> = self.accepted_links.keys().copied().collect();
        for link in links {
            self.send(link, FleetMessage::Leading);
        }
    }

    /// Answers the renewal of an entry.
    pub(crate) fn handle_renewal(&mut self, link: u64, from: &Name, msg: FleetRenewal) {
        let now = self.now();
        let recorded = self.machine.fleet.entries.get(from.as_str()).copied();
        let Some(leader) = &mut self.leader else { return };
        if recorded != Some(msg.run) {
            leader.queue_registration(link, from, msg, now);
            return self.propose_entry_changes(now);
        }
        if msg.full && leader.unreported.remove(from.as_str()) {
            leader.latest_restart = None;
        }
        let location = Location { region: msg.region, domain: msg.domain };
        let old = leader.entries.get(from.as_str());
        let same_link = old.is_some_and(|e| e.link == link);
        let joined = old.is_none_or(|e| e.incarnation != msg.run || e.leaving != msg.leaving);
        let sampled_at = old.filter(|_| same_link).map_or(0, |e| e.sampled_at);
        // Updates of another leader do not count: update indexes are valid within one term only.
        let old = old.filter(|e| e.link == link && e.incarnation == msg.run && !msg.mismatch);
        let (sent_index, config_version) = old
            .filter(|e| e.sent_index > 0)
            .map_or((0, msg.version), |e| (e.sent_index, e.config_version));
        let report = (msg.term, msg.applied);
        let applied = if same_link {
            entry_leases::applied_update(leader.term, report, sent_index)
        } else {
            0
        };
        let state = EntryState {
            link,
            incarnation: msg.run,
            location,
            sent_index,
            config_version,
            renewed_at: leader.observation.at(now),
            sampled_at,
            disconnected_at: None,
            leaving: msg.leaving,
            regional_limiter: msg.regional_limiter,
        };
        leader.entries.insert(from.clone(), state);
        leader.leases.renew(from, applied, now);
        if msg.full && applied > 0 {
            leader.leases.report_servers(from, msg.owned.iter().map(|held| held.server.clone()));
        }
        leader.inherit_connections(from, msg.owned);
        self.record_evidence(from, msg.evidence, now);
        if joined {
            log(
                Event::EntryChanged,
                format_args!("entry={} run={} leaving={}", from.as_str(), msg.run, msg.leaving),
            );
            self.schedule_assignment();
        }
        self.send_update(from);
        let shares = self.grant_shares(from, &msg.demand, now);
        let positions = self.take_due_positions(from, now);
        let Some(leader) = &self.leader else { return };
        let index = leader.index;
        let grant =
            FleetGrant { sent: msg.sent, duration: ENTRY_LEASE_MS, index, shares, positions };
        self.send(link, FleetMessage::Grant(Box::new(grant)));
    }

    /// Positions of primaries for a grant, at most once per [`MIN_POSITIONS_INTERVAL_MS`].
    fn take_due_positions(&mut self, entry: &Name, now: Millis) -> Vec<PositionSample> {
        let Some(leader) = &mut self.leader else { return Vec::new() };
        let Some(state) = leader.entries.get_mut(entry.as_str()) else { return Vec::new() };
        if now < state.sampled_at + MIN_POSITIONS_INTERVAL_MS {
            return Vec::new();
        }
        let since = std::mem::replace(&mut state.sampled_at, now);
        self.positions(since, now)
    }

    /// Proposes to record entries that joined or left; one proposal is in flight at a time.
    fn propose_entry_changes(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        if !leader.pending_entries.can_propose(now) {
            return;
        }
        let joined = leader.pending_entries.incarnations();
        let observed = leader.observation.at(now);
        let is_expired = |name: &Name| {
            let since = leader.absent_since.get(name);
            since.is_some_and(|since| observed >= since + SHARE_RECLAIM_DELAY_MS)
        };
        let left = self.machine.fleet.entries.iter().filter(|(name, _)| is_expired(name));
        let left: BTreeMap<Name, u64> = left.map(|(name, run)| (name.clone(), *run)).collect();
        if joined.is_empty() && left.is_empty() {
            return;
        }
        leader.pending_entries.record_proposed(now);
        self.propose(FleetChange::Entries { joined, left }, None);
    }

    /// Answers the renewals of entries whose registration was committed.
    pub(crate) fn handle_recorded_entries(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        for (name, (link, renewal)) in
            leader.pending_entries.take_recorded(&self.machine.fleet.entries)
        {
            self.handle_renewal(link, &name, renewal);
        }
        let now = self.now();
        self.propose_entry_changes(now);
        self.advance_first_assignment(now);
    }

    /// Updates the times since which registered entries have not renewed.
    fn update_absent_entries(&mut self, now: Millis) {
        let recorded = &self.machine.fleet.entries;
        let Some(leader) = &mut self.leader else { return };
        let entries = &leader.entries;
        let observed = leader.observation.at(now);
        leader
            .absent_since
            .retain(|name, _| recorded.contains_key(name) && !entries.contains_key(name));
        for name in recorded.keys().filter(|name| !entries.contains_key(*name)) {
            leader.absent_since.entry(name.clone()).or_insert(observed);
        }
        if leader.unreported.is_empty() {
            leader.shares.mark_all_reported(leader.latest_restart, now);
        }
    }

    /// Records what an entry reported about primaries.
    fn record_evidence(&mut self, from: &Name, evidence: Vec<PrimaryObservation>, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let observed = leader.observation.at(now);
        for report in evidence {
            let answered = report.answer_age.map(|age| observed.saturating_sub(age));
            leader.reports.add(&report.server, from, answered, report.unanswered_commits, observed);
        }
    }

    /// Grants an entry its rate shares for the reported demand.
    fn grant_shares(
        &mut self,
        from: &Name,
        demand: &[AccountDemand],
        now: Millis,
    ) -> Vec<RateShare> {
        let plan = self.machine.fleet.plan.clone();
        let Some(leader) = &mut self.leader else { return Vec::new() };
        let mut shares = Vec::with_capacity(demand.len());
        for demand in demand {
            let Some(account) = plan.accounts.get(&demand.account) else { continue };
            let Some(rate) = account.rate else { continue };
            let limit = RateLimit { rate, burst: account.burst };
            let AccountDemand { share, prefetch, wanted, total_share, .. } = *demand;
            let ask = ShareAsk { demand: demand.rate, share, prefetch, wanted, total_share };
            let grant = leader.shares.renew(from, &demand.account, limit, ask, now);
            let ShareGrant { share: rate, prefetch, tokens, total_share } = grant;
            shares.push(RateShare {
                account: demand.account.clone(),
                rate,
                prefetch,
                tokens,
                total_share,
            });
        }
        shares
    }

    /// Handles the end of a link from an entry.
    pub(crate) fn handle_link_loss(&mut self, link: u64) {
        let Some(leader) = &mut self.leader else { return };
        let observed = leader.observation.at(self.clock.now());
        // The lease stays valid; only updates sent on the link may be lost.
        for (name, entry) in leader.entries.iter_mut().filter(|(_, entry)| entry.link == link) {
            leader.leases.reset_applied(name);
            entry.sent_index = 0;
            entry.disconnected_at = Some(observed);
        }
    }

    /// Runs the periodic work of the leader: expiry, assignment and the monitoring of groups.
    pub(crate) fn run_leader_tasks(&mut self, now: Millis) {
        // Without its lease, this member may be unable to hear others, and another one may lead.
        if !self.member.leads(now) {
            return;
        }
        let instances = self.member.instances();
        let Some(leader) = &mut self.leader else { return };
        leader.observation.record_run(now);
        if leader.members != instances {
            leader.members = instances;
            leader.index += 1;
            leader.view.members = leader.index;
            self.send_updates();
        }
        let Some(leader) = &mut self.leader else { return };
        let before = leader.healthy_entries;
        let observed = leader.observation.at(now);
        leader.leases.remove_expired(now);
        leader.entries.retain(|_, entry| observed < entry.renewed_at + ENTRY_EXPIRY_MS);
        self.update_absent_entries(now);
        self.propose_entry_changes(now);
        let Some(leader) = &mut self.leader else { return };
        for (id, heartbeat) in &mut leader.heartbeats {
            let timeout_at = heartbeat.received_at + SERVER_HEARTBEAT_TIMEOUT_MS;
            if !heartbeat.timed_out && !heartbeat.elsewhere && observed >= timeout_at {
                heartbeat.timed_out = true;
                log(
                    Event::BackendUnresponsive,
                    format_args!("server={id} seq={}", heartbeat.sequence),
                );
            }
        }
        leader.healthy_entries =
            leader.entries.values().filter(|entry| entry.is_healthy(observed)).count();
        if leader.healthy_entries != before {
            log(
                Event::EntryChanged,
                format_args!("healthy={} before={before}", leader.healthy_entries),
            );
            self.schedule_assignment();
        }
        if self.leader.as_ref().is_some_and(|l| l.cold_shares.has_released(&l.leases, now)) {
            self.schedule_assignment();
        }
        if self.leader.as_ref().is_some_and(|l| l.assign_at.is_some_and(|at| now >= at)) {
            self.assign_connections();
        }
        self.send_due_updates(now);
        self.answer_evacuations(now);
        self.monitor_groups(now);
    }
}
