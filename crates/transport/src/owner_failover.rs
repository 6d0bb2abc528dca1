//! Executes the failover steps of one database group.

use std::{sync::Arc, time::Duration};

use auburnlug_coordination::failover::FailoverStep;
use auburnlug_state::{Applied, Command, Name, Shard};
use tokio::time::timeout;

use crate::{
    event::{Event, log},
    forwarder::{lease_expired, lock},
    group::Group,
    monitor::Order,
};

/// Longest time between two checks for failover steps that are due.
const FAILOVER_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the failover of `group` until the group closes on this instance or its lease expires.
pub(crate) async fn run_failover(group: Arc<Group>) {
    let mut closed = group.closed.subscribe();
    tokio::select! {
        () = run_steps(&group) => {}
        _ = closed.wait_for(|closed| *closed) => {}
        () = lease_expired(group.control.as_ref()) => group.close(),
    }
}

async fn run_steps(group: &Arc<Group>) {
    loop {
        let now = group.control.now();
        let steps = lock(&group.core).failover.tick(now);
        for step in steps {
            apply_step(group, step);
        }
        // The next check follows an input or the end of the interval, whichever is first.
        let _ = timeout(FAILOVER_TICK_INTERVAL, group.wake.notified()).await;
    }
}

fn apply_step(group: &Arc<Group>, step: FailoverStep) {
    match step {
        FailoverStep::Poll(name) => send_order(group, &name, Order::Poll),
        FailoverStep::Fence(name, term) => send_order(group, &name, Order::Fence(term)),
        FailoverStep::Promote(name, term) => send_order(group, &name, Order::Promote(term)),
        FailoverStep::Follow { server, primary, term } => {
            let address = lock(&group.core).members.get(&primary).map(|member| member.pool.address);
            if let Some(address) = address {
                send_order(group, &server, Order::Follow(term, address, primary));
            }
        }
        FailoverStep::Term(term) => {
            let (_, primary) = group.primary.borrow().clone();
            log(Event::PrimarySuspected, format_args!("{}: {primary:?}", group.name));
            let command = Command::Term { group: group.name.clone(), term, epoch: group.epoch };
            let proposal = group.control.propose(command);
            let group = group.clone();
            tokio::spawn(async move {
                if proposal.await == Some(Applied::Done) {
                    log(Event::TermRecorded, format_args!("{} term {term}", group.name));
                    let now = group.control.now();
                    let mut core = lock(&group.core);
                    core.failover.record_agreed(term, now);
                    group.publish_changes(core);
                }
            });
        }
        FailoverStep::Primary(server, term) => {
            let (name, epoch) = (group.name.clone(), group.epoch);
            log(Event::PrimaryPromoted, format_args!("{name}: {server} in term {term}"));
            // The answer is not needed: the view shows the effect.
            tokio::spawn(group.control.propose(Command::Primary {
                group: name,
                term,
                server,
                epoch,
            }));
        }
        FailoverStep::Filled(server, term) => {
            let (name, epoch) = (group.name.clone(), group.epoch);
            // The answer is not needed: the view shows the effect.
            tokio::spawn(group.control.propose(Command::Filled {
                group: name,
                term,
                server,
                epoch,
            }));
        }
        FailoverStep::Resign => {
            log(Event::GroupResigned, format_args!("{}", group.name));
            let shard = Shard::Group(group.name.clone());
            let command = Command::Assign { shard, instance: None, epoch: group.epoch };
            tokio::spawn(group.control.propose(command));
        }
    }
}

/// Sends an order to the server's monitor. A full queue drops it; the failover repeats the step.
fn send_order(group: &Group, server: &Name, order: Order) {
    let core = lock(&group.core);
    if let Some(member) = core.members.get(server) {
        let _ = member.orders.try_send(order);
    }
}
