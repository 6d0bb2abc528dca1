//! Request ids survive the loss of their owner (property P10).

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use auburnlug_state::{Instance, Machine, Shard};
use common::{Rig, Wire, name, until};

const HELD: u64 = 1 << 40;

async fn run(rig: &Rig, id: &str) -> String {
    let sql = format!("/* auburnlug id={id} */ insert into loans values (1)");
    let result = rig.connect().await.simple_query(&sql).await;
    result.err().and_then(|e| e.code().map(|c| c.code().to_string())).unwrap_or_default()
}

fn change(rigs: [&Rig; 2], edit: impl Fn(&mut Machine)) {
    rigs.iter().for_each(|rig| rig.control.change(&edit));
}

/// Moves all shards from `a` to `b`.
fn move_all(rigs: [&Rig; 2]) {
    change(rigs, |machine| {
        for holder in machine.shards.values_mut() {
            (holder.instance, holder.epoch) = (Some(name("b")), holder.epoch + 1);
        }
    });
}

async fn filled() -> (Rig, Rig, Arc<Wire>) {
    let (a, b, wire) = Rig::mesh().await;
    until(|| a.metrics.text().contains("kind=\"filled\"")).await;
    (a, b, wire)
}

/// Guards against an id that runs again at the new owner, against the loss of its answer, and
/// against fresh ids that wait although the new owner has the table.
#[tokio::test]
async fn standby_takes_over_with_the_ids() {
    let (a, b, _wire) = filled().await;
    // The answer to each id is copied before the next id.
    assert_eq!([run(&a, "r1").await, run(&a, "r2").await], ["", ""]);
    move_all([&a, &b]);
    assert_eq!(run(&b, "r1").await, "");
    assert_eq!(a.backends[0].ran().len(), 2);
    assert_eq!(run(&b, "r3").await, "");
    assert_eq!(a.backends[0].ran().len(), 3);
}

/// Guards against an id in flight that counts as new at the new owner.
#[tokio::test]
async fn running_id_is_unknown_after_the_takeover() {
    let (a, b, _wire) = filled().await;
    let client = a.connect().await;
    let sql = "/* auburnlug id=r1 */ insert into loans hangs";
    let first = tokio::spawn(async move { client.simple_query(sql).await });
    until(|| a.backends[0].ran().len() == 1).await;
    move_all([&a, &b]);
    first.await.unwrap().unwrap_err();
    assert_eq!(run(&b, "r1").await, "08007");
    assert_eq!(run(&b, "r2").await, "");
    assert_eq!(a.backends[0].ran().len(), 2);
}

/// Guards against a shard that is given up first: the epoch rises twice then.
#[tokio::test]
async fn standby_takes_over_a_shard_that_was_given_up() {
    let (a, b, _wire) = filled().await;
    assert_eq!(run(&a, "r1").await, "");
    change([&a, &b], |machine| {
        for holder in machine.shards.values_mut() {
            (holder.instance, holder.epoch) = (None, holder.epoch + 1);
        }
    });
    // The state without an owner must have been seen.
    tokio::time::sleep(Duration::from_millis(50)).await;
    move_all([&a, &b]);
    assert_eq!(run(&b, "r2").await, "");
}

/// Guards against a statement that is sent although its standby is silent, and against one that
/// stays refused when the standby is gone.
#[tokio::test]
async fn silent_standby_holds_statements_until_it_is_removed() {
    let (a, _b, wire) = filled().await;
    wire.mute();
    assert_eq!(run(&a, "r1").await, "57P03");
    assert!(a.backends[0].ran().is_empty());
    assert!(a.metrics.text().contains("kind=\"silent\""));
    a.control.change(|machine| {
        machine.instances.remove("b");
    });
    assert_eq!(run(&a, "r1").await, "");
}

/// Guards against the copy of an instance whose lease ended: another instance may have been the
/// standby meanwhile.
#[tokio::test]
async fn copy_does_not_outlast_the_lease() {
    let (a, b, _wire) = filled().await;
    assert_eq!(run(&a, "r1").await, "");
    b.control.lease.store(0, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(300)).await;
    move_all([&a, &b]);
    b.control.lease.store(HELD, Ordering::SeqCst);
    b.control.change(|_| {});
    assert_eq!(run(&b, "r2").await, "08007");
}

/// Guards against the copy of a former standby, which lacks the ids stored since.
#[tokio::test]
async fn copy_of_a_former_standby_is_void() {
    let (a, b, _wire) = filled().await;
    a.control.change(|machine| {
        // In another failure domain, it is preferred; nothing reaches it.
        let record = machine.instances[&name("b")].clone();
        let c = Instance { name: name("c"), domain: name("d2"), ..record };
        machine.instances.insert(name("c"), c);
    });
    let shard = Shard::Group(name("loans"));
    let chosen = a.control.view.borrow().machine.clone();
    assert_eq!(auburnlug_coordination::assign::standby(&chosen, &shard), Some(&name("c")));
    assert_eq!(run(&a, "r1").await, "57P03");
    a.control.change(|machine| {
        machine.instances.remove("c");
    });
    move_all([&a, &b]);
    assert_eq!(run(&b, "r2").await, "08007");
    assert!(a.backends[0].ran().is_empty());
}
