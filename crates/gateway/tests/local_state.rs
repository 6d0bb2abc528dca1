//! State of an entry: updates of the view and admission by rate.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use auburnlug_coordination::changes::ChangeTracker;
use auburnlug_gateway::{
    local_state::{InstanceIdentity, LocalState},
    metrics::GatewayMetrics,
};
use auburnlug_protocol::{
    config_delta::EncodedConfigDelta,
    fleet::{FleetGrant, FleetUpdate, RateShare},
};
use auburnlug_state::{
    Millis, Name,
    fleet::{AccountConfig, Backend, FleetConfig, Incarnation},
};
use auburnlug_transport::clock::Clock;
use proptest::prelude::*;
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

fn local() -> LocalState {
    local_at(&Arc::new(SetClock(AtomicU64::new(1_000))))
}

fn local_at(clock: &Arc<SetClock>) -> LocalState {
    let identity = InstanceIdentity {
        name: Name::try_from("127.0.0.1").unwrap(),
        label: "entry".into(),
        region: "r".into(),
        domain: "d".into(),
        incarnation: 1,
    };
    LocalState::new(identity, clock.clone(), Arc::new(GatewayMetrics::default()))
}

fn plan(version: u64) -> FleetConfig {
    FleetConfig { version, ..FleetConfig::default() }
}

fn update(index: u64, base: u64, version: u64) -> FleetUpdate {
    let part = EncodedConfigDelta::between(&plan(base), &plan(version)).unwrap();
    FleetUpdate { index, term: 1, plan: Some(Arc::new(part)), ..FleetUpdate::default() }
}

#[test]
fn update_from_an_unknown_base_is_requested_again() {
    let local = local();
    assert!(local.apply_update(update(1, 0, 4)));
    // The update from version 4 to 6 was lost.
    assert!(!local.apply_update(update(3, 6, 7)));
    let renewal = local.build_renewal(false, false);
    assert_eq!((renewal.applied, renewal.version, renewal.mismatch), (1, 4, true));
    assert!(local.apply_update(update(3, 4, 7)));
    let renewal = local.build_renewal(false, false);
    assert_eq!((renewal.applied, renewal.version, renewal.mismatch), (3, 7, false));
}

#[test]
fn update_of_a_later_leader_never_restores_an_older_configuration() {
    let local = local();
    assert!(local.apply_update(update(5, 0, 9)));
    let mut older = update(1, 0, 8);
    older.term = 2;
    assert!(local.apply_update(older));
    assert_eq!(local.view().config.version, 9);
    // The new leader's update starts from the version that it sent, which the entry did not keep.
    let mut next = update(2, 8, 10);
    next.term = 2;
    assert!(!local.apply_update(next));
    assert!(local.build_renewal(false, false).mismatch);
}

/// An update without a configuration that followed a rejected one was applied, and the entry kept
/// the older configuration, with its withdrawn keys, and the older servers.
#[test]
fn update_after_a_rejected_one_is_not_applied() {
    let local = local();
    assert!(local.apply_update(update(1, 0, 4)));
    assert!(!local.apply_update(FleetUpdate { since: 1, ..update(2, 6, 7) }));
    let next = FleetUpdate { index: 3, since: 2, term: 1, ..FleetUpdate::default() };
    assert!(!local.apply_update(next));
    let renewal = local.build_renewal(false, false);
    assert_eq!((renewal.applied, renewal.version, renewal.mismatch), (1, 4, true));
    assert!(local.apply_update(update(3, 4, 7)));
    assert!(!local.build_renewal(false, false).mismatch);
}

fn backend(id: u8, run: u64) -> Backend {
    Backend {
        id: format!("s{id}").into(),
        group: "g".into(),
        address: ([10, 0, 0, id], 1).into(),
        domain: "d".into(),
        slots: 3,
        draining: false,
        cold: false,
        run: Incarnation(run),
    }
}

/// Servers and configuration version.
type FleetState = (BTreeMap<Arc<str>, Backend>, u64);

/// A control leader, as far as it sends updates to one entry.
struct Publisher {
    term: u64,
    index: u64,
    /// Last update sent on the link; 0 before the first.
    sent: u64,
    /// Whether the entry has renewed its lease on the link.
    linked: bool,
    /// Configuration version that the entry has after all updates sent.
    version: u64,
    backends: ChangeTracker<Backend>,
}

/// The agreed state, the leader and the link between it and the entry.
struct Fleet {
    version: u64,
    backends: BTreeMap<Arc<str>, Backend>,
    leader: Publisher,
    /// Updates of the leader, in order, and those of earlier leaders, which come over other links.
    in_flight: VecDeque<FleetUpdate>,
    held_up: VecDeque<FleetUpdate>,
    /// State after each update of each term.
    history: BTreeMap<(u64, u64), FleetState>,
}

impl Fleet {
    fn new() -> Fleet {
        let leader = Publisher {
            term: 0,
            index: 0,
            sent: 0,
            linked: false,
            version: 0,
            backends: ChangeTracker::new(),
        };
        let mut fleet = Fleet {
            version: 1,
            backends: BTreeMap::new(),
            leader,
            in_flight: VecDeque::new(),
            held_up: VecDeque::new(),
            history: BTreeMap::from([((0, 0), (BTreeMap::new(), 0))]),
        };
        fleet.elect_leader();
        fleet
    }

