//! State of an entry: view of the fleet, lease, rate shares, and evidence on primaries.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use auburnlug_coordination::{
    evacuation::{Evacuations, Server, is_group_evacuated, is_view_recent},
    home_regions::{DomainRegions, HomeRegions},
    leader_silence::LeaderSilence,
    rate_share::{ShareBucket, ShareGrant},
    regional_limiters::{self, RegionalLimiters},
};
use auburnlug_protocol::fleet::{
    AccountDemand, ConnectionOwner, FleetGrant, FleetRenewal, FleetUpdate, OwnedConnections,
    PrimaryObservation, PrimaryView, RateShare,
};
use auburnlug_state::{
    Millis, Name, Term,
    fleet::{Backend, FleetConfig},
};
use auburnlug_transport::{
    clock::Clock,
    event::{Event, log},
};
use tokio::{sync::Notify, time::timeout};

use crate::{entry::LEADER_ANSWER_TIMEOUT_MS, metrics::GatewayMetrics};

/// Longest wait of an operation for a token while the control leader answers: a round trip to
/// another region, after a renewal that is already in flight.
const TOKEN_WAIT_LIMIT_MS: Millis = 150;

/// Longest wait of an operation for a token while the control leader does not answer: an election
/// and the first renewals after it.
const ELECTION_WAIT_LIMIT_MS: Millis = 900;

/// Interval between two requests for a token.
const TOKEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Operations that may wait for tokens of one client account; further ones are refused at once.
const MAX_TOKEN_WAITERS: u32 = 24;

/// Age up to which an answer of a primary is reported: two renewals.
const EVIDENCE_MAX_AGE_MS: Millis = 1_000;

/// View of the fleet, as the control leader sent it.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Term of the control leader that sent the view.
    pub term: Term,
    /// Index of the last update.
    pub index: u64,
    /// Configuration in force.
    pub config: Arc<FleetConfig>,
    /// Servers.
    pub backends: BTreeMap<Arc<str>, Backend>,
    /// Leaders of groups.
    pub leads: BTreeMap<Arc<str>, PrimaryView>,
    /// Connection owners of each server.
    pub connection_owners: BTreeMap<Arc<str>, Vec<ConnectionOwner>>,
    /// Regional limiters of each region.
    pub regional_limiters: RegionalLimiters,
    /// Control members.
    pub members: Vec<Name>,
    /// Evacuated failure domains.
    pub evacuated: BTreeSet<Arc<str>>,
}

impl View {
    /// Whether the failure domain of a server is evacuated.
    pub fn is_evacuated(&self, server: &Backend) -> bool {
        self.evacuated.contains(&server.domain)
    }

    /// Whether no server of a group may run statements because of evacuations.
    pub fn is_group_evacuated(&self, group: &str) -> bool {
        let servers = self.backends.values().filter(|backend| &*backend.group == group);
        let servers = servers.map(|b| Server { domain: &b.domain, draining: b.draining });
        !self.evacuated.is_empty() && is_group_evacuated(servers, &self.evacuated)
    }

    /// Whether an entry owns connections to a server.
    pub fn has_connection_owner(&self, server: &str) -> bool {
        self.connection_owners.get(server).is_some_and(|owners| !owners.is_empty())
    }

    /// Whether an entry that may receive a request of the entry `me` owns connections to a server.
    pub fn has_owner_at(&self, server: &str, homes: &HomeRegions, me: &Name) -> bool {
        self.connection_owners.get(server).is_some_and(|owners| {
            owners.iter().any(|owner| homes.allows_owner(&owner.entry, &owner.region, me))
        })
    }

    /// Whether an entry in a region owns connections to a server.
    pub fn has_owner_in(&self, server: &str, region: &str) -> bool {
        let owners = self.connection_owners.get(server);
        owners.is_some_and(|owners| owners.iter().any(|owner| *owner.region == *region))
    }
}

/// Place and identity of this instance.
#[derive(Debug, Clone)]
pub struct InstanceIdentity {
    /// Name: its IP address.
    pub name: Name,
    /// Name in the platform's settings, for logs.
    pub label: String,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Incarnation of this process.
    pub incarnation: u64,
}

