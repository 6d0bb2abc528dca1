//! Slots of the connection pool: order of the queue and early refusals.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use auburnlug_gateway::{
    connection::Fault,
    local_state::{InstanceIdentity, LocalState, View},
    metrics::GatewayMetrics,
    pool::{NoSlot, Pool, SlotRequest},
};
use auburnlug_protocol::{
    fleet::{ConnectionOwner, FleetGrant},
    job::{ErrorCode, SessionVariables},
};
use auburnlug_state::{
    Name,
    fleet::{Backend, FleetConfig, GroupConfig, Incarnation},
};
use auburnlug_transport::clock::{Clock, SystemClock};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::{Instant, timeout},
};

fn local() -> Rc<LocalState> {
    let identity = InstanceIdentity {
        name: Name::try_from("127.0.0.1").unwrap(),
        label: "test".into(),
        region: "r".into(),
        domain: "d".into(),
        incarnation: 1,
    };
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    Rc::new(LocalState::new(identity, clock, Arc::new(GatewayMetrics::default())))
}

/// View with one server of one slot, to which this entry owns `connections`.
fn view(connections: u32) -> View {
    let backend = Backend {
        id: "s".into(),
        group: "g".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".into(),
        slots: 1,
        draining: false,
        cold: false,
        run: Incarnation(1),
    };
    let owner = ConnectionOwner {
        entry: Name::try_from("127.0.0.1").unwrap(),
        domain: "d".into(),
        region: "r".into(),
        connections,
        cold_rate: None,
    };
    let owners = if connections > 0 { vec![owner] } else { Vec::new() };
    View {
        backends: BTreeMap::from([("s".into(), backend)]),
        connection_owners: BTreeMap::from([("s".into(), owners)]),
        ..View::default()
    }
}

fn slot_request(local: &LocalState, account: &str, priority: u32, left: u64) -> SlotRequest {
    SlotRequest {
        server: "s".into(),
        account: account.into(),
        values: SessionVariables::new(),
        priority,
        deadline: local.now() + left,
        max_wait: left,
        objective: local.now() + left,
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn waiting_jobs_fail_when_the_entry_loses_its_connections() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.apply_view(&view(4));
        let busy = pool.acquire(slot_request(&local, "a", 1, 60_000)).await;
        assert!(busy.is_ok());
        let (other, request) = (pool.clone(), slot_request(&local, "a", 1, 60_000));
        let waiting = spawn_local(async move { other.acquire(request).await.err() });
        tokio::task::yield_now().await;
        pool.apply_view(&view(0));
        let outcome = timeout(Duration::from_secs(10), waiting).await.unwrap().unwrap();
        assert_eq!(outcome, Some(NoSlot::Unreachable));
        // The connection in use is closed with its job.
        drop(busy);
        assert_eq!(
            pool.acquire(slot_request(&local, "a", 1, 60_000)).await.err(),
            Some(NoSlot::Unreachable)
        );
    });
}

#[test]
fn full_queue_refuses_jobs_that_would_miss_their_deadline() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.apply_view(&view(4));
        let _busy = pool.acquire(slot_request(&local, "a", 1, 60_000)).await;
        let queue: Vec<_> = (0..20)
            .map(|_| {
                let (pool, request) = (pool.clone(), slot_request(&local, "a", 1, 60_000));
                spawn_local(async move { pool.acquire(request).await.is_ok() })
            })
            .collect();
        tokio::task::yield_now().await;
        // Twenty jobs of 20 ms each are ahead in the queue.
        let refused = pool.acquire(slot_request(&local, "a", 1, 200)).await.err();
        assert!(matches!(refused, Some(NoSlot::QueueFull(400, _))), "{refused:?}");
        // One job of 20 ms is ahead of another account's, as the accounts take turns.
        let limited = SlotRequest { max_wait: 10, ..slot_request(&local, "b", 1, 60_000) };
        let refused = pool.acquire(limited).await.err();
        assert!(matches!(refused, Some(NoSlot::QueueFull(20, _))), "{refused:?}");
        for waiting in queue {
            waiting.abort();
        }
    });
}

#[test]
fn job_is_refused_if_the_expected_wait_exceeds_its_limit() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.apply_view(&view(4));
        let _busy = pool.acquire(slot_request(&local, "a", 1, 60_000)).await;
        let (other, request) = (pool.clone(), slot_request(&local, "a", 1, 60_000));
        let waiting = spawn_local(async move { other.acquire(request).await.is_ok() });
        tokio::task::yield_now().await;
        // One job of 20 ms is ahead in the queue, and the wait limit is 10 ms; the deadline is a
        // minute away.
        let limited = SlotRequest { max_wait: 10, ..slot_request(&local, "a", 1, 60_000) };
        let refused = pool.acquire(limited).await.err();
        assert!(matches!(refused, Some(NoSlot::QueueFull(20, _))), "{refused:?}");
        waiting.abort();
    });
}

