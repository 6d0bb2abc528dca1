//! Copies the request ids of an owned group to its standby.
//!
//! A statement with an id is sent only once the standby has the id, or when there is no standby. A
//! silent standby holds such statements until it answers or its lease has ended: going on would
//! let them run twice after the loss of both the copy and the owner.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use auburnlug_coordination::{assign::standby, dedup::Key};
use auburnlug_protocol::peer::{Answer, Copied, Reason, Traffic};
use auburnlug_state::{Name, Shard};
use tokio::{
    sync::{Mutex as AsyncMutex, mpsc, oneshot},
    time::{Instant, interval, sleep, timeout, timeout_at},
};

use crate::{
    forward::{Forwarder, lock},
    group::SharedIds,
    metrics::Metrics,
    view::Control,
};

/// Longest wait for one answer of the standby.
const SILENCE: Duration = Duration::from_millis(300);

/// Pause before a standby that did not store ids is asked again.
const AGAIN: Duration = Duration::from_millis(20);

/// Time between two looks at whether the standby's table is complete.
const TICK: Duration = Duration::from_millis(200);

/// Most ids in a message.
const MAX_BATCH: usize = 256;

/// Messages that may wait to be copied.
const QUEUE: usize = 4096;

/// Largest answer that is copied, and all answers of a table together, in bytes.
const MAX_ANSWER: usize = 1024;
const MAX_FILL: usize = 4 << 20;

type Waiter = oneshot::Sender<Result<(), Reason>>;

enum Item {
    Intent(Key, Waiter),
    Ended(Key, Answer),
}

/// Handle to the task that copies the ids of a group under one epoch.
#[derive(Clone)]
pub(crate) struct Copier(mpsc::Sender<Item>);

/// What copiers need from the instance.
#[derive(Clone)]
pub(crate) struct Means {
    pub control: Arc<dyn Control>,
    pub forwarder: Arc<Forwarder>,
    pub metrics: Arc<Metrics>,
}

type Target = (Name, u64);

#[derive(Default)]
struct Targets {
    /// Index of the state that the target was derived from.
    index: Option<u64>,
    current: Option<Target>,
    /// Whether the table of the current one is known to be complete.
    filled: bool,
    /// Instances that may still have a table.
    former: Vec<Target>,
}

struct Task {
    means: Means,
    group: Name,
    shard: Shard,
    epoch: u64,
    ids: SharedIds,
    targets: Mutex<Targets>,
    /// Held while a table is filled.
    filling: AsyncMutex<()>,
}

impl Copier {
    pub(crate) fn start(means: Means, group: Name, epoch: u64, ids: SharedIds) -> Copier {
        let (sender, inbox) = mpsc::channel(QUEUE);
        let shard = Shard::Group(group.clone());
        let (targets, filling) = (Mutex::default(), AsyncMutex::default());
        let task = Task { means, group, shard, epoch, ids, targets, filling };
        tokio::spawn(Arc::new(task).run(inbox));
        Copier(sender)
    }

    /// Waits until the id is safe from the loss of this instance.
    ///
    /// # Errors
    ///
    /// Why the statement must not be sent.
    pub(crate) async fn intent(&self, key: Key, deadline: Instant) -> Result<(), Reason> {
        let (stored, done) = oneshot::channel();
        let wait = async {
            let sent = self.0.send(Item::Intent(key, stored)).await;
            sent.map_err(|_| Reason::Owner)?;
            done.await.unwrap_or(Err(Reason::Owner))
        };
        timeout_at(deadline, wait).await.unwrap_or(Err(Reason::Standby))
    }

    /// Copies a small answer; it may be lost, and the id is then unknown to the next owner.
    pub(crate) fn ended(&self, key: Key, answer: &Answer) {
        if answer.messages.len() <= MAX_ANSWER {
            let _ = self.0.try_send(Item::Ended(key, answer.clone()));
        }
    }
}

