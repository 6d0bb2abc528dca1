//! Gives up shards of this instance without cutting work.
//!
//! A group is drained: new requests are refused as "stopping", so that entries hold them for the
//! next owner, while accepted ones and open transactions end. The group closes before its release
//! is proposed, and does not start again under the same epoch, so that it and the next owner never
//! run work at the same time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use auburnlug_state::{Command, Name, Shard};
use tokio::time::{Instant, sleep, timeout};

use crate::{forward::lock, group::Group, owner::Owner, view::View};

/// Time between two looks at what still runs while a group drains.
const POLL: Duration = Duration::from_millis(2);

/// Longest time that work may take to end. Entries hold requests for 5 s, of which the next owner
/// needs some to start.
const DRAIN: Duration = Duration::from_secs(3);

/// Longest time until the standby has acknowledged a bucket.
const HAND_OVER: Duration = Duration::from_millis(200);

/// Time after which a release that shows no effect is proposed again.
const REPEAT: Duration = Duration::from_millis(200);

/// Longest time for the release of all shards when the instance stops. Afterwards the end of its
/// lease releases them.
const RELEASE: Duration = Duration::from_millis(4500);

/// Time for other instances to see the release and to resend what they sent here meanwhile.
const LINGER: Duration = Duration::from_millis(300);

impl Owner {
    /// Gives up all shards, those that arrive meanwhile too, and returns when other instances have
    /// had time to see it.
    pub(crate) async fn release_all(self: &Arc<Self>) {
        self.stopping();
        let end = Instant::now() + RELEASE;
        while Instant::now() < end {
            self.release(&self.owned());
            let mut view = self.control.view();
            let none = timeout(REPEAT, view.wait_for(|view| owned(view).is_empty())).await.is_ok();
            if none {
                sleep(LINGER).await;
                if self.owned().is_empty() {
                    return;
                }
            }
        }
    }

    /// Starts to give up those of `shards` that this instance owns under the same epoch.
    pub(crate) fn release<'a>(
        self: &Arc<Self>,
        shards: impl IntoIterator<Item = (&'a Shard, &'a u64)>,
    ) {
        for (shard, epoch) in shards {
            if !self.holds(shard, *epoch) || !self.begin_release(shard, *epoch) {
                continue;
            }
            let (this, shard, epoch) = (self.clone(), shard.clone(), *epoch);
            tokio::spawn(async move { this.give_up(shard, epoch).await });
        }
    }

    async fn give_up(self: Arc<Self>, shard: Shard, epoch: u64) {
        match &shard {
            Shard::Group(name) => self.drain(name, epoch).await,
            Shard::Account(name) => self.hand_over(name, epoch).await,
        }
        while self.holds(&shard, epoch) {
            let (shard, instance) = (shard.clone(), None);
            let proposal = self.control.propose(Command::Assign { shard, instance, epoch });
            // The view shows the effect, also that of an answer that was lost.
            let _ = timeout(REPEAT, proposal).await;
            let mut view = self.control.view();
            view.mark_unchanged();
            // Either a change of the view or the end of the pause leads to the next look.
            let _ = timeout(REPEAT, view.changed()).await;
        }
        self.end_release(&shard, epoch);
    }

    /// Lets the work of a group end, and closes it.
    async fn drain(&self, name: &Name, epoch: u64) {
        let group: Option<Arc<Group>> =
            lock(&self.groups).get(name).filter(|group| group.epoch == epoch).cloned();
        let Some(group) = group else { return };
        group.drain();
        let ended = async {
            while group.working() > 0 {
                sleep(POLL).await;
            }
        };
        // Work that takes longer ends with the group: as not run, or as unknown.
        let _ = timeout(DRAIN, ended).await;
        group.close();
    }

    /// Hands the bucket of a client account to its standby.
    async fn hand_over(&self, name: &Name, epoch: u64) {
        self.buckets.give(name, epoch);
        let kept = async {
            while !self.buckets.given(name, epoch) {
                sleep(POLL).await;
            }
        };
        // Without it, the standby starts from what it kept before.
        let _ = timeout(HAND_OVER, kept).await;
    }

    fn holds(&self, shard: &Shard, epoch: u64) -> bool {
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(shard);
        holder.is_some_and(|h| h.epoch == epoch && h.instance.as_ref() == Some(&view.me))
    }

    fn owned(&self) -> BTreeMap<Shard, u64> {
        owned(&self.control.view().borrow())
    }
}

/// Shards of this instance and their epochs.
fn owned(view: &View) -> BTreeMap<Shard, u64> {
    let shards = view.machine.shards.iter();
    let mine = shards.filter(|(_, holder)| holder.instance.as_ref() == Some(&view.me));
    mine.map(|(shard, holder)| (shard.clone(), holder.epoch)).collect()
}
