//! Seats of the pool: who gets one, who is told at once that there is none.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use auburnlug_gateway::{
    local::{Local, Me, View},
    metrics::GatewayMetrics,
    pool::{NoSeat, Pool, Want},
};
use auburnlug_protocol::{fleet::HolderView, job::Values};
use auburnlug_state::{
    Name,
    fleet::{Backend, Run},
};
use auburnlug_transport::clock::{Clock, SystemClock};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::timeout,
};

fn local() -> Rc<Local> {
    let me = Me {
        name: Name::try_from("127.0.0.1").unwrap(),
        label: "test".into(),
        region: "r".into(),
        domain: "d".into(),
        run: 1,
    };
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    Rc::new(Local::new(me, clock, Arc::new(GatewayMetrics::default())))
}

/// View with one server of one slot; this entry has `connections` to it.
fn view(connections: u32) -> View {
    let backend = Backend {
        id: "s".into(),
        group: "g".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".into(),
        slots: 1,
        draining: false,
        run: Run(1),
    };
    let holder = HolderView {
        entry: Name::try_from("127.0.0.1").unwrap(),
        domain: "d".into(),
        region: "r".into(),
        connections,
    };
    let holders = if connections > 0 { vec![holder] } else { Vec::new() };
    View {
        backends: BTreeMap::from([("s".into(), backend)]),
        holders: BTreeMap::from([("s".into(), holders)]),
        ..View::default()
    }
}

fn want(local: &Local, account: &str, priority: u32, left: u64) -> Want {
    Want {
        server: "s".into(),
        account: account.into(),
        values: Values::new(),
        priority,
        until: local.now() + left,
        patience: left,
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn jobs_that_wait_leave_an_entry_that_loses_the_server() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.refresh(&view(4));
        let busy = pool.seat(want(&local, "a", 1, 60_000)).await;
        assert!(busy.is_ok());
        let (other, wanted) = (pool.clone(), want(&local, "a", 1, 60_000));
        let waiting = spawn_local(async move { other.seat(wanted).await.err() });
        tokio::task::yield_now().await;
        pool.refresh(&view(0));
        let told = timeout(Duration::from_secs(10), waiting).await.unwrap().unwrap();
        assert_eq!(told, Some(NoSeat::Unreachable));
        // The connection in use ends with its job.
        drop(busy);
        assert_eq!(pool.seat(want(&local, "a", 1, 60_000)).await.err(), Some(NoSeat::Unreachable));
    });
}

#[test]
fn a_full_queue_refuses_at_once_what_it_cannot_reach() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.refresh(&view(4));
        let _busy = pool.seat(want(&local, "a", 1, 60_000)).await;
        let queue: Vec<_> = (0..20)
            .map(|_| {
                let (pool, want) = (pool.clone(), want(&local, "a", 1, 60_000));
                spawn_local(async move { pool.seat(want).await.is_ok() })
            })
            .collect();
        tokio::task::yield_now().await;
        // Twenty jobs of 20 ms each are before it.
        let refused = pool.seat(want(&local, "b", 1, 200)).await.err();
        assert!(matches!(refused, Some(NoSeat::Full(..))), "{refused:?}");
        for waiting in queue {
            waiting.abort();
        }
    });
}

#[test]
fn a_job_joins_no_queue_that_is_longer_than_its_patience() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.refresh(&view(4));
        let _busy = pool.seat(want(&local, "a", 1, 60_000)).await;
        let (other, wanted) = (pool.clone(), want(&local, "a", 1, 60_000));
        let waiting = spawn_local(async move { other.seat(wanted).await.is_ok() });
        tokio::task::yield_now().await;
        // One job of 20 ms is before it; it has a minute, but its answer is due in less than that.
        let hurried = Want { patience: 10, ..want(&local, "a", 1, 60_000) };
        let refused = pool.seat(hurried).await.err();
        assert!(matches!(refused, Some(NoSeat::Full(20, _))), "{refused:?}");
        waiting.abort();
    });
}

#[test]
fn priority_goes_before_arrival() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.refresh(&view(4));
        let busy = pool.seat(want(&local, "a", 1, 60_000)).await;
        let order = Rc::new(std::cell::RefCell::new(Vec::new()));
        let mut waiting = Vec::new();
        for (name, priority) in [("late", 2), ("early", 1)] {
            let (pool, order) = (pool.clone(), order.clone());
            let wanted = want(&local, "a", priority, 60_000);
            waiting.push(spawn_local(async move {
                let seat = pool.seat(wanted).await;
                order.borrow_mut().push(name);
                drop(seat);
            }));
            tokio::task::yield_now().await;
        }
        drop(busy);
        for task in waiting {
            task.await.unwrap();
        }
        assert_eq!(*order.borrow(), ["early", "late"]);
    });
}