impl Task {
    async fn run(self: Arc<Self>, mut inbox: mpsc::Receiver<Item>) {
        let mut tick = interval(TICK);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    self.send(std::mem::take(&mut batch));
                }
                _ = tick.tick() => {
                    tokio::spawn(self.clone().fill());
                }
            }
        }
    }

    fn send(self: &Arc<Self>, batch: Vec<Item>) {
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
            && let Some(peer) = self.target().and_then(|t| self.means.forwarder.current(&t.0))
        {
            peer.tell(Traffic::Ended { group, epoch, answers });
        }
        if !keys.is_empty() {
            tokio::spawn(self.clone().deliver(keys, waiters));
        }
    }

    /// Stores `keys` and tells the statements that wait for it.
    async fn deliver(self: Arc<Self>, keys: Vec<Key>, waiters: Vec<Waiter>) {
        let result = loop {
            if !self.owned() {
                break Err(Reason::Owner);
            }
            match self.store(&keys).await {
                Ok(kind) => {
                    self.means.metrics.copied(kind);
                    break Ok(());
                }
                Err(Some(Copied::Full)) => {
                    self.means.metrics.copied("full");
                    break Err(Reason::Overload);
                }
                Err(Some(_)) => self.means.metrics.copied("stale"),
                Err(None) => self.means.metrics.copied("silent"),
            }
            if waiters.iter().all(|waiter| waiter.is_closed()) {
                return;
            }
            sleep(AGAIN).await;
        };
        for waiter in waiters {
            // A statement whose wait is over was refused.
            let _ = waiter.send(result);
        }
    }

    /// Stores `keys` at the standby; the error is `None` if it is silent.
    async fn store(&self, keys: &[Key]) -> Result<&'static str, Option<Copied>> {
        let target = self.target();
        self.void().await?;
        let kind = match &target {
            Some(target) => {
                let (group, epoch, keys) = (self.group.clone(), self.epoch, keys.to_vec());
                self.exchange(target, |id| Traffic::Intent { id, group, epoch, keys }).await?;
                "stored"
            }
            None => "alone",
        };
        // A standby that was chosen meanwhile may have been filled without these ids.
        if self.target() == target { Ok(kind) } else { Err(Some(Copied::Stale)) }
    }

    /// Voids the tables of former standbys; none of them lacks an id and counts as complete then.
    async fn void(&self) -> Result<(), Option<Copied>> {
        let former = lock(&self.targets).former.clone();
        for target in former {
            let record = {
                let view = self.means.control.view().borrow().clone();
                view.machine.instances.get(&target.0).map(|record| record.incarnation)
            };
            if record == Some(target.1) {
                let (group, epoch) = (self.group.clone(), self.epoch);
                self.exchange(&target, |id| Traffic::Void { id, group, epoch }).await?;
            }
            lock(&self.targets).former.retain(|other| *other != target);
        }
        Ok(())
    }

    /// Gives the standby the whole table, once this owner knows all ids.
    async fn fill(self: Arc<Self>) {
        let Ok(_guard) = self.filling.try_lock() else { return };
        let Some(target) = self.target().filter(|_| !lock(&self.targets).filled) else { return };
        if !self.owned() || self.void().await.is_err() {
            return;
        }
        if lock(&self.ids).export(0, self.means.control.now()).is_none() {
            return;
        }
        // The number of the new table excludes that this message fills a later one.
        let (group, epoch) = (self.group.clone(), self.epoch);
        let void = self.exchange(&target, |id| Traffic::Void { id, group, epoch }).await;
        let Ok(table) = void else { return };
        let now = self.means.control.now();
        let Some(entries) = lock(&self.ids).export(MAX_FILL, now) else { return };
        let entries = entries.into_iter().map(|(key, answer)| (key, answer.map(|a| a.0))).collect();
        let (group, epoch) = (self.group.clone(), self.epoch);
        let fill = |id| Traffic::Fill { id, group, epoch, table, entries };
        // Without an answer, the next tick tries again.
        let kind = if self.exchange(&target, fill).await.is_ok() { "filled" } else { "unfilled" };
        self.means.metrics.copied(kind);
    }

    /// Sends a message and returns the number of the table it changed; the error is `None` if no
    /// answer came.
    async fn exchange(
        &self,
        target: &Target,
        message: impl FnOnce(u64) -> Traffic,
    ) -> Result<u64, Option<Copied>> {
        let exchange = async {
            let peer = self.means.forwarder.peer(&target.0).await?;
            let id = self.means.forwarder.number();
            peer.copy(id, message(id)).await
        };
        let (table, copy) = timeout(SILENCE, exchange).await.ok().flatten().ok_or(None)?;
        let mut targets = lock(&self.targets);
        if targets.current.as_ref() == Some(target) {
            targets.filled = copy == Copied::Complete;
        }
        match copy {
            Copied::Complete | Copied::Partial => Ok(table),
            other => Err(Some(other)),
        }
    }

    /// The standby in the current state.
    fn target(&self) -> Option<Target> {
        let view = self.means.control.view().borrow().clone();
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

    fn owned(&self) -> bool {
        let view = self.means.control.view().borrow().clone();
        let holder = view.machine.shards.get(&self.shard);
        holder.is_some_and(|h| h.epoch == self.epoch && h.instance.as_ref() == Some(&view.me))
    }
}