/// Order in which jobs get the only slot, if all of them wait for it.
async fn serving_order(requests: [(&'static str, SlotRequest); 2]) -> Vec<&'static str> {
    let local = local();
    let pool = Pool::new(local.clone());
    pool.apply_view(&view(4));
    let busy = pool.acquire(slot_request(&local, "a", 1, 60_000)).await;
    let order = Rc::new(RefCell::new(Vec::new()));
    let mut waiting = Vec::new();
    for (name, request) in requests {
        let (pool, order) = (pool.clone(), order.clone());
        waiting.push(spawn_local(async move {
            let slot = pool.acquire(request).await;
            order.borrow_mut().push(name);
            drop(slot);
        }));
        tokio::task::yield_now().await;
    }
    drop(busy);
    for task in waiting {
        task.await.unwrap();
    }
    order.take()
}

/// Guards against a backlog that was asked during an outage and runs before operations that can
/// still meet their objective.
#[test]
fn job_that_can_meet_its_objective_is_served_before_a_late_one() {
    run(async {
        let punctual = slot_request(&local(), "a", 1, 60_000);
        let late = SlotRequest { objective: 0, ..punctual.clone() };
        assert_eq!(
            serving_order([("backlog", late), ("later", punctual)]).await,
            ["later", "backlog"]
        );
    });
}

#[test]
fn higher_priority_is_served_before_earlier_arrival() {
    run(async {
        let requests = [("late", 2), ("early", 1)]
            .map(|(name, priority)| (name, slot_request(&local(), "a", priority, 60_000)));
        assert_eq!(serving_order(requests).await, ["early", "late"]);
    });
}

/// Guards against a server that still counts connections of processes without power: it refuses
/// further ones, and jobs were refused or waited although open connections could serve them.
#[test]
fn a_server_over_its_connection_limit_keeps_working_on_open_connections() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        let mut view = view(4);
        view.backends.get_mut("s").unwrap().slots = 4;
        pool.apply_view(&view);
        let open = pool.acquire(slot_request(&local, "a", 1, 60_000)).await.unwrap();
        let refused = [
            pool.acquire(slot_request(&local, "b", 1, 60_000)).await.unwrap(),
            pool.acquire(slot_request(&local, "c", 1, 60_000)).await.unwrap(),
        ];
        for permit in refused {
            permit.record_failure(&Fault::Opening(ErrorCode::ConnectionLimit));
        }
        let (other, request) = (pool.clone(), slot_request(&local, "d", 1, 60_000));
        let waiting = spawn_local(async move { other.acquire(request).await });
        tokio::task::yield_now().await;
        drop(open);
        let slot = timeout(Duration::from_millis(20), waiting).await.unwrap().unwrap();
        assert!(slot.is_ok(), "{:?}", slot.err());
    });
}

/// Guards against a job that waits until its deadline at a server that failed once, as nothing
/// looked at the queue again when the pause after the failure had ended.
#[test]
fn a_waiting_job_runs_when_the_pause_after_a_failure_ends() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        pool.apply_view(&view(4));
        let failed = pool.acquire(slot_request(&local, "a", 1, 60_000)).await.unwrap();
        failed.record_failure(&Fault::Broken);
        drop(failed);
        let waiting = pool.acquire(slot_request(&local, "a", 1, 60_000));
        let slot = timeout(Duration::from_millis(500), waiting).await.unwrap();
        assert!(slot.is_ok(), "{:?}", slot.err());
    });
}

/// Guards against a cold server that gets statements without a share of its rate or a lease, or
/// faster than its share.
#[test]
fn cold_server_gets_statements_at_the_granted_rate() {
    run(async {
        let local = local();
        let pool = Pool::new(local.clone());
        let cold_view = |rate: Option<f64>| {
            let mut view = view(4);
            let backends = view.backends.values_mut();
            backends.for_each(|backend| (backend.cold, backend.slots) = (true, 4));
            let owners = view.connection_owners.values_mut().flatten();
            owners.for_each(|owner| owner.cold_rate = rate);
            let group =
                GroupConfig { max_connections: 4, synchronous_replicas: 1, cold_rate: Some(20.0) };
            let groups = BTreeMap::from([("g".into(), group)]);
            view.config = Arc::new(FleetConfig { groups, ..FleetConfig::default() });
            view
        };
        let ask = || pool.acquire(slot_request(&local, "a", 1, 60_000));
        pool.apply_view(&cold_view(Some(20.0)));
        assert_eq!(ask().await.err(), Some(NoSlot::Unreachable), "without a lease");
        let (sent, shares, positions) = (local.now(), Vec::new(), Vec::new());
        local.apply_grant(&FleetGrant { sent, duration: 60_000, index: 0, shares, positions });
        for closed in [None, Some(0.0)] {
            pool.apply_view(&cold_view(closed));
            assert_eq!(ask().await.err(), Some(NoSlot::Unreachable), "without a share");
        }
        pool.apply_view(&cold_view(Some(20.0)));
        let started = local.now();
        let mut permits = Vec::new();
        for _ in 0..4 {
            permits.push(ask().await.unwrap());
        }
        assert!(local.now() - started >= 150, "four statements at 20/s");
        // A transaction is paced as well.
        permits[0].release_slot();
        assert!(permits[0].wait_for_pace(Instant::now() + Duration::from_secs(10)).await);
        assert!(local.now() - started >= 200);
        assert!(!permits[0].wait_for_pace(Instant::now()).await);
        drop(permits);
        let mut unlimited = cold_view(None);
        unlimited.config = Arc::default();
        pool.apply_view(&unlimited);
        assert!(ask().await.is_ok(), "the limit was withdrawn while the server is cold");
    });
}
