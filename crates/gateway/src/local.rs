//! What an entry believes: view of the fleet, lease, shares of rates, evidence on primaries.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    sync::Arc,
    time::Duration,
};

use auburnlug_coordination::{
    delegates::{self, Delegates},
    share::{Bucket, Given},
};
use auburnlug_protocol::fleet::{
    Demand, Evidence, FleetGrant, Held, HolderView, LeadView, Renewal, Share, Update,
};
use auburnlug_state::{
    Millis, Name, Term,
    fleet::{Backend, Plan},
};
use auburnlug_transport::{
    clock::Clock,
    event::{Event, log},
};
use tokio::{sync::Notify, time::timeout};

use crate::{entry::UNANSWERED, metrics::GatewayMetrics};

/// Longest time that an operation waits for a token of its client account, in milliseconds: the
/// control leader's answer from another region, with a renewal that is just being answered.
const TOKEN_WAIT: Millis = 150;

/// Longest time that an operation waits for a token while the control leader does not answer, in
/// milliseconds: an election, and the first renewals after it.
const LEADER_WAIT: Millis = 900;

/// Longest time that an operation waits for its turn by the entry's own share while no control
/// leader answers, in milliseconds: a usual latency objective with some room for the statement.
const SHARE_WAIT: Millis = 700;

/// Time after which a token is asked for again, in milliseconds.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// Operations that may wait for tokens of one client account; later ones are refused at once.
const TOKEN_QUEUE: u32 = 24;

/// Age up to which what was seen of a primary is reported, in milliseconds: two renewals.
const EVIDENCE: Millis = 1_000;

/// View of the fleet, as the control leader sent it.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Term of the control leader that sent it.
    pub term: Term,
    /// Number of the last update.
    pub index: u64,
    /// Configuration in force.
    pub plan: Arc<Plan>,
    /// Servers.
    pub backends: BTreeMap<Arc<str>, Backend>,
    /// Leaders of groups.
    pub leads: BTreeMap<Arc<str>, LeadView>,
    /// Entries with connections.
    pub holders: BTreeMap<Arc<str>, Vec<HolderView>>,
    /// Entries of each region that admit operations for the others.
    pub delegates: Delegates,
    /// Control members.
    pub members: Vec<Name>,
}

/// Place and identity of this instance.
#[derive(Debug, Clone)]
pub struct Me {
    /// Name: its IP address.
    pub name: Name,
    /// Name in the platform's settings, for logs.
    pub label: String,
    /// Region.
    pub region: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Number of this run of the process.
    pub run: u64,
}

/// State of an entry, shared by its tasks.
pub struct Local {
    /// This instance.
    pub me: Me,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Counters and histograms.
    pub metrics: Arc<GatewayMetrics>,
    /// Wakes the task that renews the lease.
    pub renew: Notify,
    /// Wakes those that wait for a token.
    granted: Notify,
    view: RefCell<Arc<View>>,
    /// End of the lease and the update that it requires.
    lease: Cell<(Millis, u64)>,
    /// Sending time of the last renewal that was granted.
    answered: Cell<Millis>,
    /// Whether the last update did not fit the view.
    unfit: Cell<bool>,
    buckets: RefCell<BTreeMap<Arc<str>, Bucket>>,
    waiting: RefCell<BTreeMap<Arc<str>, u32>>,
    evidence: RefCell<BTreeMap<Arc<str>, Seen>>,
}

/// What this entry saw of a primary.
#[derive(Debug, Clone, Default)]
struct Seen {
    server: Arc<str>,
    answered: Option<Millis>,
    stalled: u32,
}

impl Local {
    /// State of an entry that has just started.
    pub fn new(me: Me, clock: Arc<dyn Clock>, metrics: Arc<GatewayMetrics>) -> Local {
        Local {
            me,
            clock,
            metrics,
            renew: Notify::new(),
            granted: Notify::new(),
            view: RefCell::default(),
            lease: Cell::default(),
            answered: Cell::default(),
            unfit: Cell::default(),
            buckets: RefCell::default(),
            waiting: RefCell::default(),
            evidence: RefCell::default(),
        }
    }

