//! State of a database group at its group owner.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use auburnlug_coordination::{
    Position,
    acks::{AckTracker, WriteState},
    dedup::{RequestEntry, RequestTable},
    failover::{self, Failover},
    freshness::Freshness,
    queue::{FairQueue, FifoQueue, Queue},
    retry::RetryBudget,
    route::Route,
    session::SessionPositions,
};
use auburnlug_protocol::{
    peer::{Answer, TransactionEffect},
    settings::Policy,
};
use auburnlug_state::{self as state, GroupState, Millis, Name, Term};
use tokio::{
    sync::{Notify, oneshot, watch},
    time::{Instant, timeout_at},
};

use crate::{
    dispatch::QueuedRequest,
    event::{Event, log},
    forwarder::lock,
    id_replication::Copier,
    member::Member,
    metrics::Metrics,
    monitor,
    rate_limits::RateLimits,
    server::ServerConnector,
    status::Status,
    view::{Control, View},
};

const MAX_QUEUED_REQUESTS: usize = 10_000;

/// Sessions of a group whose write position is kept.
const MAX_SESSION_POSITIONS: usize = 100_000;

/// Request ids that a group remembers for deduplication.
pub(crate) const MAX_REQUEST_IDS: usize = 200_000;

/// Total size of the answers that are remembered with the request ids.
pub(crate) const MAX_STORED_ANSWER_BYTES: usize = 64 << 20;

/// A database group that this instance owns.
pub(crate) struct Group {
    pub name: Name,
    pub config: state::Group,
    pub epoch: u64,
    pub control: Arc<dyn Control>,
    pub servers: Arc<dyn ServerConnector>,
    pub metrics: Arc<Metrics>,
    pub rates: Arc<RateLimits>,
    pub route: Box<dyn Route + Sync>,
    pub core: Mutex<Core>,
    pub requests: SharedRequestIds,
    pub copier: Copier,
    /// Current term and its primary.
    pub primary: watch::Sender<(Term, Option<Name>)>,
    /// Wakes the failover task.
    pub wake: Notify,
    pub closed: watch::Sender<bool>,
    /// Set while the group drains: new requests are refused.
    draining: AtomicBool,
    /// Requests that were admitted and are not answered yet.
    in_flight: AtomicU32,
}

/// An admitted request; counts as in flight until it is dropped.
pub(crate) struct InFlightRequest {
    pub group: Arc<Group>,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.group.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Request ids of a group, with their answers and the requests that wait for them.
pub(crate) type RequestIds = RequestTable<Answer, oneshot::Sender<Answer>>;

/// Request ids that are kept when the group stops and starts again under the same epoch.
pub(crate) type SharedRequestIds = Arc<Mutex<RequestIds>>;

/// Creates the request ids of a group that starts; `first` means that it had no owner before, and
/// `copy` is the complete copy of the previous owner's table.
pub(crate) fn request_ids(
    first: bool,
    copy: Option<Vec<RequestEntry<Answer>>>,
    now: Millis,
) -> RequestIds {
    if first {
        RequestTable::new(MAX_REQUEST_IDS, MAX_STORED_ANSWER_BYTES)
    } else {
        RequestTable::resume(MAX_REQUEST_IDS, MAX_STORED_ANSWER_BYTES, copy, now)
    }
}

/// State that the tasks of a group share.
pub(crate) struct Core {
    pub members: BTreeMap<Name, Arc<Member>>,
    pub queue: Box<dyn Queue<QueuedRequest>>,
    /// `None` until the primary has reported its position after the takeover.
    pub positions: Option<SessionPositions>,
    pub freshness: Freshness,
    pub budget: RetryBudget,
    pub failover: Failover,
    acks: AckTracker,
    waiters: HashMap<u64, oneshot::Sender<bool>>,
    next_waiter: u64,
}

/// Dependencies of a group on its instance.
pub(crate) struct GroupContext {
    pub control: Arc<dyn Control>,
    pub servers: Arc<dyn ServerConnector>,
    pub metrics: Arc<Metrics>,
    pub rates: Arc<RateLimits>,
    pub requests: SharedRequestIds,
    pub copier: Copier,
    pub route: Box<dyn Route + Sync>,
    pub policy: Policy,
}

impl Group {
    pub(crate) fn start(
        name: Name,
        config: state::Group,
        epoch: u64,
        context: GroupContext,
        view: &View,
    ) -> Arc<Group> {
        let GroupContext { control, servers, metrics, rates, requests, copier, route, policy } =
            context;
        let now = control.now();
        let recorded = view.machine.groups.get(&name).cloned().unwrap_or_default();
        let core = Mutex::new(Core::new(config.size, recorded.clone(), policy, now));
        let group = Arc::new(Group {
            name,
            config,
            epoch,
            control,
            servers,
            metrics,
            rates,
            route,
            core,
            requests,
            copier,
            primary: watch::Sender::new((recorded.term, recorded.primary)),
            wake: Notify::new(),
            closed: watch::Sender::new(false),
            draining: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
        });
        log(Event::GroupOwned, format_args!("{} under epoch {epoch}", group.name));
        tokio::spawn(crate::owner_failover::run_failover(group.clone()));
        group
    }

