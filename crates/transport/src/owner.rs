//! Runtime of the shards that this instance owns.
//!
//! Starts and stops groups as ownership changes, and serves the links over which entries, this
//! instance's own included, send requests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use auburnlug_coordination::{
    floor::Keep,
    limit::Ask,
    route::{Balanced, PrimaryOnly},
};
use auburnlug_protocol::{
    peer::{Reason, Request, Traffic},
    settings::Policy,
};
use auburnlug_state::{Machine, Name, Shard};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    copier::{self, Copier},
    copies::Copies,
    forward::{lease_end, lock, refused},
    group::{Group, Means, SharedIds, request_ids},
    link::Link,
    metrics::Metrics,
    owner_run::Stream,
    rate::Rates,
    rate_owner::RateOwner,
    server::Servers,
    view::{Control, View},
};

/// Groups owned by this instance.
pub(crate) struct Owner {
    pub(crate) control: Arc<dyn Control>,
    servers: Arc<dyn Servers>,
    metrics: Arc<Metrics>,
    rates: Arc<Rates>,
    pub(crate) buckets: Arc<RateOwner>,
    policy: Policy,
    pub(crate) groups: Mutex<BTreeMap<Name, Arc<Group>>>,
    /// Set while the instance stops: groups that start take no work.
    stopping: AtomicBool,
    /// Shards that are being given up, with their epochs; they do not start again.
    releasing: Mutex<BTreeSet<(Shard, u64)>>,
    /// Request ids by group and epoch. They outlast the lease: while the epoch is the same, no
    /// other instance has run requests.
    requests: Mutex<BTreeMap<Name, (u64, SharedIds, Copier)>>,
    copier: copier::Means,
    copies: Arc<Copies>,
    /// State at the last update.
    before: Mutex<Arc<Machine>>,
}

impl Owner {
    pub(crate) fn new(
        copier: copier::Means,
        servers: Arc<dyn Servers>,
        rates: Arc<Rates>,
        buckets: Arc<RateOwner>,
        policy: Policy,
    ) -> Owner {
        let (control, metrics) = (copier.control.clone(), copier.metrics.clone());
        let copies = Arc::new(Copies::new(control.clone()));
        let (groups, stopping) = (Mutex::default(), AtomicBool::new(false));
        let before = Mutex::new(control.view().borrow().machine.clone());
        Owner {
            control,
            servers,
            metrics,
            rates,
            buckets,
            policy,
            groups,
            stopping,
            releasing: Mutex::default(),
            requests: Mutex::default(),
            copier,
            copies,
            before,
        }
    }

    /// Copies of other owners' request ids.
    pub(crate) fn copies(&self) -> Arc<Copies> {
        self.copies.clone()
    }

