//! Runtime of the shards that this instance owns.
//!
//! Starts and stops groups as ownership changes, and serves the links over which entries, this
//! instance's own entry included, send requests.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use auburnlug_coordination::{
    route::{Balanced, PrimaryOnly},
    standby_level::StandbyLevel,
    token_bucket::TokenRequest,
};
use auburnlug_protocol::{
    peer::{Reason, Request, TrafficMessage},
    settings::Policy,
};
use auburnlug_state::{Machine, Name, Shard};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use crate::{
    byte_channel::Sender,
    forwarder::{lease_expired, lock, refused_answer},
    group::{Group, GroupContext, SharedRequestIds, request_ids},
    id_replication::{self, Copier},
    link::Link,
    metrics::Metrics,
    owner_run::CallerStream,
    rate_limits::RateLimits,
    rate_owner::RateOwner,
    server::ServerConnector,
    standby_ids::StandbyIds,
    view::{Control, View},
};

/// Owner of the groups and rates that are assigned to this instance.
pub(crate) struct Owner {
    pub(crate) control: Arc<dyn Control>,
    servers: Arc<dyn ServerConnector>,
    metrics: Arc<Metrics>,
    rates: Arc<RateLimits>,
    pub(crate) rate_owner: Arc<RateOwner>,
    policy: Policy,
    pub(crate) groups: Mutex<BTreeMap<Name, Arc<Group>>>,
    /// Set while the instance stops: groups that start refuse new requests.
    stopping: AtomicBool,
    /// Shards that are being released, with their epochs; they do not start again.
    releasing: Mutex<BTreeSet<(Shard, u64)>>,
    /// Request ids by group and epoch. They outlast the lease: while the epoch is the same, no
    /// other instance has run requests.
    request_ids: Mutex<BTreeMap<Name, (u64, SharedRequestIds, Copier)>>,
    copier_context: id_replication::CopierContext,
    standby_ids: Arc<StandbyIds>,
    /// Replicated state at the last update.
    previous: Mutex<Arc<Machine>>,
}

impl Owner {
    pub(crate) fn new(
        copier_context: id_replication::CopierContext,
        servers: Arc<dyn ServerConnector>,
        rates: Arc<RateLimits>,
        rate_owner: Arc<RateOwner>,
        policy: Policy,
    ) -> Owner {
        let (control, metrics) = (copier_context.control.clone(), copier_context.metrics.clone());
        let standby_ids = Arc::new(StandbyIds::new(control.clone()));
        let (groups, stopping) = (Mutex::default(), AtomicBool::new(false));
        let previous = Mutex::new(control.view().borrow().machine.clone());
        Owner {
            control,
            servers,
            metrics,
            rates,
            rate_owner,
            policy,
            groups,
            stopping,
            releasing: Mutex::default(),
            request_ids: Mutex::default(),
            copier_context,
            standby_ids,
            previous,
        }
    }

    /// Copies of other owners' request ids.
    pub(crate) fn standby_ids(&self) -> Arc<StandbyIds> {
        self.standby_ids.clone()
    }

    /// Drains all groups, and those that start later.
    pub(crate) fn drain_all(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        for group in lock(&self.groups).values() {
            group.drain();
        }
    }

    /// Records that a shard is being released; false if it was already.
    pub(crate) fn begin_release(&self, shard: &Shard, epoch: u64) -> bool {
        lock(&self.releasing).insert((shard.clone(), epoch))
    }

    /// Records that the release of a shard has ended.
    pub(crate) fn end_release(&self, shard: &Shard, epoch: u64) {
        lock(&self.releasing).remove(&(shard.clone(), epoch));
    }