    /// Current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// View in force.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether primaries may be used.
    pub fn leased(&self) -> bool {
        let (until, index) = self.lease.get();
        self.now() < until && self.view.borrow().index >= index
    }

    /// Whether a server may be used as the primary of its group.
    pub fn leads(&self, group: &str, server: &str) -> bool {
        let primary = |view: &View| {
            let lead = view.leads.get(group)?;
            lead.primary.as_deref().map(|primary| primary == server)
        };
        self.leased() && primary(&self.view.borrow()).unwrap_or(false)
    }

    /// Puts an update in force; false if it is older than the view, or changes a configuration
    /// that this entry does not have. The next renewal tells the latter.
    pub fn update(&self, update: Update) -> bool {
        let before = self.view();
        if (update.term, update.index) <= (before.term, before.index) {
            return false;
        }
        let Some(plan) = self.changed_plan(&before, &update) else {
            self.unfit.set(true);
            return false;
        };
        self.unfit.set(false);
        let mut view = View::clone(&before);
        if update.term > view.term {
            // The lease of the former leader does not cover what this one decides.
            self.lease.set((0, 0));
        }
        view.term = update.term;
        view.index = update.index;
        // A control leader may not have applied what an earlier one had sent already.
        if plan.version > view.plan.version {
            self.rescale(&view.plan, &plan);
            view.plan = plan;
        }
        if let Some(backends) = update.backends {
            backends.apply(&mut view.backends);
        }
        if let Some(leads) = update.leads {
            leads.apply(&mut view.leads);
        }
        if let Some(holders) = update.holders {
            holders.apply(&mut view.holders);
        }
        if let Some(delegates) = update.delegates {
            delegates.apply(&mut view.delegates);
        }
        if let Some(members) = update.members {
            view.members = members;
        }
        log_changes(&before, &view);
        *self.view.borrow_mut() = Arc::new(view);
        true
    }

    /// Notes that an update could not be read, so that all is asked for.
    pub fn misfit(&self) {
        self.unfit.set(true);
    }

    /// Configuration after an update; `None` if the update does not fit.
    fn changed_plan(&self, view: &View, update: &Update) -> Option<Arc<Plan>> {
        let Some(part) = &update.plan else { return Some(view.plan.clone()) };
        let changed = part.apply(&view.plan);
        if !matches!(changed, Ok(Some(_))) {
            log(
                Event::UpdateUnfit,
                format_args!(
                    "version={} base={} held={} index={} term={} outcome={changed:?}",
                    part.version, part.base, view.plan.version, update.index, update.term
                ),
            );
        }
        changed.ok().flatten()
    }

    fn rescale(&self, before: &Plan, after: &Plan) {
        let rate = |plan: &Plan, name: &str| plan.accounts.get(name).and_then(|a| a.rate);
        for (name, bucket) in self.buckets.borrow_mut().iter_mut() {
            if let (Some(before), Some(after)) = (rate(before, name), rate(after, name)) {
                bucket.scale(before, after);
            }
        }
    }

    /// Takes a lease and shares.
    pub fn grant(&self, grant: &FleetGrant) {
        self.lease.set((grant.sent + grant.span, grant.index));
        self.answered.set(self.answered.get().max(grant.sent));
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        for share in &grant.shares {
            if let Some(bucket) = buckets.get_mut(&share.account) {
                let Share { rate, room, tokens, spread, .. } = *share;
                let given = Given { share: rate, room, tokens, spread };
                bucket.give(given, grant.sent, now);
            }
        }
        drop(buckets);
        self.granted.notify_waiters();
    }

