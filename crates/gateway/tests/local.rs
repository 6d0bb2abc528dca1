//! State of an entry: updates of the view and admission by rate.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use auburnlug_gateway::{
    local::{Local, Me},
    metrics::GatewayMetrics,
};
use auburnlug_protocol::{
    fleet::{FleetGrant, Share, Update},
    plan_part::PlanPart,
};
use auburnlug_state::{
    Millis, Name,
    fleet::{AccountPlan, Plan},
};
use auburnlug_transport::clock::Clock;
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local, yield_now},
};

#[derive(Debug)]
struct SetClock(AtomicU64);

impl Clock for SetClock {
    fn now(&self) -> Millis {
        self.0.load(Ordering::Relaxed)
    }
}

fn local() -> Local {
    local_at(&Arc::new(SetClock(AtomicU64::new(1_000))))
}

fn local_at(clock: &Arc<SetClock>) -> Local {
    let me = Me {
        name: Name::try_from("127.0.0.1").unwrap(),
        label: "entry".into(),
        region: "r".into(),
        domain: "d".into(),
        run: 1,
    };
    Local::new(me, clock.clone(), Arc::new(GatewayMetrics::default()))
}

fn plan(version: u64) -> Plan {
    Plan { version, ..Plan::default() }
}

fn update(index: u64, base: u64, version: u64) -> Update {
    let part = PlanPart::between(&plan(base), &plan(version)).unwrap();
    Update { index, term: 1, plan: Some(Arc::new(part)), ..Update::default() }
}

#[test]
fn update_from_an_unknown_base_is_requested_again() {
    let local = local();
    assert!(local.update(update(1, 0, 4)));
    // The update from version 4 to 6 was lost.
    assert!(!local.update(update(3, 6, 7)));
    let renewal = local.build_renewal(false, false);
    assert_eq!((renewal.applied, renewal.version, renewal.unfit), (1, 4, true));
    assert!(local.update(update(3, 4, 7)));
    let renewal = local.build_renewal(false, false);
    assert_eq!((renewal.applied, renewal.version, renewal.unfit), (3, 7, false));
}

#[test]
fn update_of_a_later_leader_never_restores_an_older_configuration() {
    let local = local();
    assert!(local.update(update(5, 0, 9)));
    let mut older = update(1, 0, 8);
    older.term = 2;
    assert!(local.update(older));
    assert_eq!(local.view().config.version, 9);
    // The new leader's update starts from the version that it sent, which the entry did not keep.
    let mut next = update(2, 8, 10);
    next.term = 2;
    assert!(!local.update(next));
    assert!(local.build_renewal(false, false).unfit);
}

fn grant(sent: Millis, tokens: f64) -> FleetGrant {
    let share = Share { account: "a".into(), rate: 0.0, room: 0.0, tokens, spread: 0.0 };
    FleetGrant { sent, span: 3_000, index: 1, shares: vec![share], positions: Vec::new() }
}

/// Whether an operation that arrives at 1,000 ms without a token is admitted, if the leader answers
/// the renewal sent at `sent` with `tokens` at `answered`.
fn admitted(sent: Millis, tokens: f64, answered: Millis) -> bool {
    let clock = Arc::new(SetClock(AtomicU64::new(900)));
    let local = Rc::new(local_at(&clock));
    let account =
        AccountPlan { keys: Default::default(), rate: Some(10.0), burst: 10.0, priority: 1 };
    let plan = Plan { version: 2, accounts: [("a".into(), account)].into(), ..Plan::default() };
    let part = PlanPart::between(&Plan::default(), &plan).unwrap();
    local.update(Update { index: 1, term: 1, plan: Some(Arc::new(part)), ..Update::default() });
    local.grant(&grant(900, 0.0));
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        clock.0.store(1_000, Ordering::Relaxed);
        let other = local.clone();
        let waiting = spawn_local(async move { other.admit("a").await });
        yield_now().await;
        clock.0.store(answered, Ordering::Relaxed);
        local.grant(&grant(sent, tokens));
        waiting.await.unwrap()
    })
}

#[test]
fn operation_waits_for_an_election_but_not_for_an_exhausted_rate() {
    // A leader elected in the meantime answers a renewal sent at 1,790 ms.
    assert!(admitted(1_790, 1.0, 1_800));
    // The leader answers at once that no tokens are left.
    assert!(!admitted(1_010, 0.0, 1_160));
    // No leader answers in time.
    assert!(!admitted(900, 0.0, 1_950));
}