    /// Stops the group on this instance: queued requests are refused, and the outcome of running
    /// writes becomes unknown.
    pub(crate) fn close(&self) {
        if self.closed.send_replace(true) {
            return;
        }
        log(Event::GroupReleased, format_args!("{} under epoch {}", self.name, self.epoch));
        let mut core = lock(&self.core);
        // Dropping the senders wakes the waiting requests.
        let queue = std::mem::replace(&mut core.queue, Box::new(FairQueue::new(0)));
        let waiters = std::mem::take(&mut core.waiters);
        core.members.clear();
        drop(core);
        drop((queue, waiters));
    }

    /// Refuses new requests from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Admits a request; `None` if the group drains and the request belongs to no open transaction.
    pub(crate) fn admit(self: &Arc<Self>, block: TransactionEffect) -> Option<InFlightRequest> {
        // Counted before the flag is read, so that a drain that sees no request in flight has
        // missed none.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let request = InFlightRequest { group: self.clone() };
        let new = matches!(block, TransactionEffect::Single | TransactionEffect::Begin);
        (!new || !self.draining.load(Ordering::SeqCst)).then_some(request)
    }

    /// Number of requests in flight and of connections that open transactions hold.
    pub(crate) fn active_requests(&self) -> u32 {
        let members = || lock(&self.core).members.values().cloned().collect::<Vec<_>>();
        let running: u32 = members().iter().map(|member| lock(&member.observed).running).sum();
        running + self.in_flight.load(Ordering::SeqCst)
    }

    /// Applies the servers, term and primary of the view.
    pub(crate) fn update(self: &Arc<Self>, view: &View) {
        let machine = &view.machine;
        let now = self.control.now();
        let mut core = lock(&self.core);
        let records = || machine.servers.values().filter(|server| server.group == self.name);
        core.members.retain(|name, member| {
            let kept = machine
                .servers
                .get(name)
                .filter(|record| member.matches_record(record) && record.group == self.name);
            if let Some(record) = kept {
                member.update(record);
            } else {
                member.removed.send_replace(true);
            }
            kept.is_some()
        });
        for record in records() {
            if !core.members.contains_key(&record.name) {
                let (member, orders) = Member::new(record, self);
                let member = Arc::new(member);
                core.freshness.remove_server(&record.name);
                core.members.insert(record.name.clone(), member.clone());
                tokio::spawn(monitor::run_monitor(self.clone(), member, orders));
            }
        }
        let names: Vec<Name> = core.members.keys().cloned().collect();
        core.failover.set_servers(&names);
        core.acks.retain_servers(&names);
        let filling = machine.filling.get(&self.name).cloned().unwrap_or_default();
        core.failover.set_filling(&filling, now);
        if let Some(recorded) = machine.groups.get(&self.name) {
            core.failover.update_recorded(recorded, now);
        }
        self.publish_changes(core);
    }

    /// Records the answer of a server to a status poll that was sent at `sent`.
    pub(crate) fn record_status(
        self: &Arc<Self>,
        member: &Arc<Member>,
        status: Status,
        sent: Millis,
    ) {
        let now = self.control.now();
        let mut core = lock(&self.core);
        let name = &member.name;
        let received = Position { term: status.last, offset: status.received };
        let applied = {
            let mut seen = lock(&member.observed);
            seen.terms.record(&status);
            seen.status = Some(status.clone());
            seen.applied()
        };
        let upstream_age = (status.role == state::Role::Replica).then_some(status.upstream_age);
        let report =
            failover::Status { term: status.term, role: status.role, received, upstream_age };
        core.failover.record_status(name, report, now);
        let primary = core.failover.primary() == Some(name) && status.term == core.failover.term();
        if primary && status.role == state::Role::Primary {
            core.freshness.record_primary(sent, received);
            core.positions
                .get_or_insert_with(|| SessionPositions::new(received, MAX_SESSION_POSITIONS));
        }
        core.freshness.record_applied(name, applied, now);
        let common = core.freshness.common_position(core.members.keys());
        if let Some(positions) = &mut core.positions {
            positions.raise_minimum(common);
        }
        let acknowledged = core.acks.record_status(name, status.term, received);
        core.finish_waits(acknowledged, true);
        self.publish_changes(core);
    }

