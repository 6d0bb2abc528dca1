//! State of a database group at its owner.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use auburnlug_coordination::{
    Position,
    acks::{Acks, Wait},
    dedup::{Entry, Requests},
    failover::{self, Failover},
    freshness::Freshness,
    queue::{Fair, Fifo, Queue},
    retry::Budget,
    route::Route,
    session::Positions,
};
use auburnlug_protocol::{
    peer::{Answer, Block},
    settings::Policy,
};
use auburnlug_state::{self as state, GroupState, Millis, Name, Term};
use tokio::{
    sync::{Notify, oneshot, watch},
    time::{Instant, timeout_at},
};

use crate::{
    copier::Copier,
    dispatch::Waiting,
    event::{Event, log},
    forward::lock,
    member::Member,
    metrics::Metrics,
    monitor,
    rate::Rates,
    server::Servers,
    status::Status,
    view::{Control, View},
};

/// Most requests that wait in a group's queue.
const MAX_QUEUE: usize = 10_000;

/// Most sessions whose position is kept.
const MAX_SESSIONS: usize = 100_000;

/// Most request ids, and bytes of their answers, that are remembered.
pub(crate) const MAX_REQUESTS: usize = 200_000;
pub(crate) const MAX_ANSWERS: usize = 64 << 20;

/// A group that this instance owns.
pub(crate) struct Group {
    pub name: Name,
    pub config: state::Group,
    pub epoch: u64,
    pub control: Arc<dyn Control>,
    pub servers: Arc<dyn Servers>,
    pub metrics: Arc<Metrics>,
    pub rates: Arc<Rates>,
    pub route: Box<dyn Route + Sync>,
    pub core: Mutex<Core>,
    pub requests: SharedIds,
    pub copier: Copier,
    /// Term that writes run under, and its primary.
    pub primary: watch::Sender<(Term, Option<Name>)>,
    /// Wakes the failover task.
    pub wake: Notify,
    pub closed: watch::Sender<bool>,
    /// Set while the group drains: no new work is taken.
    draining: AtomicBool,
    /// Requests that were taken and are not answered.
    taken: AtomicU32,
}