/// State of an entry, shared by its tasks.
pub struct LocalState {
    /// This instance.
    pub me: InstanceIdentity,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Counters and histograms.
    pub metrics: Arc<GatewayMetrics>,
    /// Wakes the task that renews the lease.
    pub renew: Notify,
    /// Wakes operations that wait for a token.
    grant_received: Notify,
    view: RefCell<Arc<View>>,
    regions: RefCell<DomainRegions>,
    /// End of the lease, and the index of the update that must be applied for it to be valid.
    lease: Cell<(Millis, u64)>,
    /// Sending time of the last renewal that was granted.
    last_granted: Cell<Millis>,
    /// Sending time of the last renewal whose grant the view covers.
    confirmed: Cell<Millis>,
    view_expires: bool,
    evacuations: RefCell<Evacuations>,
    silence: RefCell<LeaderSilence>,
    /// Whether the last update could not be decoded or applied to the view.
    update_rejected: Cell<bool>,
    buckets: RefCell<BTreeMap<Arc<str>, ShareBucket>>,
    token_waiters: RefCell<BTreeMap<Arc<str>, u32>>,
    evidence: RefCell<BTreeMap<Arc<str>, PrimaryEvidence>>,
}

/// Evidence on the primary of a group, reported to the control leader.
#[derive(Debug, Clone, Default)]
struct PrimaryEvidence {
    server: Arc<str>,
    answered_at: Option<Millis>,
    stalled_commits: u32,
}

impl LocalState {
    /// State of an entry that has just started.
    pub fn new(
        me: InstanceIdentity,
        clock: Arc<dyn Clock>,
        metrics: Arc<GatewayMetrics>,
    ) -> LocalState {
        let clock_start = clock.now();
        let silence = RefCell::new(LeaderSilence::new(clock_start));
        LocalState {
            me,
            clock,
            metrics,
            renew: Notify::new(),
            grant_received: Notify::new(),
            view: RefCell::default(),
            regions: RefCell::default(),
            lease: Cell::default(),
            last_granted: Cell::default(),
            confirmed: Cell::new(clock_start),
            view_expires: true,
            evacuations: RefCell::default(),
            silence,
            update_rejected: Cell::default(),
            buckets: RefCell::default(),
            token_waiters: RefCell::default(),
            evidence: RefCell::default(),
        }
    }

    /// Sets the regions of failure domains from the settings.
    pub fn with_regions(self, regions: BTreeMap<Arc<str>, Arc<str>>) -> LocalState {
        let mut regions = DomainRegions::new(regions);
        regions.learn(&self.me.domain, &self.me.region);
        LocalState { regions: RefCell::new(regions), ..self }
    }

    /// Sets whether nothing is sent to servers once the view is old, as a failure domain may have been
    /// evacuated since.
    pub fn with_view_expiry(self, view_expires: bool) -> LocalState {
        LocalState { view_expires, ..self }
    }

    /// Whether a server in a failure domain may run a request.
    pub fn is_home(&self, homes: &HomeRegions, domain: &str) -> bool {
        homes.is_everywhere() || homes.contains(self.regions.borrow().region_of(domain))
    }

    /// Current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Records that the entry runs; time in which it does not counts as no silence of the leader.
    pub fn record_run(&self) {
        self.silence.borrow_mut().record_run(self.now());
    }

    /// Records a sign of a control leader.
    pub fn record_leader_sign(&self) {
        self.silence.borrow_mut().record_sign(self.now());
    }

    /// Time since the last sign of a control leader, or since the start.
    pub fn leader_silence(&self) -> Millis {
        self.silence.borrow().duration(self.now())
    }

    /// View in force.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether the lease is valid, so that primaries may be used.
    pub fn holds_lease(&self) -> bool {
        let (until, index) = self.lease.get();
        self.now() < until && self.view.borrow().index >= index
    }