    /// Lets no group take new work.
    pub(crate) fn stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for group in lock(&self.groups).values() {
            group.drain();
        }
    }

    /// Notes that a shard is being given up; false if that was known.
    pub(crate) fn begin_release(&self, shard: &Shard, epoch: u64) -> bool {
        lock(&self.releasing).insert((shard.clone(), epoch))
    }

    /// Forgets a shard that was given up.
    pub(crate) fn end_release(&self, shard: &Shard, epoch: u64) {
        lock(&self.releasing).remove(&(shard.clone(), epoch));
    }

    /// Takes links until the channel closes.
    pub(crate) async fn listen(self: Arc<Self>, mut inbound: mpsc::Receiver<Link<Traffic>>) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                link = inbound.recv() => match link {
                    Some(link) => { tasks.spawn(self.clone().serve(link)); }
                    None => return,
                },
                Some(_) = tasks.join_next() => {}
            }
        }
    }

    /// Follows the view: starts and stops groups.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut view = self.control.view();
        loop {
            let current = view.borrow_and_update().clone();
            self.update(&current);
            self.release(&current.release);
            tokio::select! {
                changed = view.changed() => if changed.is_err() {
                    break;
                },
                () = self.lapse(), if !lock(&self.groups).is_empty() => self.close(),
            }
        }
        self.close();
    }

    /// Stops all groups.
    pub(crate) fn close(&self) {
        for group in std::mem::take(&mut *lock(&self.groups)).into_values() {
            group.close();
        }
    }

    async fn lapse(&self) {
        lease_end(self.control.as_ref()).await;
    }

    fn update(&self, view: &Arc<View>) {
        let mut before = lock(&self.before);
        if view.machine.index < before.index {
            return;
        }
        self.buckets.update(view, &before);
        let mut groups = lock(&self.groups);
        let valid = self.control.now() < self.control.lease();
        let epoch = |name: &Name| {
            let holder = view.machine.shards.get(&Shard::Group(name.clone()))?;
            (valid && holder.instance.as_ref() == Some(&view.me)).then_some(holder.epoch)
        };
        groups.retain(|name, group| {
            let kept = epoch(name) == Some(group.epoch)
                && view.machine.config.groups.get(name) == Some(&group.config);
            if !kept {
                group.close();
            }
            kept
        });
        for (name, config) in &view.machine.config.groups {
            let Some(epoch) = epoch(name) else { continue };
            let shard = Shard::Group(name.clone());
            if !groups.contains_key(name) && lock(&self.releasing).contains(&(shard.clone(), epoch))
            {
                continue;
            }
            groups.entry(name.clone()).or_insert_with(|| {
                let means = self.means(view, self.request_ids(name, epoch, &before, view));
                let group = Group::start(name.clone(), config.clone(), epoch, means, view);
                if self.stopping.load(Ordering::SeqCst) {
                    group.drain();
                }
                group
            });
        }
        for group in groups.values() {
            group.update(view);
        }
        *before = view.machine.clone();
    }

    /// Takes over changes that the task which follows the view may not have seen yet.
    fn catch_up(&self) {
        let view = self.control.view().borrow().clone();
        if view.machine.index > lock(&self.before).index {
            self.update(&view);
        }
    }

    /// Request ids of the group under this epoch.
    fn request_ids(
        &self,
        group: &Name,
        epoch: u64,
        before: &Machine,
        view: &View,
    ) -> (SharedIds, Copier) {
        let mut known = lock(&self.requests);
        if let Some((_, ids, copier)) = known.get(group).filter(|(at, ..)| *at == epoch) {
            return (ids.clone(), copier.clone());
        }
        let shard = Shard::Group(group.clone());
        let copy = self.copies.resume(group, former(before, &shard, epoch), epoch);
        let ids = request_ids(first(before, view, &shard), copy, self.control.now());
        let ids = Arc::new(Mutex::new(ids));
        let copier = Copier::start(self.copier.clone(), group.clone(), epoch, ids.clone());
        known.insert(group.clone(), (epoch, ids.clone(), copier.clone()));
        (ids, copier)
    }

    fn means(&self, view: &View, (requests, copier): (SharedIds, Copier)) -> Means {
        let record = view.machine.instances.get(&view.me);
        let domain = record.map_or_else(|| view.me.clone(), |record| record.domain.clone());
        Means {
            control: self.control.clone(),
            servers: self.servers.clone(),
            metrics: self.metrics.clone(),
            rates: self.rates.clone(),
            requests,
            copier,
            route: match self.policy {
                Policy::PrimaryOnly => Box::new(PrimaryOnly),
                _ => Box::new(Balanced::new(domain)),
            },
            policy: self.policy,
        }
    }

    /// The group, once this instance's view covers what the request was made from.
    async fn group(&self, request: &Request) -> Option<Arc<Group>> {
        let mut view: watch::Receiver<Arc<View>> = self.control.view();
        let wait = Duration::from_millis(request.wait);
        let seen = view.wait_for(|view| view.machine.index >= request.index);
        let current = tokio::time::timeout(wait, seen).await.ok()?.ok()?.clone();
        if let Some(group) = lock(&self.groups).get(&request.group) {
            return Some(group.clone());
        }
        // The task that follows the view may not have seen this change yet.
        self.update(&current);
        lock(&self.groups).get(&request.group).cloned()
    }

    async fn serve(self: Arc<Self>, link: Link<Traffic>) {
        let Link { peer, out, mut inbox } = link;
        let mut streams: HashMap<u64, Arc<Stream>> = HashMap::new();
        while let Some(message) = inbox.recv().await {
            match message {
                Traffic::Run { stream, request } => {
                    let state = streams.entry(stream).or_default().clone();
                    tokio::spawn(self.clone().run(stream, state, request, out.clone()));
                }
                Traffic::Cancel { stream } => {
                    if let Some(state) = streams.get(&stream) {
                        state.cancel(&self.servers);
                    }
                }
                Traffic::Close { stream } => {
                    if let Some(state) = streams.remove(&stream) {
                        state.close(&self.servers);
                    }
                }
                message => {
                    if let Some(answer) = self.answer(&peer, message)
                        && out.send(answer).await.is_err()
                    {
                        break;
                    }
                }
            }
        }
        for state in streams.into_values() {
            state.close(&self.servers);
        }
    }

    /// Runs a request and answers on `out`.
    async fn run(
        self: Arc<Self>,
        stream: u64,
        state: Arc<Stream>,
        request: Box<Request>,
        out: mpsc::Sender<Traffic>,
    ) {
        let group = self.group(&request).await;
        let answer = match group.as_ref().map(|group| group.enter(request.block)) {
            Some(Some(work)) => work.group.run(&state, *request).await,
            Some(None) => refused(Reason::Stopping),
            None => refused(Reason::Owner),
        };
        // Without the link, nobody waits for the answer.
        let _ = out.send(Traffic::Answer { stream, answer }).await;
    }

    /// Answer of the rate owner or of the standby to a message of `peer`.
    fn answer(&self, peer: &Name, message: Traffic) -> Option<Traffic> {
        match message {
            Traffic::Take { id, account, count, demand, returned } => {
                let ask = Ask { id, count, demand, returned };
                self.catch_up();
                let (tokens, due) = self.buckets.take(peer, account, ask);
                for (name, message) in due {
                    self.rates.tell(name, message);
                }
                tokens
            }
            Traffic::Keep { id, account, epoch, index, level, held } => {
                self.buckets.keep(account, epoch, index, Keep { id, level, held })
            }
            message => self.copies.take(peer, message),
        }
    }
}

/// Whether the shard certainly had no owner before the one in `view`.
///
/// The epoch alone does not show it: this instance may have owned the shard under the same epoch
/// before it restarted. So the state without an owner must have been seen by this process.
pub(crate) fn first(before: &Machine, view: &View, shard: &Shard) -> bool {
    let never = before.index > 0 && before.shards.get(shard).is_none_or(|holder| holder.epoch == 0);
    never && view.machine.shards.get(shard).is_some_and(|holder| holder.epoch == 1)
}

/// Epoch of the last owner before the one under `epoch`, as far as `before` shows it.
///
/// The epoch rises as well when a shard is given up, and in between nobody owns it. If that state
/// was not seen, an instance without the copy may have owned the shard; the result then fits none.
fn former(before: &Machine, shard: &Shard, epoch: u64) -> u64 {
    let holder = before.shards.get(shard).filter(|holder| holder.instance.is_none());
    let gap = holder.is_some_and(|holder| holder.epoch + 1 == epoch);
    epoch.saturating_sub(if gap { 2 } else { 1 })
}