/// A request that was taken; the group drains only after its end.
pub(crate) struct Work {
    pub group: Arc<Group>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.group.taken.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Request ids of a group.
pub(crate) type RequestIds = Requests<Answer, oneshot::Sender<Answer>>;

/// Request ids that outlast the group's runtime.
pub(crate) type SharedIds = Arc<Mutex<RequestIds>>;

/// Request ids of a group that begins; `first` tells that it had no owner before, and `copy` is
/// the complete copy of the former owner's.
pub(crate) fn request_ids(
    first: bool,
    copy: Option<Vec<Entry<Answer>>>,
    now: Millis,
) -> RequestIds {
    if first {
        Requests::new(MAX_REQUESTS, MAX_ANSWERS)
    } else {
        Requests::resume(MAX_REQUESTS, MAX_ANSWERS, copy, now)
    }
}

/// What the tasks of a group share.
pub(crate) struct Core {
    pub members: BTreeMap<Name, Arc<Member>>,
    pub queue: Box<dyn Queue<Waiting>>,
    /// `None` until the primary has reported its position after the takeover.
    pub positions: Option<Positions>,
    pub freshness: Freshness,
    pub budget: Budget,
    pub failover: Failover,
    acks: Acks,
    waiters: HashMap<u64, oneshot::Sender<bool>>,
    next: u64,
}

/// What a group needs from the instance.
pub(crate) struct Means {
    pub control: Arc<dyn Control>,
    pub servers: Arc<dyn Servers>,
    pub metrics: Arc<Metrics>,
    pub rates: Arc<Rates>,
    pub requests: SharedIds,
    pub copier: Copier,
    pub route: Box<dyn Route + Sync>,
    pub policy: Policy,
}

impl Group {
    pub(crate) fn start(
        name: Name,
        config: state::Group,
        epoch: u64,
        means: Means,
        view: &View,
    ) -> Arc<Group> {
        let Means { control, servers, metrics, rates, requests, copier, route, policy } = means;
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
            taken: AtomicU32::new(0),
        });
        log(Event::GroupOwned, format_args!("{} under epoch {epoch}", group.name));
        tokio::spawn(crate::owner_failover::drive(group.clone()));
        group
    }

    /// Ends the group here: waiting requests are refused, running writes become unknown.
    pub(crate) fn close(&self) {
        if self.closed.send_replace(true) {
            return;
        }
        log(Event::GroupReleased, format_args!("{} under epoch {}", self.name, self.epoch));
        let mut core = lock(&self.core);
        // Dropped senders tell the waiting requests.
        let queue = std::mem::replace(&mut core.queue, Box::new(Fair::new(0)));
        let waiters = std::mem::take(&mut core.waiters);
        core.members.clear();
        drop(core);
        drop((queue, waiters));
    }

    /// Refuses new work from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Takes a request; `None` if the group drains and the request belongs to no open transaction.
    pub(crate) fn enter(self: &Arc<Self>, block: Block) -> Option<Work> {
        // Counted before the look at the flag, so that a drain that finds nothing misses nothing.
        self.taken.fetch_add(1, Ordering::SeqCst);
        let work = Work { group: self.clone() };
        let new = matches!(block, Block::Single | Block::Begin);
        (!new || !self.draining.load(Ordering::SeqCst)).then_some(work)
    }

    /// Requests that were taken, and connections that open transactions hold.
    pub(crate) fn working(&self) -> u32 {
        let members = || lock(&self.core).members.values().cloned().collect::<Vec<_>>();
        let running: u32 = members().iter().map(|member| lock(&member.seen).running).sum();
        running + self.taken.load(Ordering::SeqCst)
    }

    /// Takes over servers, term and primary from the view.
    pub(crate) fn update(self: &Arc<Self>, view: &View) {
        let machine = &view.machine;
        let now = self.control.now();
        let mut core = lock(&self.core);
        let records = || machine.servers.values().filter(|server| server.group == self.name);
        core.members.retain(|name, member| {
            let kept = machine
                .servers
                .get(name)
                .filter(|record| member.is(record) && record.group == self.name);
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
                core.freshness.forget(&record.name);
                core.members.insert(record.name.clone(), member.clone());
                tokio::spawn(monitor::watch(self.clone(), member, orders));
            }
        }
        let names: Vec<Name> = core.members.keys().cloned().collect();
        core.failover.servers(&names);
        core.acks.servers(&names);
        let filling = machine.filling.get(&self.name).cloned().unwrap_or_default();
        core.failover.filling(&filling, now);
        if let Some(recorded) = machine.groups.get(&self.name) {
            core.failover.recorded(recorded, now);
        }
        self.settle(core);
    }

    /// A server answered a poll that was sent at `sent`.
    pub(crate) fn reported(self: &Arc<Self>, member: &Arc<Member>, status: Status, sent: Millis) {
        let now = self.control.now();
        let mut core = lock(&self.core);
        let name = &member.name;
        let received = Position { term: status.last, offset: status.received };
        let applied = {
            let mut seen = lock(&member.seen);
            seen.terms.note(&status);
            seen.status = Some(status.clone());
            seen.applied()
        };
        let upstream = (status.role == state::Role::Replica).then_some(status.upstream);
        let report = failover::Status { term: status.term, role: status.role, received, upstream };
        core.failover.status(name, report, now);
        let primary = core.failover.primary() == Some(name) && status.term == core.failover.term();
        if primary && status.role == state::Role::Primary {
            core.freshness.primary(sent, received);
            core.positions.get_or_insert_with(|| Positions::new(received, MAX_SESSIONS));
        }
        core.freshness.applied(name, applied, now);
        let common = core.freshness.common(core.members.keys());
        if let Some(positions) = &mut core.positions {
            positions.cover(common);
        }
        let held = core.acks.status(name, status.term, received);
        core.tell(held, true);
        self.settle(core);
    }

    /// A server did not answer its monitor.
    pub(crate) fn failed(self: &Arc<Self>, member: &Member, refused: bool) {
        let mut core = lock(&self.core);
        core.failover.failed(&member.name);
        if refused {
            core.failover.refused(&member.name);
        }
        self.settle(core);
    }

    /// A server answered on another connection than its monitor's.
    pub(crate) fn answered(&self, member: &Member) {
        lock(&self.core).failover.answered(&member.name, self.control.now());
    }

    /// A server took the order to follow `primary`.
    pub(crate) fn followed(&self, member: &Member, primary: &Name, term: Term) {
        lock(&self.core).failover.followed(&member.name, primary, term);
    }

    /// Waits until a majority holds the write at `position`; false if that cannot be shown.
    pub(crate) async fn acknowledged(&self, position: Position, deadline: Instant) -> bool {
        let (id, held) = {
            let mut core = lock(&self.core);
            let id = core.next;
            core.next += 1;
            match core.acks.wait(position, id) {
                Wait::Acknowledged => return true,
                Wait::Unknown => return false,
                Wait::Pending => {}
            }
            let (sender, held) = oneshot::channel();
            core.waiters.insert(id, sender);
            core.failover.hurry(true);
            (id, held)
        };
        self.wake.notify_one();
        if let Ok(held) = timeout_at(deadline, held).await {
            return held.unwrap_or(false);
        }
        let mut core = lock(&self.core);
        core.waiters.remove(&id);
        let late = !core.acks.cancel(position, id);
        let busy = core.acks.busy();
        core.failover.hurry(busy);
        late
    }

    /// Publishes what followed from a change of the core, and gives out slots.
    pub(crate) fn settle(self: &Arc<Self>, mut core: std::sync::MutexGuard<'_, Core>) {
        let term = core.failover.term();
        let lost = core.acks.reset(term);
        core.tell(lost, false);
        let primary = (term, core.failover.primary().cloned());
        drop(core);
        self.primary.send_if_modified(|known| {
            let changed = *known != primary;
            *known = primary;
            changed
        });
        self.wake.notify_one();
        self.pump();
    }
}

impl Core {
    fn new(size: u32, recorded: GroupState, policy: Policy, now: Millis) -> Core {
        let delay = if policy == Policy::SlowFailover { failover::SLOW } else { 0 };
        let queue: Box<dyn Queue<Waiting>> = match policy {
            Policy::Fifo => Box::new(Fifo::new(MAX_QUEUE)),
            _ => Box::new(Fair::new(MAX_QUEUE)),
        };
        Core {
            members: BTreeMap::new(),
            queue,
            positions: None,
            freshness: Freshness::new(),
            budget: Budget::new(now),
            acks: Acks::new(size, recorded.term),
            failover: Failover::new(size, &[], recorded, now).delayed(delay),
            waiters: HashMap::new(),
            next: 0,
        }
    }

    /// Ends the wait of writes.
    fn tell(&mut self, ids: Vec<u64>, held: bool) {
        for id in ids {
            if let Some(waiter) = self.waiters.remove(&id) {
                // A write that gave up waits for nothing.
                let _ = waiter.send(held);
            }
        }
        let busy = self.acks.busy();
        self.failover.hurry(busy);
    }
}