    /// Whether a statement may be sent to a server as far as evacuations are concerned; `open` tells
    /// whether it belongs to an open transaction.
    pub fn may_send(&self, server: &str, open: bool) -> bool {
        let now = self.now();
        if self.view_expires && !is_view_recent(self.confirmed.get(), now) {
            return false;
        }
        let view = self.view.borrow();
        let domain = view.backends.get(server).map(|backend| &*backend.domain);
        self.evacuations.borrow().may_send(domain, open, now)
    }

    /// Whether a server is the primary of its group and may be used under the lease.
    pub fn is_leased_primary(&self, group: &str, server: &str) -> bool {
        let primary = |view: &View| {
            let lead = view.leads.get(group)?;
            lead.primary.as_deref().map(|primary| primary == server)
        };
        self.holds_lease() && primary(&self.view.borrow()).unwrap_or(false)
    }

    /// Applies an update to the view. Returns false if the update is older than the view, does not
    /// follow it, or changes a configuration that this entry does not have; the next renewal
    /// requests everything unless the update is older.
    pub fn apply_update(&self, update: FleetUpdate) -> bool {
        let before = self.view();
        if (update.term, update.index) <= (before.term, before.index) {
            return false;
        }
        // Without a missed update, the view would hold a mixture that no index ever had.
        let follows =
            update.since == 0 || (update.term, update.since) == (before.term, before.index);
        let Some(config) = self.updated_config(&before, &update).filter(|_| follows) else {
            self.update_rejected.set(true);
            return false;
        };
        self.update_rejected.set(false);
        self.record_leader_sign();
        let leased = self.holds_lease();
        let mut view = View::clone(&before);
        if update.term > view.term {
            // The lease of the former leader does not cover decisions of the new one.
            self.lease.set((0, 0));
        }
        view.term = update.term;
        view.index = update.index;
        // A new control leader may not have applied a configuration that its predecessor sent.
        if config.version > view.config.version {
            self.rescale_buckets(&view.config, &config);
            view.config = config;
        }
        if let Some(backends) = update.backends {
            backends.apply(&mut view.backends);
        }
        if let Some(leads) = update.leads {
            leads.apply(&mut view.leads);
        }
        if let Some(holders) = update.holders {
            holders.apply(&mut view.connection_owners);
            let mut regions = self.regions.borrow_mut();
            for owner in view.connection_owners.values().flatten() {
                regions.learn(&owner.domain, &owner.region);
            }
        }
        if let Some(delegates) = update.delegates {
            delegates.apply(&mut view.regional_limiters);
        }
        if let Some(members) = update.members {
            view.members = members;
        }
        // Complete parts name the evacuated domains, if there are any.
        let cleared = (update.since == 0).then(BTreeSet::new);
        if let Some(evacuated) = update.evacuated.or(cleared) {
            self.evacuations.borrow_mut().replace(&evacuated, leased, self.now());
            view.evacuated = evacuated;
        }
        log_changes(&before, &view);
        *self.view.borrow_mut() = Arc::new(view);
        true
    }

    /// Records that an update could not be decoded, so that the next renewal requests the full
    /// view.
    pub fn reject_update(&self) {
        self.update_rejected.set(true);
    }

    /// Whether the next renewal requests everything.
    pub fn needs_full_update(&self) -> bool {
        self.update_rejected.get()
    }

    /// Configuration after an update; `None` if the update starts from another configuration.
    fn updated_config(&self, view: &View, update: &FleetUpdate) -> Option<Arc<FleetConfig>> {
        let Some(part) = &update.plan else { return Some(view.config.clone()) };
        let changed = part.apply(&view.config);
        if !matches!(changed, Ok(Some(_))) {
            log(
                Event::UpdateMismatched,
                format_args!(
                    "version={} base={} held={} index={} term={} outcome={changed:?}",
                    part.version, part.base, view.config.version, update.index, update.term
                ),
            );
        }
        changed.ok().flatten()
    }

