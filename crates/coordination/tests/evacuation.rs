//! Evacuation of a failure domain: which servers may be used, and who leads instead.

use std::{collections::BTreeSet, sync::Arc};

use auburnlug_coordination::{
    Position,
    entry_leases::ENTRY_LEASE_MS,
    evacuation::{
        Evacuations, Server, TRANSACTION_GRACE_MS, VIEW_EXPIRY_MS, is_group_evacuated,
        is_view_recent,
    },
    external_failover::{
        Cause, Facts, Member, Status, Step, Watch, can_replace, next_step, replacement_cause,
    },
};
use proptest::prelude::*;

/// Time after the acknowledgement from which on nothing may reach an evacuated server.
const EVACUATION_BOUND_MS: u64 = 5_000;

fn domains(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn open_transactions_go_on_for_a_short_time_and_nothing_starts() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.may_send(Some("a"), false, 0) && evacuations.may_send(None, true, 0));
    evacuations.replace(&domains(&["a"]), true, 1_000);
    let end = 1_000 + TRANSACTION_GRACE_MS;
    // The same set again starts no new time.
    evacuations.replace(&domains(&["a", "b"]), true, 2_000);
    assert!(!evacuations.may_send(Some("a"), false, 1_000));
    assert!(evacuations.may_send(Some("a"), true, end - 1));
    assert!(!evacuations.may_send(Some("a"), true, end));
    assert!(evacuations.may_send(Some("c"), false, end));
    // A server that was deregistered may be in the evacuated domain.
    assert!(!evacuations.may_send(None, true, 1_000));
    evacuations.replace(&domains(&["b"]), true, 3_000);
    assert!(evacuations.may_send(Some("a"), false, 3_000));
}

proptest! {
    /// An entry is suspended or cut off, the leader acknowledges an evacuation once its lease has
    /// ended, and the entry resumes with queued statements and open transactions, before or after
    /// it gets the new view.
    #[test]
    fn an_entry_that_resumes_sends_nothing_beyond_the_bound(
        granted in 0..10_000_u64,
        delay in 0..3_000_u64,
        wakes in 0..30_000_u64,
        applies in 0..30_000_u64,
        open in any::<bool>(),
    ) {
        // The leader receives the request for the lease later than it was sent.
        let acknowledged = granted + delay + ENTRY_LEASE_MS;
        let now = acknowledged + wakes;
        let mut evacuations = Evacuations::default();
        let confirmed = if applies <= wakes {
            evacuations.replace(&domains(&["a"]), false, acknowledged + applies);
            acknowledged + applies
        } else {
            granted
        };
        let sends = is_view_recent(confirmed, now) && evacuations.may_send(Some("a"), open, now);
        prop_assert!(!sends || now < acknowledged + EVACUATION_BOUND_MS);
    }
}

#[test]
fn a_view_outlasts_the_lease() {
    // Reads at replicas go on while there is no control leader.
    assert!(is_view_recent(1_000, 1_000 + ENTRY_LEASE_MS));
    assert!(!is_view_recent(1_000, 1_000 + VIEW_EXPIRY_MS));
}

#[test]
fn a_group_is_refused_only_without_a_server_elsewhere() {
    let server = |domain, draining| Server { domain, draining };
    let evacuated = domains(&["a", "b"]);
    let check = |servers: &[Server<'_>]| is_group_evacuated(servers.iter().copied(), &evacuated);
    assert!(check(&[server("a", false), server("b", false)]));
    assert!(check(&[server("a", false), server("c", true)]));
    assert!(!check(&[server("a", false), server("c", false)]));
    // Without any server, others may register soon.
    assert!(!check(&[]));
    assert!(!check(&[server("c", true)]));
}

fn member(fenced: u64, received: u64, evacuated: bool) -> Member {
    let holds = Position { term: 3, offset: received };
    let status = Some(Status { leads: false, term: 3, received: holds });
    Member { reachable: true, settled: true, status, holds, fenced, evacuated, ..Member::default() }
}

/// Group whose primary `p` is in an evacuated domain.
fn facts(p: Member, r1: Member, r2: Member) -> Facts {
    Facts {
        term: 3,
        former: Some("p".into()),
        cause: Cause::Evacuated,
        members: [("p", p), ("r1", r1), ("r2", r2)].map(|(id, m)| (id.into(), m)).into(),
        synchronous: 1,
        departed: Some(Position::default()),
        released: true,
        demoted_for: 0,
        led_for: 60_000,
        ordered: None,
    }
}

#[test]
fn primary_in_an_evacuated_domain_is_replaced() {
    assert_eq!(replacement_cause(&Watch::default()), None);
    let watch = Watch { evacuated: true, ..Watch::default() };
    assert_eq!(replacement_cause(&watch), Some(Cause::Evacuated));
}

#[test]
fn replica_elsewhere_is_promoted_with_every_commit_of_the_former_primary() {
    let (p, r1) = (member(4, 12, true), member(0, 12, true));
    let caught_up = facts(p.clone(), r1.clone(), member(0, 12, false));
    assert_eq!(next_step(&caught_up), Step::Promote("r2".into()));
    // It catches up for a while; then the only server with all commits leads again.
    let mut behind = facts(p, r1, member(0, 11, false));
    assert!(matches!(next_step(&behind), Step::Wait(_)));
    behind.demoted_for = 1_000;
    assert_eq!(next_step(&behind), Step::Promote("r1".into()));
}

#[test]
fn primary_stays_while_no_server_elsewhere_has_its_commits() {
    let primary = || member(0, 12, true);
    let replaces = |r1, r2| can_replace(&facts(primary(), r1, r2));
    assert!(replaces(member(0, 12, true), member(0, 12, false)));
    assert!(!replaces(member(0, 12, true), member(0, 11, false)));
    assert!(!replaces(member(0, 12, true), member(0, 12, true)));
    assert!(!replaces(member(0, 12, true), Member::default()));
}

/// After a crash of the primary, a replica in an evacuated domain could serve nobody.
#[test]
fn replica_elsewhere_is_preferred_after_a_crash() {
    let crashed = Facts {
        cause: Cause::Unreachable,
        ..facts(Member::default(), member(4, 12, true), member(4, 12, false))
    };
    assert_eq!(next_step(&crashed), Step::Promote("r2".into()));
    let all = facts(Member::default(), member(4, 12, true), member(4, 11, true));
    let all = Facts { cause: Cause::Unreachable, ..all };
    assert_eq!(next_step(&all), Step::Promote("r1".into()));
}