    /// Serves incoming links until the channel closes.
    pub(crate) async fn serve_links(
        self: Arc<Self>,
        mut inbound: mpsc::Receiver<Link<TrafficMessage>>,
    ) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                link = inbound.recv() => match link {
                    Some(link) => { tasks.spawn(self.clone().serve_link(link)); }
                    None => return,
                },
                Some(_) = tasks.join_next() => {}
            }
        }
    }

    /// Starts and stops groups as the view changes, and stops all when the lease expires.
    pub(crate) async fn follow_view(self: Arc<Self>) {
        let mut view = self.control.view();
        loop {
            let current = view.borrow_and_update().clone();
            self.update(&current);
            self.release(&current.releasing);
            tokio::select! {
                changed = view.changed() => if changed.is_err() {
                    break;
                },
                () = self.wait_for_lease_end(), if !lock(&self.groups).is_empty() => self.close(),
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

    async fn wait_for_lease_end(&self) {
        lease_expired(self.control.as_ref()).await;
    }

    fn update(&self, view: &Arc<View>) {
        let mut previous = lock(&self.previous);
        if view.machine.index < previous.index {
            return;
        }
        self.rate_owner.update(view, &previous);
        let mut groups = lock(&self.groups);
        let valid = self.control.now() < self.control.lease();
        let epoch = |name: &Name| {
            let holder = view.machine.shards.get(&Shard::Group(name.clone()))?;
            (valid && holder.instance.as_ref() == Some(&view.instance)).then_some(holder.epoch)
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
                let context =
                    self.group_context(view, self.request_ids(name, epoch, &previous, view));
                let group = Group::start(name.clone(), config.clone(), epoch, context, view);
                if self.stopping.load(Ordering::SeqCst) {
                    group.drain();
                }
                group
            });
        }
        for group in groups.values() {
            group.update(view);
        }
        *previous = view.machine.clone();
    }

    /// Applies changes of the view that [`Owner::follow_view`] may not have seen yet.
    fn catch_up(&self) {
        let view = self.control.view().borrow().clone();
        if view.machine.index > lock(&self.previous).index {
            self.update(&view);
        }
    }

    /// Request ids of the group under this epoch.
    fn request_ids(
        &self,
        group: &Name,
        epoch: u64,
        previous: &Machine,
        view: &View,
    ) -> (SharedRequestIds, Copier) {
        let mut known = lock(&self.request_ids);
        if let Some((_, ids, copier)) = known.get(group).filter(|(at, ..)| *at == epoch) {
            return (ids.clone(), copier.clone());
        }
        let shard = Shard::Group(group.clone());
        let copy = self.standby_ids.take_over(group, former_epoch(previous, &shard, epoch), epoch);
        let ids = request_ids(is_first_owner(previous, view, &shard), copy, self.control.now());
        let ids = Arc::new(Mutex::new(ids));
        let copier = Copier::start(self.copier_context.clone(), group.clone(), epoch, ids.clone());
        known.insert(group.clone(), (epoch, ids.clone(), copier.clone()));
        (ids, copier)
    }

    fn group_context(
        &self,
        view: &View,
        (requests, copier): (SharedRequestIds, Copier),
    ) -> GroupContext {
        let record = view.machine.instances.get(&view.instance);
        let domain = record.map_or_else(|| view.instance.clone(), |record| record.domain.clone());
        GroupContext {
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

    /// Waits until this instance's view is as recent as the request's, and returns the group.
    async fn wait_for_group(&self, request: &Request) -> Option<Arc<Group>> {
        let mut view: watch::Receiver<Arc<View>> = self.control.view();
        let wait = Duration::from_millis(request.wait);
        let seen = view.wait_for(|view| view.machine.index >= request.index);
        let current = tokio::time::timeout(wait, seen).await.ok()?.ok()?.clone();
        if let Some(group) = lock(&self.groups).get(&request.group) {
            return Some(group.clone());
        }
        // [`Owner::follow_view`] may not have seen this change yet.
        self.update(&current);
        lock(&self.groups).get(&request.group).cloned()
    }

    async fn serve_link(self: Arc<Self>, link: Link<TrafficMessage>) {
        let Link { peer, out, mut inbox } = link;
        let mut streams: HashMap<u64, Arc<CallerStream>> = HashMap::new();
        while let Some(message) = inbox.recv().await {
            match message {
                TrafficMessage::Run { stream, request } => {
                    let state = streams.entry(stream).or_default().clone();
                    tokio::spawn(self.clone().run_request(stream, state, request, out.clone()));
                }
                TrafficMessage::Cancel { stream } => {
                    if let Some(state) = streams.get(&stream) {
                        state.cancel(&self.servers);
                    }
                }
                TrafficMessage::Close { stream } => {
                    if let Some(state) = streams.remove(&stream) {
                        state.close(&self.servers);
                    }
                }
                message => {
                    if let Some(answer) = self.handle_message(&peer, message)
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
    async fn run_request(
        self: Arc<Self>,
        stream: u64,
        state: Arc<CallerStream>,
        request: Box<Request>,
        out: Sender<TrafficMessage>,
    ) {
        let group = self.wait_for_group(&request).await;
        let answer = match group.as_ref().map(|group| group.admit(request.block)) {
            Some(Some(admitted)) => admitted.group.run(&state, *request).await,
            Some(None) => refused_answer(Reason::Stopping),
            None => refused_answer(Reason::Owner),
        };
        // If the link is closed, nobody waits for the answer.
        let _ = out.send(TrafficMessage::Answer { stream, answer }).await;
    }

    /// Handles a message of `peer` to the rate owner or the standby, and returns the answer.
    fn handle_message(&self, peer: &Name, message: TrafficMessage) -> Option<TrafficMessage> {
        match message {
            TrafficMessage::Take { id, account, count, demand, returned } => {
                let ask = TokenRequest { id, count, demand, returned };
                self.catch_up();
                let (tokens, due) = self.rate_owner.answer_ask(peer, account, ask);
                for (name, message) in due {
                    self.rates.send_to(name, message);
                }
                tokens
            }
            TrafficMessage::Keep { id, account, epoch, index, level, held } => self
                .rate_owner
                .store_copy(account, epoch, index, StandbyLevel { id, level, outstanding: held }),
            message => self.standby_ids.handle_message(peer, message),
        }
    }
}

/// Whether the shard is known to have had no owner before the one in `view`.
///
/// The epoch alone does not show it: this instance may have owned the shard under the same epoch
/// before it restarted. So the state without an owner must have been seen by this process.
pub(crate) fn is_first_owner(previous: &Machine, view: &View, shard: &Shard) -> bool {
    let unowned_before =
        previous.index > 0 && previous.shards.get(shard).is_none_or(|holder| holder.epoch == 0);
    unowned_before && view.machine.shards.get(shard).is_some_and(|holder| holder.epoch == 1)
}

/// Epoch of the last owner before the one under `epoch`, as far as `previous` shows it.
///
/// Releasing a shard raises the epoch too, and the shard has no owner until it is assigned again.
/// If that state was not seen, an instance without the copy may have owned the shard; the result
/// then matches no copy.
fn former_epoch(previous: &Machine, shard: &Shard, epoch: u64) -> u64 {
    let holder = previous.shards.get(shard).filter(|holder| holder.instance.is_none());
    let released = holder.is_some_and(|holder| holder.epoch + 1 == epoch);
    epoch.saturating_sub(if released { 2 } else { 1 })
}