    /// Scales the token buckets to changed account rates.
    fn rescale_buckets(&self, before: &FleetConfig, after: &FleetConfig) {
        let rate =
            |config: &FleetConfig, name: &str| config.accounts.get(name).and_then(|a| a.rate);
        for (name, bucket) in self.buckets.borrow_mut().iter_mut() {
            if let (Some(before), Some(after)) = (rate(before, name), rate(after, name)) {
                bucket.reduce_share(before, after);
            }
        }
    }

    /// Applies a granted lease and rate shares.
    pub fn apply_grant(&self, grant: &FleetGrant) {
        self.lease.set((grant.sent + grant.duration, grant.index));
        self.last_granted.set(self.last_granted.get().max(grant.sent));
        if self.view.borrow().index >= grant.index {
            self.confirmed.set(self.confirmed.get().max(grant.sent));
        }
        self.record_leader_sign();
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        for share in &grant.shares {
            if let Some(bucket) = buckets.get_mut(&share.account) {
                let RateShare { rate, prefetch, tokens, total_share, .. } = *share;
                let given = ShareGrant { share: rate, prefetch, tokens, total_share };
                bucket.apply_grant(given, grant.sent, now);
            }
        }
        drop(buckets);
        self.grant_received.notify_waiters();
    }

    /// Request for the next lease; `first` if this leader has not received a full renewal yet.
    pub fn build_renewal(&self, leaving: bool, first: bool) -> FleetRenewal {
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        if first {
            buckets.values_mut().for_each(ShareBucket::clear_report);
        }
        buckets.retain(|_, bucket| !bucket.is_idle(now));
        let serves = self.admits_locally();
        let demand = buckets.iter_mut().filter_map(|(account, bucket)| {
            // An entry that is shutting down returns its rate shares.
            let serves = !leaving && (serves || bucket.is_dense());
            let ask = bucket.renewal_request(now, serves)?;
            Some(AccountDemand {
                account: account.clone(),
                rate: ask.demand,
                share: ask.share,
                prefetch: ask.prefetch,
                wanted: ask.wanted,
                total_share: ask.total_share,
            })
        });
        let evidence = self.evidence.borrow();
        // Older evidence does not tell the present state of the primary.
        let recent = |seen: &PrimaryEvidence| {
            seen.stalled_commits > 0
                || seen.answered_at.is_some_and(|at| now < at + EVIDENCE_MAX_AGE_MS)
        };
        let evidence = evidence.iter().filter(|(_, seen)| recent(seen));
        let evidence = evidence.map(|(group, seen)| PrimaryObservation {
            group: group.clone(),
            server: seen.server.clone(),
            answer_age: seen.answered_at.map(|at| now.saturating_sub(at)),
            unanswered_commits: seen.stalled_commits,
        });
        FleetRenewal {
            demand: demand.collect(),
            evidence: evidence.collect(),
            full: first,
            owned: if first { self.held_connections() } else { Vec::new() },
            ..self.build_lease_request(leaving)
        }
    }

    /// Request for a lease only, for all members while the control leader is unknown.
    pub fn build_lease_request(&self, leaving: bool) -> FleetRenewal {
        let view = self.view.borrow();
        FleetRenewal {
            sent: self.now(),
            run: self.me.incarnation,
            leaving,
            region: self.me.region.clone(),
            domain: self.me.domain.clone(),
            applied: view.index,
            term: view.term,
            version: view.config.version,
            mismatch: self.update_rejected.get(),
            demand: Vec::new(),
            evidence: Vec::new(),
            full: false,
            owned: Vec::new(),
            regional_limiter: self.is_regional_limiter(),
        }
    }

    fn held_connections(&self) -> Vec<OwnedConnections> {
        let view = self.view();
        let held = view.connection_owners.iter().filter_map(|(server, owners)| {
            let rank = owners.iter().position(|owner| owner.entry == self.me.name)?;
            Some(OwnedConnections {
                server: server.clone(),
                rank,
                connections: owners[rank].connections,
            })
        });
        held.collect()
    }

    /// Sending time of the last renewal that was granted.
    pub fn last_granted_at(&self) -> Millis {
        self.last_granted.get()
    }

