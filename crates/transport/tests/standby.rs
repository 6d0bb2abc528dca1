//! Request ids survive the loss of their owner (property P10).

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use auburnlug_state::{Instance, Machine, Shard};
use common::{FakeWire, TestInstance, name, wait_until};

const VALID_LEASE_MS: u64 = 1 << 40;

async fn run_with_id(instance: &TestInstance, id: &str) -> String {
    let sql = format!("/* auburnlug id={id} */ insert into loans values (1)");
    let result = instance.connect().await.simple_query(&sql).await;
    result.err().and_then(|e| e.code().map(|c| c.code().to_string())).unwrap_or_default()
}

fn change_both(rigs: [&TestInstance; 2], edit: impl Fn(&mut Machine)) {
    rigs.iter().for_each(|instance| instance.control.change(&edit));
}

/// Moves all shards from `a` to `b`.
fn move_all(rigs: [&TestInstance; 2]) {
    change_both(rigs, |machine| {
        for holder in machine.shards.values_mut() {
            (holder.instance, holder.epoch) = (Some(name("b")), holder.epoch + 1);
        }
    });
}

async fn start_with_filled_standby() -> (TestInstance, TestInstance, Arc<FakeWire>) {
    let (a, b, wire) = TestInstance::owner_and_standby().await;
    wait_until(|| a.metrics.text().contains("kind=\"filled\"")).await;
    (a, b, wire)
}

/// Guards against an id that runs again at the new owner, against the loss of its answer, and
/// against fresh ids that wait although the new owner has the table.
#[tokio::test]
async fn standby_takes_over_with_the_ids() {
    let (a, b, _wire) = start_with_filled_standby().await;
    // The answer to each id is copied before the next id.
    assert_eq!([run_with_id(&a, "r1").await, run_with_id(&a, "r2").await], ["", ""]);
    move_all([&a, &b]);
    assert_eq!(run_with_id(&b, "r1").await, "");
    assert_eq!(a.backends[0].ran().len(), 2);
    assert_eq!(run_with_id(&b, "r3").await, "");
    assert_eq!(a.backends[0].ran().len(), 3);
}

/// Guards against an id in flight that counts as new at the new owner.
#[tokio::test]
async fn running_id_is_unknown_after_the_takeover() {
    let (a, b, _wire) = start_with_filled_standby().await;
    let client = a.connect().await;
    let sql = "/* auburnlug id=r1 */ insert into loans hangs";
    let first = tokio::spawn(async move { client.simple_query(sql).await });
    wait_until(|| a.backends[0].ran().len() == 1).await;
    move_all([&a, &b]);
    first.await.unwrap().unwrap_err();
    assert_eq!(run_with_id(&b, "r1").await, "08007");
    assert_eq!(run_with_id(&b, "r2").await, "");
    assert_eq!(a.backends[0].ran().len(), 2);
}

/// Guards against a standby that discards its copy when the shard was released before the takeover,
/// which raises the epoch twice.
#[tokio::test]
async fn standby_takes_over_a_released_shard() {
    let (a, b, _wire) = start_with_filled_standby().await;
    assert_eq!(run_with_id(&a, "r1").await, "");
    change_both([&a, &b], |machine| {
        for holder in machine.shards.values_mut() {
            (holder.instance, holder.epoch) = (None, holder.epoch + 1);
        }
    });
    // The state without an owner must have been seen.
    tokio::time::sleep(Duration::from_millis(50)).await;
    move_all([&a, &b]);
    assert_eq!(run_with_id(&b, "r2").await, "");
}

/// Guards against a statement that is sent while the standby is unresponsive, and against one that
/// is still refused after the standby was removed.
#[tokio::test]
async fn unresponsive_standby_blocks_statements_until_it_is_removed() {
    let (a, _b, wire) = start_with_filled_standby().await;
    wire.disconnect();
    assert_eq!(run_with_id(&a, "r1").await, "57P03");
    assert!(a.backends[0].ran().is_empty());
    assert!(a.metrics.text().contains("kind=\"silent\""));
    a.control.change(|machine| {
        machine.instances.remove("b");
    });
    assert_eq!(run_with_id(&a, "r1").await, "");
}

/// Guards against the use of a copy after the lease of its instance has ended: another instance may
/// have been the standby meanwhile.
#[tokio::test]
async fn copy_is_dropped_when_the_lease_ends() {
    let (a, b, _wire) = start_with_filled_standby().await;
    assert_eq!(run_with_id(&a, "r1").await, "");
    b.control.lease.store(0, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(300)).await;
    move_all([&a, &b]);
    b.control.lease.store(VALID_LEASE_MS, Ordering::SeqCst);
    b.control.change(|_| {});
    assert_eq!(run_with_id(&b, "r2").await, "08007");
}

/// Guards against the use of a former standby's copy, which lacks the ids that were stored since.
#[tokio::test]
async fn copy_of_a_former_standby_is_void() {
    let (a, b, _wire) = start_with_filled_standby().await;
    a.control.change(|machine| {
        // `c` is preferred, as it is in another failure domain; the fake wire does not reach it.
        let record = machine.instances[&name("b")].clone();
        let c = Instance { name: name("c"), domain: name("d2"), ..record };
        machine.instances.insert(name("c"), c);
    });
    let shard = Shard::Group(name("loans"));
    let chosen = a.control.view.borrow().machine.clone();
    assert_eq!(auburnlug_coordination::assign::standby(&chosen, &shard), Some(&name("c")));
    assert_eq!(run_with_id(&a, "r1").await, "57P03");
    a.control.change(|machine| {
        machine.instances.remove("c");
    });
    move_all([&a, &b]);
    assert_eq!(run_with_id(&b, "r2").await, "08007");
    assert!(a.backends[0].ran().is_empty());
}