    /// Records that a server did not answer its monitor; `refused` if it refused the connection.
    pub(crate) fn record_failure(self: &Arc<Self>, member: &Member, refused: bool) {
        let mut core = lock(&self.core);
        core.failover.record_poll_failure(&member.name);
        if refused {
            core.failover.record_refusal(&member.name);
        }
        self.publish_changes(core);
    }

    /// Records that a server answered on a connection other than its monitor's.
    pub(crate) fn record_answer(&self, member: &Member) {
        lock(&self.core).failover.record_answer(&member.name, self.control.now());
    }

    /// Records that a server accepted the order to follow `primary`.
    pub(crate) fn record_following(&self, member: &Member, primary: &Name, term: Term) {
        lock(&self.core).failover.record_follower(&member.name, primary, term);
    }

    /// Waits until a majority has stored the write at `position`; false if that is not known.
    pub(crate) async fn wait_for_majority(&self, position: Position, deadline: Instant) -> bool {
        let (id, acknowledged) = {
            let mut core = lock(&self.core);
            let id = core.next_waiter;
            core.next_waiter += 1;
            match core.acks.wait(position, id) {
                WriteState::Acknowledged => return true,
                WriteState::Unknown => return false,
                WriteState::Pending => {}
            }
            let (sender, acknowledged) = oneshot::channel();
            core.waiters.insert(id, sender);
            core.failover.set_poll_eagerly(true);
            (id, acknowledged)
        };
        self.wake.notify_one();
        if let Ok(result) = timeout_at(deadline, acknowledged).await {
            return result.unwrap_or(false);
        }
        let mut core = lock(&self.core);
        core.waiters.remove(&id);
        let acknowledged = !core.acks.cancel(position, id);
        let busy = core.acks.has_waiting();
        core.failover.set_poll_eagerly(busy);
        acknowledged
    }

    /// Publishes the term and primary after a change of the core, and dispatches queued requests.
    pub(crate) fn publish_changes(self: &Arc<Self>, mut core: std::sync::MutexGuard<'_, Core>) {
        let term = core.failover.term();
        let unknown = core.acks.reset(term);
        core.finish_waits(unknown, false);
        let primary = (term, core.failover.primary().cloned());
        drop(core);
        self.primary.send_if_modified(|known| {
            let changed = *known != primary;
            *known = primary;
            changed
        });
        self.wake.notify_one();
        self.dispatch_queued();
    }
}

impl Core {
    fn new(size: u32, recorded: GroupState, policy: Policy, now: Millis) -> Core {
        let delay =
            if policy == Policy::SlowFailover { failover::SLOW_FAILOVER_DELAY_MS } else { 0 };
        let queue: Box<dyn Queue<QueuedRequest>> = match policy {
            Policy::Fifo => Box::new(FifoQueue::new(MAX_QUEUED_REQUESTS)),
            _ => Box::new(FairQueue::new(MAX_QUEUED_REQUESTS)),
        };
        Core {
            members: BTreeMap::new(),
            queue,
            positions: None,
            freshness: Freshness::new(),
            budget: RetryBudget::new(now),
            acks: AckTracker::new(size, recorded.term),
            failover: Failover::new(size, &[], recorded, now).with_delay(delay),
            waiters: HashMap::new(),
            next_waiter: 0,
        }
    }

    /// Reports the result to the writes `ids` that wait for a majority.
    fn finish_waits(&mut self, ids: Vec<u64>, acknowledged: bool) {
        for id in ids {
            if let Some(waiter) = self.waiters.remove(&id) {
                // The receiver is dropped if the write timed out.
                let _ = waiter.send(acknowledged);
            }
        }
        let busy = self.acks.has_waiting();
        self.failover.set_poll_eagerly(busy);
    }
}