    /// Whether the rate of a client account is limited.
    pub fn is_rate_limited(&self, account: &str) -> bool {
        self.view.borrow().config.accounts.get(account).is_some_and(|config| config.rate.is_some())
    }

    /// Regional limiters that admit operations of a client account for this entry, preferred ones
    /// first; empty if this entry admits them itself. An entry whose own rate share is used up while
    /// no control leader answers asks limiters that may have more.
    pub fn regional_limiters(&self, account: &str) -> Vec<Name> {
        let now = self.now();
        let (ahead, answers) = (self.waiting_for_token(account), self.leader_answers());
        if self.buckets.borrow().get(account).is_some_and(|b| !b.asks_limiter(ahead, answers, now))
        {
            return Vec::new();
        }
        let view = self.view.borrow();
        let burst = view.config.accounts.get(account).map_or(0.0, |config| config.burst);
        let identity = (&*self.me.region, &self.me.name);
        let order =
            regional_limiters::preference_order(&view.regional_limiters, identity, account, burst);
        let order = order.into_iter();
        order.take_while(|name| **name != self.me.name).cloned().collect()
    }

    fn is_regional_limiter(&self) -> bool {
        let view = self.view.borrow();
        let delegates = view.regional_limiters.get(&self.me.region);
        delegates.is_some_and(|names| names.contains(self.me.name.as_str()))
    }

    /// Whether this entry admits the operations of its callers itself: it is a regional limiter, or
    /// its region has none.
    fn admits_locally(&self) -> bool {
        let known = |view: &View| {
            view.regional_limiters.get(&self.me.region).is_some_and(|d| !d.is_empty())
        };
        self.is_regional_limiter() || !known(&self.view.borrow())
    }

    /// Records that an operation was forwarded to a regional limiter.
    pub fn record_forwarded(&self, account: &str) {
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        buckets
            .entry(account.into())
            .or_insert_with(|| ShareBucket::new(now))
            .record_forwarded(now);
    }

    /// Admits an operation of a client account by its rate, without a regional limiter. A short
    /// wait covers the round trip to the control leader. An operation beyond the rate is refused;
    /// at once if no leader answers.
    pub async fn admit(&self, account: &str) -> bool {
        !self.is_rate_limited(account)
            || self.take_token(account)
            || self.wait_for_token(account).await
    }

    /// Waits for a token for an operation that found none available.
    pub async fn wait_for_token(&self, account: &str) -> bool {
        if self.cannot_admit(account) {
            return false;
        }
        let account: Arc<str> = account.into();
        {
            let mut waiters = self.token_waiters.borrow_mut();
            let count = waiters.entry(account.clone()).or_default();
            if *count >= MAX_TOKEN_WAITERS {
                return false;
            }
            *count += 1;
        }
        let admitted = self.poll_for_token(&account).await;
        if let Some(count) = self.token_waiters.borrow_mut().get_mut(&account) {
            *count -= 1;
        }
        admitted
    }

    /// Whether no control leader answers and the entry's own rate share admits no operation soon.
    pub fn cannot_admit(&self, account: &str) -> bool {
        let (ahead, now) = (self.waiting_for_token(account), self.now());
        let buckets = self.buckets.borrow();
        let soon = buckets.get(account).is_some_and(|bucket| bucket.admits_soon(ahead, now));
        !soon && !self.leader_answers()
    }

    /// Whether the control leader has answered a recent renewal.
    fn leader_answers(&self) -> bool {
        self.now() < self.last_granted.get() + LEADER_ANSWER_TIMEOUT_MS
    }

    /// Number of operations of a client account that wait for a token.
    fn waiting_for_token(&self, account: &str) -> u32 {
        self.token_waiters.borrow().get(account).copied().unwrap_or(0)
    }