    /// Request for the next lease; `first` if it goes to a leader that has not answered before.
    pub fn renewal(&self, leaving: bool, first: bool) -> Renewal {
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        if first {
            buckets.values_mut().for_each(Bucket::unreport);
        }
        buckets.retain(|_, bucket| !bucket.unused(now));
        let serves = self.serves();
        let demand = buckets.iter_mut().filter_map(|(account, bucket)| {
            // An entry that stops gives back what it holds.
            let serves = !leaving && (serves || bucket.dense());
            let ask = bucket.ask(now, serves)?;
            Some(Demand {
                account: account.clone(),
                rate: ask.demand,
                share: ask.share,
                room: ask.room,
                wanted: ask.wanted,
                spread: ask.spread,
            })
        });
        let evidence = self.evidence.borrow();
        // What is older says nothing about the primary's present state.
        let recent =
            |seen: &Seen| seen.stalled > 0 || seen.answered.is_some_and(|at| now < at + EVIDENCE);
        let evidence = evidence.iter().filter(|(_, seen)| recent(seen));
        let evidence = evidence.map(|(group, seen)| Evidence {
            group: group.clone(),
            server: seen.server.clone(),
            answered: seen.answered.map(|at| now.saturating_sub(at)),
            stalled: seen.stalled,
        });
        Renewal {
            demand: demand.collect(),
            evidence: evidence.collect(),
            full: first,
            holds: if first { self.holds() } else { Vec::new() },
            ..self.search(leaving)
        }
    }

    /// Request for a lease only, to members that may lead.
    pub fn search(&self, leaving: bool) -> Renewal {
        let view = self.view.borrow();
        Renewal {
            sent: self.now(),
            run: self.me.run,
            leaving,
            region: self.me.region.clone(),
            domain: self.me.domain.clone(),
            applied: view.index,
            term: view.term,
            version: view.plan.version,
            unfit: self.unfit.get(),
            demand: Vec::new(),
            evidence: Vec::new(),
            full: false,
            holds: Vec::new(),
            delegate: self.is_delegate(),
        }
    }

    fn holds(&self) -> Vec<Held> {
        let view = self.view();
        let held = view.holders.iter().filter_map(|(server, holders)| {
            let turn = holders.iter().position(|holder| holder.entry == self.me.name)?;
            Some(Held { server: server.clone(), turn, connections: holders[turn].connections })
        });
        held.collect()
    }

    /// Sending time of the last renewal that the control leader answered.
    pub fn answered_at(&self) -> Millis {
        self.answered.get()
    }

    /// Whether the rate of a client account is limited.
    pub fn limited(&self, account: &str) -> bool {
        self.view.borrow().plan.accounts.get(account).is_some_and(|plan| plan.rate.is_some())
    }

    /// Delegates to which this entry leaves an operation of a client account, the preferred one
    /// first; empty if it admits the account's operations itself.
    pub fn delegates(&self, account: &str) -> Vec<Name> {
        let now = self.now();
        if self.buckets.borrow().get(account).is_some_and(|bucket| bucket.alone(now)) {
            return Vec::new();
        }
        let view = self.view.borrow();
        let burst = view.plan.accounts.get(account).map_or(0.0, |plan| plan.burst);
        let me = (&*self.me.region, &self.me.name);
        let order = delegates::order(&view.delegates, me, account, burst);
        let order = order.into_iter();
        order.take_while(|name| **name != self.me.name).cloned().collect()
    }

    fn is_delegate(&self) -> bool {
        let view = self.view.borrow();
        let delegates = view.delegates.get(&self.me.region);
        delegates.is_some_and(|names| names.contains(self.me.name.as_str()))
    }

    /// Whether this entry admits operations of all client accounts that come to it.
    fn serves(&self) -> bool {
        let known =
            |view: &View| view.delegates.get(&self.me.region).is_some_and(|d| !d.is_empty());
        self.is_delegate() || !known(&self.view.borrow())
    }

    /// Notes that an operation was left to a delegate.
    pub fn pass(&self, account: &str) {
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        buckets.entry(account.into()).or_insert_with(|| Bucket::new(now)).pass(now);
    }

    /// Admits one operation of a client account by its rate, without a delegate. A short wait
    /// bridges the way to the control leader; what the account's rate does not cover is refused,
    /// at once if no leader answers.
    pub async fn admit(&self, account: &str) -> bool {
        !self.limited(account) || self.take(account) || self.wait(account).await
    }

