//! Copies the request ids of an owned group to its standby.
//!
//! A statement with an id is sent to a server only once the standby has stored the id, or when
//! there is no standby. While the standby is unresponsive, such statements wait until it answers or
//! its lease has ended: sending them could let them run twice after the loss of both the copy and
//! the owner.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::{assign::standby, dedup::RequestKey};
use auburnlug_protocol::peer::{Answer, Reason, TableState, TrafficMessage};
use auburnlug_state::{Name, Shard};
use tokio::{
    sync::{Mutex as AsyncMutex, mpsc, oneshot},
    time::{Instant, interval, sleep, timeout, timeout_at},
};

use crate::{
    forwarder::{Forwarder, lock},
    group::SharedRequestIds,
    metrics::Metrics,
    view::Control,
};

const STANDBY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before a request to store ids is sent again to a standby that did not store them.
const STANDBY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval between checks whether the standby's table is complete.
const FILL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Request ids and answers that are taken from the queue at once.
const MAX_BATCH_ITEMS: usize = 256;

const MAX_QUEUED_ITEMS: usize = 4096;

/// Largest answer that is copied to the standby.
const MAX_COPIED_ANSWER_BYTES: usize = 1024;

/// Total size of the answers in a message that fills a table.
const MAX_FILL_BYTES: usize = 4 << 20;

type Waiter = oneshot::Sender<Result<(), Reason>>;

/// A message to the task of a [`Copier`].
enum Item {
    Intent(RequestKey, Waiter),
    Ended(RequestKey, Answer),
}

/// Handle to the task that copies the ids of a group under one epoch.
#[derive(Clone)]
pub(crate) struct Copier(mpsc::Sender<Item>);

/// Dependencies of copiers on the instance.
#[derive(Clone)]
pub(crate) struct CopierContext {
    pub control: Arc<dyn Control>,
    pub forwarder: Arc<Forwarder>,
    pub metrics: Arc<Metrics>,
}

/// A standby and its incarnation.
type Target = (Name, u64);

#[derive(Default)]
struct Targets {
    /// Index of the state that the target was derived from.
    index: Option<u64>,
    current: Option<Target>,
    /// Whether the table at the current target is known to be complete.
    filled: bool,
    /// Former targets that may still have a table.
    former: Vec<Target>,
}

struct CopyTask {
    context: CopierContext,
    group: Name,
    shard: Shard,
    epoch: u64,
    ids: SharedRequestIds,
    targets: Mutex<Targets>,
    /// Locked while the table at the standby is filled.
    filling: AsyncMutex<()>,
}

impl Copier {
    pub(crate) fn start(
        context: CopierContext,
        group: Name,
        epoch: u64,
        ids: SharedRequestIds,
    ) -> Copier {
        let (sender, inbox) = mpsc::channel(MAX_QUEUED_ITEMS);
        let shard = Shard::Group(group.clone());
        let (targets, filling) = (Mutex::default(), AsyncMutex::default());
        let task = CopyTask { context, group, shard, epoch, ids, targets, filling };
        tokio::spawn(Arc::new(task).run(inbox));
        Copier(sender)
    }

    /// Waits until the id survives the loss of this instance.
    ///
    /// # Errors
    ///
    /// Why the statement must not be sent.
    pub(crate) async fn store_intent(
        &self,
        key: RequestKey,
        deadline: Instant,
    ) -> Result<(), Reason> {
        let (stored, done) = oneshot::channel();
        let wait = async {
            let sent = self.0.send(Item::Intent(key, stored)).await;
            sent.map_err(|_| Reason::Owner)?;
            done.await.unwrap_or(Err(Reason::Owner))
        };
        timeout_at(deadline, wait).await.unwrap_or(Err(Reason::Standby))
    }

    /// Copies an answer, if it is small. The copy may be lost; the next owner then reports the
    /// outcome of the id as unknown.
    pub(crate) fn copy_answer(&self, key: RequestKey, answer: &Answer) {
        if answer.messages.len() <= MAX_COPIED_ANSWER_BYTES {
            let _ = self.0.try_send(Item::Ended(key, answer.clone()));
        }
    }
}