    fn elect_leader(&mut self) {
        let mut backends = ChangeTracker::new();
        backends.replace(self.backends.clone(), 1);
        let term = self.leader.term + 1;
        self.held_up.append(&mut self.in_flight);
        self.leader = Publisher { term, index: 1, sent: 0, linked: false, version: 0, backends };
        self.record();
    }

    fn record(&mut self) {
        let update = (self.leader.term, self.leader.index);
        self.history.insert(update, (self.backends.clone(), self.version));
    }

    fn change(&mut self, server: u8, deploys: bool) {
        if deploys {
            self.version += 1;
        } else if self.backends.remove(&*format!("s{server}")).is_none() {
            let added = backend(server, self.leader.index);
            self.backends.insert(added.id.clone(), added);
        }
        self.leader.index += 1;
        self.leader.backends.replace(self.backends.clone(), self.leader.index);
        self.record();
    }

    fn send(&mut self) {
        let leader = &mut self.leader;
        if !leader.linked || leader.sent >= leader.index {
            return;
        }
        let deploys = leader.version != self.version;
        let plan = deploys.then(|| {
            Arc::new(
                EncodedConfigDelta::between(&plan(leader.version), &plan(self.version)).unwrap(),
            )
        });
        self.in_flight.push_back(FleetUpdate {
            index: leader.index,
            since: leader.sent,
            term: leader.term,
            plan,
            backends: leader.backends.since(leader.sent),
            ..FleetUpdate::default()
        });
        (leader.sent, leader.version) = (leader.index, self.version);
    }

    /// Handles a renewal of the entry, as the control leader does.
    fn renew(&mut self, local: &LocalState) {
        let renewal = local.build_renewal(false, false);
        if renewal.mismatch || self.leader.sent == 0 {
            (self.leader.sent, self.leader.version) = (0, renewal.version);
        }
        self.leader.linked = true;
        self.send();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// Whatever is lost, held up or sent by a new leader, an entry has a view that some update had,
    /// and the current one once it was renewed without losses.
    #[test]
    fn a_view_is_one_that_an_update_had(steps in prop::collection::vec((0_u8..8, 0_u8..4), 1..120)) {
        let mut fleet = Fleet::new();
        let mut local = local();
        for (step, server) in steps {
            match step {
                0 | 1 => fleet.change(server, step == 0),
                2 => fleet.send(),
                3 => fleet.renew(&local),
                4 => fleet.elect_leader(),
                // A link is lost with what is in flight; the leader notices it.
                5 => {
                    fleet.in_flight.clear();
                    (fleet.leader.sent, fleet.leader.linked) = (0, false);
                }
                6 => if let Some(update) = fleet.in_flight.pop_front() {
                    local.apply_update(update);
                },
                // The entry starts again.
                _ if server == 0 => {
                    local = self::local();
                    fleet.in_flight.clear();
                    fleet.held_up.clear();
                    (fleet.leader.sent, fleet.leader.linked) = (0, false);
                }
                _ => if let Some(update) = fleet.held_up.pop_front() {
                    local.apply_update(update);
                },
            }
            let view = local.view();
            let (backends, version) = &fleet.history[&(view.term, view.index)];
            prop_assert_eq!(&view.backends, backends);
            prop_assert!(view.config.version >= *version);
        }
        for _ in 0..3 {
            fleet.renew(&local);
            while let Some(update) = fleet.in_flight.pop_front() {
                local.apply_update(update);
            }
        }
        prop_assert_eq!(&local.view().backends, &fleet.backends);
        prop_assert_eq!(local.view().config.version, fleet.version);
    }
}

fn grant(sent: Millis, tokens: f64) -> FleetGrant {
    let share =
        RateShare { account: "a".into(), rate: 0.0, prefetch: 0.0, tokens, total_share: 0.0 };
    FleetGrant { sent, duration: 3_000, index: 1, shares: vec![share], positions: Vec::new() }
}

/// Whether an operation that arrives at 1,000 ms without a token is admitted, if the leader answers
/// the renewal sent at `sent` with `tokens` at `answered`.
fn admitted(sent: Millis, tokens: f64, answered: Millis) -> bool {
    let clock = Arc::new(SetClock(AtomicU64::new(900)));
    let local = Rc::new(local_at(&clock));
    let account = AccountConfig {
        keys: Default::default(),
        rate: Some(10.0),
        burst: 10.0,
        priority: 1,
        homes: Default::default(),
    };
    let plan = FleetConfig {
        version: 2,
        accounts: [("a".into(), account)].into(),
        ..FleetConfig::default()
    };
    let part = EncodedConfigDelta::between(&FleetConfig::default(), &plan).unwrap();
    local.apply_update(FleetUpdate {
        index: 1,
        term: 1,
        plan: Some(Arc::new(part)),
        ..FleetUpdate::default()
    });
    local.apply_grant(&grant(900, 0.0));
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        clock.0.store(1_000, Ordering::Relaxed);
        let other = local.clone();
        let waiting = spawn_local(async move { other.admit("a").await });
        yield_now().await;
        clock.0.store(answered, Ordering::Relaxed);
        local.apply_grant(&grant(sent, tokens));
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
