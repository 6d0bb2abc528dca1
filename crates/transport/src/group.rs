//! State of a database group at its owner: servers, their status, queue and slots.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::{
    Position,
    route::{Candidate, Choice, Need, Route},
};
use auburnlug_protocol::peer::Reason;
use auburnlug_state::{self as state, Millis, Name, Term};
use tokio::{
    sync::{Notify, oneshot, watch},
    time::{Instant, timeout_at},
};

use crate::{
    forward::lock,
    metrics::Metrics,
    pool::Pool,
    server::Servers,
    status::{Status, Terms},
    view::{Control, View},
};

/// Most requests that wait in a group's queue.
const MAX_QUEUE: usize = 10_000;

/// A group that this instance owns.
pub(crate) struct Group {
    pub name: Name,
    pub config: state::Group,
    pub epoch: u64,
    pub control: Arc<dyn Control>,
    pub servers: Arc<dyn Servers>,
    pub metrics: Arc<Metrics>,
    state: Mutex<State>,
    /// Counts changes of what servers reported; waiting writes look again at each.
    pub changes: watch::Sender<u64>,
    /// Wakes the monitors while writes wait for their acknowledgement.
    pub hurry: Notify,
    pub closed: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    members: BTreeMap<Name, Arc<Member>>,
    queue: VecDeque<Waiting>,
    term: Term,
    primary: Option<Name>,
    writes: usize,
}

struct Waiting {
    need: Need,
    grant: oneshot::Sender<Grant>,
}

/// A database server of the group.
pub(crate) struct Member {
    pub record: state::Server,
    pub pool: Pool,
    pub seen: Mutex<Seen>,
    /// Set when the server is gone or does not answer.
    pub lost: watch::Sender<bool>,
}

/// What is known of a server.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub status: Option<Status>,
    /// Time of sending of the last answered poll.
    pub at: Millis,
    pub terms: Terms,
    running: u32,
    /// Not chosen before this time, because a connection failed.
    closed: Millis,
}

/// A slot on a server.
pub(crate) struct Grant {
    group: Arc<Group>,
    pub member: Arc<Member>,
}

impl Drop for Grant {
    fn drop(&mut self) {
        lock(&self.member.seen).running -= 1;
        self.group.pump();
    }
}

struct PrimaryOnly;

impl Route for PrimaryOnly {
    fn choose(&self, _: &Need, candidates: &[Candidate], _: Millis) -> Choice {
        let found = candidates.iter().find(|item| item.primary && item.open && item.free > 0);
        found.map_or(Choice::Wait, |item| Choice::Server(item.name.clone()))
    }
}

impl Group {
    pub(crate) fn start(
        name: Name,
        config: state::Group,
        epoch: u64,
        control: Arc<dyn Control>,
        servers: Arc<dyn Servers>,
        metrics: Arc<Metrics>,
    ) -> Arc<Group> {
        Arc::new(Group {
            name,
            config,
            epoch,
            control,
            servers,
            metrics,
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            hurry: Notify::new(),
            closed: watch::Sender::new(false),
        })
    }

