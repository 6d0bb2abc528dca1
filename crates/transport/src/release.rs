//! Releases shards of this instance without interrupting requests.
//!
//! A group is drained: new requests are refused as "stopping", so that entries hold them for the
//! next owner, while admitted requests and open transactions finish. The group closes before its
//! release is proposed, and does not start again under the same epoch, so that it and the next
//! owner never run requests at the same time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use auburnlug_state::{Command, Name, Shard};
use tokio::time::{Instant, sleep, timeout};

use crate::{forwarder::lock, group::Group, owner::Owner, view::View};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Bounds the time in which requests and transactions may finish. Entries hold requests for 5 s, of
/// which the next owner needs a part to start.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Bounds the wait until the standby has acknowledged a bucket.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a release that has not taken effect is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Bounds the release of all shards when the instance stops. Those that are left are released when
/// its lease expires.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(4500);

/// Time for other instances to see the release and to resend requests that were sent here
/// meanwhile.
const RELEASE_GRACE_PERIOD: Duration = Duration::from_millis(300);

impl Owner {
    /// Releases all shards, including those that are assigned meanwhile, and returns when other
    /// instances have had time to see it.
    pub(crate) async fn release_all(self: &Arc<Self>) {
        self.drain_all();
        let end = Instant::now() + RELEASE_TIMEOUT;
        while Instant::now() < end {
            self.release(&self.owned_shards());
            let mut view = self.control.view();
            let all_released = timeout(
                PROPOSAL_RETRY_INTERVAL,
                view.wait_for(|view| owned_shards(view).is_empty()),
            )
            .await
            .is_ok();
            if all_released {
                sleep(RELEASE_GRACE_PERIOD).await;
                if self.owned_shards().is_empty() {
                    return;
                }
            }
        }
    }

    /// Starts to release those of `shards` that this instance owns under the same epoch.
    pub(crate) fn release<'a>(
        self: &Arc<Self>,
        shards: impl IntoIterator<Item = (&'a Shard, &'a u64)>,
    ) {
        for (shard, epoch) in shards {
            if !self.owns(shard, *epoch) || !self.begin_release(shard, *epoch) {
                continue;
            }
            let (this, shard, epoch) = (self.clone(), shard.clone(), *epoch);
            tokio::spawn(async move { this.release_shard(shard, epoch).await });
        }
    }

    async fn release_shard(self: Arc<Self>, shard: Shard, epoch: u64) {
        match &shard {
            Shard::Group(name) => self.drain_group(name, epoch).await,
            Shard::Account(name) => self.hand_over_bucket(name, epoch).await,
        }
        while self.owns(&shard, epoch) {
            let (shard, instance) = (shard.clone(), None);
            let proposal = self.control.propose(Command::Assign { shard, instance, epoch });
            // The view shows whether the release took effect, also if the answer is lost.
            let _ = timeout(PROPOSAL_RETRY_INTERVAL, proposal).await;
            let mut view = self.control.view();
            view.mark_unchanged();
            // The next check follows a change of the view or the end of the interval.
            let _ = timeout(PROPOSAL_RETRY_INTERVAL, view.changed()).await;
        }
        self.end_release(&shard, epoch);
    }

    /// Waits until the requests of a group have finished, and closes it.
    async fn drain_group(&self, name: &Name, epoch: u64) {
        let group: Option<Arc<Group>> =
            lock(&self.groups).get(name).filter(|group| group.epoch == epoch).cloned();
        let Some(group) = group else { return };
        group.drain();
        let ended = async {
            while group.active_requests() > 0 {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Requests that take longer end when the group closes: as not run, or as unknown.
        let _ = timeout(DRAIN_TIMEOUT, ended).await;
        group.close();
    }

    /// Hands the bucket of a client account to its standby.
    async fn hand_over_bucket(&self, name: &Name, epoch: u64) {
        self.rate_owner.hand_over(name, epoch);
        let acknowledged = async {
            while !self.rate_owner.is_handed_over(name, epoch) {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Without the acknowledgement, the standby starts from its previous copy.
        let _ = timeout(HANDOVER_TIMEOUT, acknowledged).await;
    }

    fn owns(&self, shard: &Shard, epoch: u64) -> bool {
        let view = self.control.view().borrow().clone();
        let holder = view.machine.shards.get(shard);
        holder.is_some_and(|h| h.epoch == epoch && h.instance.as_ref() == Some(&view.instance))
    }

    fn owned_shards(&self) -> BTreeMap<Shard, u64> {
        owned_shards(&self.control.view().borrow())
    }
}

/// Shards of this instance and their epochs.
fn owned_shards(view: &View) -> BTreeMap<Shard, u64> {
    let shards = view.machine.shards.iter();
    let mine = shards.filter(|(_, holder)| holder.instance.as_ref() == Some(&view.instance));
    mine.map(|(shard, holder)| (shard.clone(), holder.epoch)).collect()
}