impl CopyTask {
    async fn run(self: Arc<Self>, mut inbox: mpsc::Receiver<Item>) {
        let mut tick = interval(FILL_CHECK_INTERVAL);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut batch, MAX_BATCH_ITEMS) => {
                    if count == 0 {
                        return;
                    }
                    self.send_batch(std::mem::take(&mut batch));
                }
                _ = tick.tick() => {
                    tokio::spawn(self.clone().fill_standby());
                }
            }
        }
    }

    fn send_batch(self: &Arc<Self>, batch: Vec<Item>) {
        let (mut keys, mut waiters, mut answers) = (Vec::new(), Vec::new(), Vec::new());
        for item in batch {
            match item {
                Item::Intent(key, stored) => {
                    keys.push(key);
                    waiters.push(stored);
                }
                Item::Ended(key, answer) => answers.push((key, answer)),
            }
        }
        let (group, epoch) = (self.group.clone(), self.epoch);
        if !answers.is_empty()
            && let Some(peer) =
                self.find_target().and_then(|t| self.context.forwarder.open_peer(&t.0))
        {
            peer.send(TrafficMessage::Ended { group, epoch, answers });
        }
        if !keys.is_empty() {
            tokio::spawn(self.clone().store_and_notify(keys, waiters));
        }
    }

    /// Stores `keys` at the standby, and notifies the statements that wait for it.
    async fn store_and_notify(self: Arc<Self>, keys: Vec<RequestKey>, waiters: Vec<Waiter>) {
        let result = loop {
            if !self.is_owner() {
                break Err(Reason::Owner);
            }
            match self.store_keys(&keys).await {
                Ok(kind) => {
                    self.context.metrics.count_standby_exchange(kind);
                    break Ok(());
                }
                Err(Some(TableState::Full)) => {
                    self.context.metrics.count_standby_exchange("full");
                    break Err(Reason::Overload);
                }
                Err(Some(_)) => self.context.metrics.count_standby_exchange("stale"),
                Err(None) => self.context.metrics.count_standby_exchange("silent"),
            }
            if waiters.iter().all(|waiter| waiter.is_closed()) {
                return;
            }
            sleep(STANDBY_RETRY_DELAY).await;
        };
        for waiter in waiters {
            // The receiver is dropped if the statement timed out and was refused.
            let _ = waiter.send(result);
        }
    }

    /// Stores `keys` at the standby; the error is `None` if the standby did not answer.
    async fn store_keys(&self, keys: &[RequestKey]) -> Result<&'static str, Option<TableState>> {
        let target = self.find_target();
        self.void_former().await?;
        let kind = match &target {
            Some(target) => {
                let (group, epoch, keys) = (self.group.clone(), self.epoch, keys.to_vec());
                self.exchange(target, |id| TrafficMessage::Intent { id, group, epoch, keys })
                    .await?;
                "stored"
            }
            None => "alone",
        };
        // A standby that was chosen meanwhile may have been filled without these ids.
        if self.find_target() == target { Ok(kind) } else { Err(Some(TableState::Stale)) }
    }

    /// Voids the tables at former standbys, so that none of them counts as complete without an id.
    async fn void_former(&self) -> Result<(), Option<TableState>> {
        let former = lock(&self.targets).former.clone();
        for target in former {
            let record = {
                let view = self.context.control.view().borrow().clone();
                view.machine.instances.get(&target.0).map(|record| record.incarnation)
            };
            if record == Some(target.1) {
                let (group, epoch) = (self.group.clone(), self.epoch);
                self.exchange(&target, |id| TrafficMessage::Void { id, group, epoch }).await?;
            }
            lock(&self.targets).former.retain(|other| *other != target);
        }
        Ok(())
    }

    /// Sends the whole table to the standby, once this owner knows all ids.
    async fn fill_standby(self: Arc<Self>) {
        let Ok(_guard) = self.filling.try_lock() else { return };
        let Some(target) = self.find_target().filter(|_| !lock(&self.targets).filled) else {
            return;
        };
        if !self.is_owner() || self.void_former().await.is_err() {
            return;
        }
        if lock(&self.ids).export(0, self.context.control.now()).is_none() {
            return;
        }
        // With the number of the new table, this message cannot fill a later one.
        let (group, epoch) = (self.group.clone(), self.epoch);
        let void = self.exchange(&target, |id| TrafficMessage::Void { id, group, epoch }).await;
        let Ok(table) = void else { return };
        let now = self.context.control.now();
        let Some(entries) = lock(&self.ids).export(MAX_FILL_BYTES, now) else { return };
        let entries = entries.into_iter().map(|(key, answer)| (key, answer.map(|a| a.0))).collect();
        let (group, epoch) = (self.group.clone(), self.epoch);
        let fill = |id| TrafficMessage::Fill { id, group, epoch, table, entries };
        // Without an answer, the next tick tries again.
        let kind = if self.exchange(&target, fill).await.is_ok() { "filled" } else { "unfilled" };
        self.context.metrics.count_standby_exchange(kind);
    }

    /// Sends a message and returns the number of the table that it changed; the error is `None` if
    /// no answer arrived.
    async fn exchange(
        &self,
        target: &Target,
        message: impl FnOnce(u64) -> TrafficMessage,
    ) -> Result<u64, Option<TableState>> {
        let exchange = async {
            let peer = self.context.forwarder.connect_peer(&target.0).await?;
            let id = self.context.forwarder.next_number();
            peer.exchange_copy(id, message(id)).await
        };
        let (table, copy) =
            timeout(STANDBY_RESPONSE_TIMEOUT, exchange).await.ok().flatten().ok_or(None)?;
        let mut targets = lock(&self.targets);
        if targets.current.as_ref() == Some(target) {
            targets.filled = copy == TableState::Complete;
        }
        match copy {
            TableState::Complete | TableState::Partial => Ok(table),
            other => Err(Some(other)),
        }
    }

    /// The standby in the current replicated state.
    fn find_target(&self) -> Option<Target> {
        let view = self.context.control.view().borrow().clone();
        let machine = &view.machine;
        let mut targets = lock(&self.targets);
        if targets.index != Some(machine.index) {
            let chosen = standby(machine, &self.shard).and_then(|name| machine.instances.get(name));
            let chosen = chosen.map(|i| (i.name.clone(), i.incarnation));
            targets.index = Some(machine.index);
            if targets.current != chosen {
                let old = std::mem::replace(&mut targets.current, chosen);
                targets.former.extend(old);
                targets.filled = false;
            }
        }
        targets.current.clone()
    }

    fn is_owner(&self) -> bool {
        let view = self.context.control.view().borrow().clone();
        let holder = view.machine.shards.get(&self.shard);
        holder.is_some_and(|h| h.epoch == self.epoch && h.instance.as_ref() == Some(&view.instance))
    }
}