    /// Ends the group here: waiting requests are refused, running ones become unknown.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
        let mut state = lock(&self.state);
        state.queue.clear();
        for member in std::mem::take(&mut state.members).into_values() {
            member.lost.send_replace(true);
        }
    }

    /// Takes over servers, term and primary from the view.
    pub(crate) fn update(self: &Arc<Self>, view: &View) {
        let mut state = lock(&self.state);
        let machine = &view.machine;
        let recorded = machine.groups.get(&self.name);
        state.term = recorded.map_or(0, |group| group.term);
        let records = || machine.servers.values().filter(|server| server.group == self.name);
        state.primary = recorded.and_then(|group| group.primary.clone()).or_else(|| {
            let claims =
                records().filter(|server| server.role == state::Role::Primary && state.term == 0);
            claims.max_by_key(|server| server.term).map(|server| server.name.clone())
        });
        state.members.retain(|name, member| {
            let kept = machine.servers.get(name).is_some_and(|record| same(record, &member.record));
            if !kept {
                member.lost.send_replace(true);
            }
            kept
        });
        for record in records() {
            if !state.members.contains_key(&record.name) {
                let member = Arc::new(Member::new(record.clone(), self));
                state.members.insert(record.name.clone(), member.clone());
                tokio::spawn(crate::monitor::watch(self.clone(), member));
            }
        }
        drop(state);
        self.changes.send_modify(|count| *count += 1);
        self.pump();
    }

    /// Waits for a slot on a server that meets `need`.
    ///
    /// # Errors
    ///
    /// The reason why the request did not get one; it has not run.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        need: Need,
        deadline: Instant,
    ) -> Result<Grant, Reason> {
        let (grant, waiting) = oneshot::channel();
        {
            let mut state = lock(&self.state);
            if *self.closed.borrow() {
                return Err(Reason::Owner);
            }
            if state.queue.len() >= MAX_QUEUE {
                return Err(Reason::Overload);
            }
            state.queue.push_back(Waiting { need, grant });
        }
        self.pump();
        match timeout_at(deadline, waiting).await {
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(_)) => Err(Reason::Owner),
            Err(_) if lock(&self.state).primary.is_none() => Err(Reason::Primary),
            Err(_) => Err(Reason::Overload),
        }
    }

    /// Gives free slots to waiting requests.
    pub(crate) fn pump(self: &Arc<Self>) {
        let mut grants = Vec::new();
        {
            let mut state = lock(&self.state);
            let now = self.control.now();
            let mut candidates = state.candidates(now);
            let mut index = 0;
            while index < state.queue.len() {
                if state.queue[index].grant.is_closed() {
                    state.queue.remove(index);
                    continue;
                }
                let Choice::Server(name) =
                    PrimaryOnly.choose(&state.queue[index].need, &candidates, now)
                else {
                    index += 1;
                    continue;
                };
                let Some(member) = state.members.get(&name).cloned() else { break };
                let Some(waiting) = state.queue.remove(index) else { break };
                lock(&member.seen).running += 1;
                if let Some(found) = candidates.iter_mut().find(|item| item.name == name) {
                    found.free -= 1;
                }
                grants.push((waiting.grant, Grant { group: self.clone(), member }));
            }
        }
        for (sender, grant) in grants {
            // A request that gave up drops the grant, which frees the slot.
            let _ = sender.send(grant);
        }
    }

    /// Waits until a majority holds the write at `position`.
    ///
    /// Returns false if the position's term has ended.
    pub(crate) async fn acknowledged(&self, position: Position) -> bool {
        let mut changes = self.changes.subscribe();
        lock(&self.state).writes += 1;
        self.hurry.notify_waiters();
        let held = loop {
            changes.borrow_and_update();
            match lock(&self.state).held(position, self.config.size) {
                Some(held) if held => break true,
                Some(_) => {}
                None => break false,
            }
            if changes.changed().await.is_err() {
                break false;
            }
        };
        lock(&self.state).writes -= 1;
        held
    }

    /// Whether writes wait for their acknowledgement.
    pub(crate) fn waits(&self) -> bool {
        lock(&self.state).writes > 0
    }

    /// Whether `member` is the primary.
    pub(crate) fn is_primary(&self, member: &Member) -> bool {
        lock(&self.state).primary.as_ref() == Some(&member.record.name)
    }

    /// Keeps `member` from being chosen for `pause`, in milliseconds.
    pub(crate) fn suspend(self: &Arc<Self>, member: &Member, pause: Millis) {
        lock(&member.seen).closed = self.control.now() + pause;
        let group = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(pause)).await;
            group.pump();
        });
    }
}

impl Member {
    fn new(record: state::Server, group: &Group) -> Member {
        let database = group.config.database.as_str();
        let pool = Pool::new(
            group.servers.clone(),
            record.address,
            database,
            record.connections,
            group.metrics.clone(),
        );
        Member { record, pool, seen: Mutex::default(), lost: watch::Sender::new(false) }
    }
}

impl State {
    fn candidates(&self, now: Millis) -> Vec<Candidate> {
        let describe = |member: &Arc<Member>| {
            let seen = lock(&member.seen);
            let primary = self.primary.as_ref() == Some(&member.record.name);
            let slots = member.record.slots.min(member.pool.cap());
            let applied = seen.status.as_ref().map_or(0, |status| status.applied);
            Candidate {
                name: member.record.name.clone(),
                primary,
                open: !member.record.draining && now >= seen.closed && seen.status.is_some(),
                applied: Position { term: seen.terms.at(applied), offset: applied },
                fresh: 0,
                free: slots.saturating_sub(seen.running),
                slots,
                latency: 0,
                domain: member.record.domain.clone(),
                behind: None,
            }
        };
        self.members.values().map(describe).collect()
    }

    /// Whether a majority of `size` holds `position`; `None` if its term is not the recorded one.
    fn held(&self, position: Position, size: u32) -> Option<bool> {
        if self.term != 0 && position.term != self.term {
            return None;
        }
        let holds = |member: &&Arc<Member>| {
            let seen = lock(&member.seen);
            seen.status.as_ref().is_some_and(|status| status.holds(position))
        };
        let count = self.members.values().filter(holds).count();
        Some(count > size as usize / 2)
    }
}

/// Whether two records describe the same run of a server.
fn same(a: &state::Server, b: &state::Server) -> bool {
    (a.incarnation, a.address, &a.group) == (b.incarnation, b.address, &b.group)
        && (a.slots, a.connections, a.draining) == (b.slots, b.connections, b.draining)
}