    /// Waits for a token for an operation that found none at hand.
    pub async fn wait(&self, account: &str) -> bool {
        if self.unable(account) {
            return false;
        }
        let account: Arc<str> = account.into();
        {
            let mut waiting = self.waiting.borrow_mut();
            let count = waiting.entry(account.clone()).or_default();
            if *count >= TOKEN_QUEUE {
                return false;
            }
            *count += 1;
        }
        let admitted = self.wait_token(&account).await;
        if let Some(count) = self.waiting.borrow_mut().get_mut(&account) {
            *count -= 1;
        }
        admitted
    }

    /// Whether no control leader answers, and the entry's own share admits no operation soon.
    pub fn unable(&self, account: &str) -> bool {
        self.now() >= self.answered.get() + UNANSWERED && !self.soon(account)
    }

    /// Whether the entry's own share admits another operation soon.
    fn soon(&self, account: &str) -> bool {
        let ahead = self.waiting.borrow().get(account).copied().unwrap_or(0);
        let buckets = self.buckets.borrow();
        let ready = buckets.get(account).and_then(|bucket| bucket.ready_in(ahead, self.now()));
        ready.is_some_and(|wait| wait <= SHARE_WAIT)
    }

    /// Waits for a token; false if the leader has none to give, or does not answer.
    async fn wait_token(&self, account: &str) -> bool {
        let arrival = self.now();
        loop {
            let answered = self.answered.get() >= arrival;
            let wait = if answered { TOKEN_WAIT } else { LEADER_WAIT };
            if self.now() >= arrival + wait {
                return false;
            }
            let granted = self.granted.notified();
            if let Some(bucket) = self.buckets.borrow_mut().get_mut(account) {
                bucket.lack();
            }
            self.renew.notify_one();
            let _ = timeout(ASK_AGAIN, granted).await;
            let mut buckets = self.buckets.borrow_mut();
            if buckets.get_mut(account).is_some_and(|bucket| bucket.take(self.now())) {
                return true;
            }
        }
    }

    /// Takes a token that is at hand, for a new operation.
    pub fn take(&self, account: &str) -> bool {
        let now = self.now();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(account.into()).or_insert_with(|| Bucket::new(now));
        bucket.note();
        let taken = bucket.take(now);
        if bucket.low() {
            self.renew.notify_one();
        }
        taken
    }

    /// Rate of a client account and what this entry holds of it, for the log line of a refusal.
    pub fn describe(&self, account: &str) -> String {
        let rate = self.view().plan.accounts.get(account).and_then(|plan| plan.rate);
        let buckets = self.buckets.borrow();
        let held = buckets.get(account).map(Bucket::held).unwrap_or_default();
        format!("rate {:.1} share {:.1} level {:.1}", rate.unwrap_or(0.0), held.0, held.1)
    }

    /// Notes that the primary of a group answered.
    pub fn answered(&self, group: &Arc<str>, server: &Arc<str>, commit: bool) {
        let now = self.now();
        let mut evidence = self.evidence.borrow_mut();
        let seen = seen(&mut evidence, group, server);
        seen.answered = Some(now);
        if commit {
            seen.stalled = 0;
        }
    }

    /// Notes that the primary of a group left a commit unanswered.
    pub fn stalled(&self, group: &Arc<str>, server: &Arc<str>) {
        let mut evidence = self.evidence.borrow_mut();
        seen(&mut evidence, group, server).stalled += 1;
    }
}

fn seen<'a>(
    evidence: &'a mut BTreeMap<Arc<str>, Seen>,
    group: &Arc<str>,
    server: &Arc<str>,
) -> &'a mut Seen {
    let seen = evidence.entry(group.clone()).or_default();
    if seen.server != *server {
        *seen = Seen { server: server.clone(), ..Seen::default() };
    }
    seen
}

fn log_changes(before: &View, after: &View) {
    if before.plan.version != after.plan.version {
        log(
            Event::ViewChanged,
            format_args!(
                "what=configuration version={} before={} index={} term={}",
                after.plan.version, before.plan.version, after.index, after.term
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
