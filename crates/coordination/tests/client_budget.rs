//! Clients that keep to no limit neither take the whole room nor all connections from the others.

use std::{collections::BTreeSet, net::IpAddr, sync::Arc};

use auburnlug_coordination::client_budget::{
    Admission, BudgetLimits, ClientBudget, ClientId, FREE_BYTES, Grant, Standing,
};
use proptest::prelude::*;

const ROOM_BYTES: usize = 16 << 20;

const LARGE_BYTES: usize = 4 << 20;

fn budget(connections: usize) -> ClientBudget {
    ClientBudget::new(BudgetLimits { connections, bytes: ROOM_BYTES })
}

fn peer(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn admit(budget: &mut ClientBudget, from: u8, account: &str) -> ClientId {
    let Admission::Admitted(id) = budget.connect(peer(from), 0) else {
        unreachable!("a connection is refused")
    };
    budget.open(id, &Arc::from(account));
    id
}

/// Many messages of legal size at once: one account does not take the room of the others.
#[test]
fn an_account_leaves_half_of_the_room_to_others() {
    let mut budget = budget(100);
    let granted = (0..20).filter(|n| {
        let id = admit(&mut budget, *n, "greedy");
        budget.hold(id, LARGE_BYTES) == Grant::Granted
    });
    assert_eq!(granted.count(), 2);
    let other = admit(&mut budget, 30, "other");
    assert_eq!(budget.hold(other, LARGE_BYTES), Grant::Granted);
}

/// Messages that stop half-way: the largest is closed, and small requests never wait.
#[test]
fn the_largest_client_is_closed_first() {
    let mut budget = budget(100);
    let small = admit(&mut budget, 1, "a");
    let large = admit(&mut budget, 2, "b");
    assert_eq!(budget.hold(small, LARGE_BYTES), Grant::Granted);
    assert_eq!(budget.hold(large, LARGE_BYTES + 1), Grant::Granted);
    let ordinary = admit(&mut budget, 3, "b");
    assert_eq!(budget.hold(ordinary, FREE_BYTES), Grant::Granted);
    assert_eq!(budget.hold(ordinary, ROOM_BYTES), Grant::Wait);
    assert_eq!(budget.evict(ordinary, ROOM_BYTES), Some(large));
    assert_eq!(budget.hold(large, 1), Grant::Closed);
}

/// A client with an open transaction is closed last, and one whose request runs is not closed.
#[test]
fn transactions_are_closed_last() {
    let mut budget = budget(100);
    let running = admit(&mut budget, 1, "a");
    let transaction = admit(&mut budget, 2, "b");
    let open = admit(&mut budget, 3, "c");
    for (id, bytes) in [(running, 4 << 20), (transaction, 2 << 20), (open, 1 << 20)] {
        assert_eq!(budget.hold(id, bytes), Grant::Granted);
    }
    budget.set_standing(running, Standing::Running, 0);
    budget.set_standing(transaction, Standing::Transaction, 0);
    assert_eq!(budget.evict(open, ROOM_BYTES), Some(open));
    assert_eq!(budget.evict(transaction, ROOM_BYTES), Some(transaction));
    assert_eq!(budget.evict(running, ROOM_BYTES), None);
}

/// An account that has used up its share closes none of the others, nor does one that has room.
#[test]
fn an_account_makes_room_among_its_own_clients() {
    let mut budget = budget(100);
    let other = admit(&mut budget, 1, "other");
    assert_eq!(budget.hold(other, LARGE_BYTES), Grant::Granted);
    let first = admit(&mut budget, 2, "a");
    let second = admit(&mut budget, 3, "a");
    assert_eq!(budget.hold(first, 2 << 20), Grant::Granted);
    assert_eq!(budget.hold(second, ROOM_BYTES), Grant::Wait);
    assert_eq!(budget.evict(second, ROOM_BYTES), Some(first));
    assert_eq!(budget.evict(second, FREE_BYTES), None);
    assert_ne!(budget.hold(other, LARGE_BYTES), Grant::Closed);
}

/// Connections without an opening arrive faster than they may be replaced: no session is closed.
#[test]
fn sessions_do_not_make_way_for_unopened_connections() {
    let mut budget = budget(3);
    let session = admit(&mut budget, 1, "a");
    for now in [1_000, 1_100, 1_200, 1_300] {
        budget.connect(peer(2), now);
    }
    assert_eq!(budget.hold(session, 1), Grant::Granted);
    assert_eq!(budget.connect(peer(2), 1_310), Admission::Refused);
}

/// Callers that connect and stop: a new one takes the place of the oldest that sent no opening.
#[test]
fn unopened_connections_make_way_for_new_ones() {
    let mut budget = budget(3);
    let session = admit(&mut budget, 1, "a");
    let Admission::Admitted(first) = budget.connect(peer(2), 10) else { unreachable!() };
    let Admission::Admitted(_) = budget.connect(peer(2), 20) else { unreachable!() };
    assert_eq!(budget.connect(peer(3), 30), Admission::Refused);
    let admission = budget.connect(peer(3), 1_000);
    assert!(matches!(admission, Admission::Replaced { closed, .. } if closed == first));
    budget.set_standing(session, Standing::Running, 1_000);
    assert!(matches!(budget.connect(peer(3), 1_010), Admission::Replaced { .. }));
    assert_eq!(budget.connect(peer(3), 1_020), Admission::Refused);
}

proptest! {
    /// Whatever clients ask for, the sum of what was granted stays within the room, and it is zero
    /// once they have left.
    #[test]
    fn the_room_is_never_exceeded(
        steps in prop::collection::vec((0_u8..12, 0_usize..(6 << 20), 0_u8..8), 1..200)
    ) {
        let mut budget = budget(12);
        let mut clients: Vec<ClientId> =
            (0..12).map(|n| admit(&mut budget, n % 5, ["a", "b", ""][usize::from(n) % 3])).collect();
        let all: BTreeSet<ClientId> = clients.iter().copied().collect();
        for (client, bytes, step) in steps {
            let id = clients[usize::from(client)];
            match step {
                0 => budget.remove(id),
                1 => drop(budget.evict(id, bytes)),
                2 => budget.set_standing(id, Standing::Running, 0),
                3 => budget.open(id, &Arc::from("c")),
                _ => drop(budget.hold(id, bytes)),
            }
            prop_assert!(budget.held() <= ROOM_BYTES);
        }
        clients.clear();
        all.into_iter().for_each(|id| budget.remove(id));
        prop_assert_eq!(budget.held(), 0);
    }
}