    /// Requests a token until one is granted; false if the leader has none or does not answer in
    /// time.
    async fn poll_for_token(&self, account: &str) -> bool {
        let arrival = self.now();
        loop {
            let answered = self.last_granted.get() >= arrival;
            let wait = if answered { TOKEN_WAIT_LIMIT_MS } else { ELECTION_WAIT_LIMIT_MS };
            if self.now() >= arrival + wait {
                return false;
            }
            let grant = self.grant_received.notified();
            if let Some(bucket) = self.buckets.borrow_mut().get_mut(account) {
                bucket.record_shortage();
            }
            self.renew.notify_one();
            let _ = timeout(TOKEN_RETRY_INTERVAL, grant).await;
            let mut buckets = self.buckets.borrow_mut();
            if buckets.get_mut(account).is_some_and(|bucket| bucket.take(self.now())) {
                return true;
            }
        }
    }

    /// Takes an available token for a new operation.
    pub fn take_token(&self, account: &str) -> bool {
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(account.into()).or_insert_with(|| ShareBucket::new(now));
        bucket.record_operation();
        let taken = bucket.take(now);
        if bucket.needs_refill() {
            self.renew.notify_one();
        }
        taken
    }

    /// Rate of a client account and this entry's rate share and token level, for refusals.
    pub fn describe_rate(&self, account: &str) -> String {
        let rate = self.view().config.accounts.get(account).and_then(|config| config.rate);
        let buckets = self.buckets.borrow();
        let held = buckets.get(account).map(ShareBucket::held).unwrap_or_default();
        format!("rate {:.1} share {:.1} level {:.1}", rate.unwrap_or(0.0), held.0, held.1)
    }

    /// Records that the primary of a group answered.
    pub fn record_answer(&self, group: &Arc<str>, server: &Arc<str>, commit: bool) {
        let now = self.now();
        let mut evidence = self.evidence.borrow_mut();
        let seen = evidence_for(&mut evidence, group, server);
        seen.answered_at = Some(now);
        if commit {
            seen.stalled_commits = 0;
        }
    }

    /// Records that the primary of a group did not answer a commit in time.
    pub fn record_stalled_commit(&self, group: &Arc<str>, server: &Arc<str>) {
        let mut evidence = self.evidence.borrow_mut();
        evidence_for(&mut evidence, group, server).stalled_commits += 1;
    }
}

/// Evidence on the primary of a group; starts anew if the primary has changed.
fn evidence_for<'a>(
    evidence: &'a mut BTreeMap<Arc<str>, PrimaryEvidence>,
    group: &Arc<str>,
    server: &Arc<str>,
) -> &'a mut PrimaryEvidence {
    let seen = evidence.entry(group.clone()).or_default();
    if seen.server != *server {
        *seen = PrimaryEvidence { server: server.clone(), ..PrimaryEvidence::default() };
    }
    seen
}

/// Logs the changes between two views.
fn log_changes(before: &View, after: &View) {
    if before.config.version != after.config.version {
        log(
            Event::ViewChanged,
            format_args!(
                "what=configuration version={} before={} index={} term={}",
                after.config.version, before.config.version, after.index, after.term
            ),
        );
    }
    if before.evacuated != after.evacuated {
        log(
            Event::ViewChanged,
            format_args!(
                "what=evacuations domains={:?} index={} term={}",
                after.evacuated, after.index, after.term
            ),
        );
    }
    for (group, lead) in &after.leads {
        if before.leads.get(group) != Some(lead) {
            log(
                Event::ViewChanged,
                format_args!(
                    "what=primary group={group} group_term={} primary={} index={} term={}",
                    lead.term,
                    lead.primary.as_deref().unwrap_or("none"),
                    after.index,
                    after.term
                ),
            );
        }
    }
    for (id, backend) in &after.backends {
        if before.backends.get(id) != Some(backend) {
            log(
                Event::ViewChanged,
                format_args!(
                    "what=server server={id} group={} draining={} index={} term={}",
                    backend.group, backend.draining, after.index, after.term
                ),
            );
        }
    }
    for id in before.backends.keys().filter(|id| !after.backends.contains_key(*id)) {
        log(
            Event::ViewChanged,
            format_args!("what=server server={id} removed index={}", after.index),
        );
    }
}
