//! Status polls and failover orders to a database server, on a dedicated connection.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use auburnlug_state::Term;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    event::{Event, log},
    forwarder::lock,
    group::Group,
    member::Member,
    server::{Connection, query},
    status::{STATUS, Status},
};

/// Time without an answer after which a server counts as unreachable.
const MONITOR_TIMEOUT: Duration = Duration::from_millis(500);

/// An order to a database server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Order {
    /// Report the status.
    Poll,
    /// Refuse replication and writes of lower terms.
    Fence(Term),
    /// Become the primary of the term.
    Promote(Term),
    /// Follow the primary at this address.
    Follow(Term, SocketAddr, auburnlug_state::Name),
}

/// Executes orders until the group closes or the server is removed.
pub(crate) async fn run_monitor(
    group: Arc<Group>,
    member: Arc<Member>,
    orders: mpsc::Receiver<Order>,
) {
    let mut removed = member.removed.subscribe();
    let mut closed = group.closed.subscribe();
    tokio::select! {
        () = execute_orders(&group, &member, orders) => {}
        _ = removed.wait_for(|removed| *removed) => {}
        _ = closed.wait_for(|closed| *closed) => {}
    }
    member.pool.clear();
}

async fn execute_orders(
    group: &Arc<Group>,
    member: &Arc<Member>,
    mut orders: mpsc::Receiver<Order>,
) {
    let mut connection = None;
    // A lost server is logged once, not at each failed attempt to reach it.
    let mut logged = false;
    while let Some(order) = orders.recv().await {
        let result =
            timeout(MONITOR_TIMEOUT, execute_order(group, member, &mut connection, order)).await;
        let result = result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        member.unresponsive.send_if_modified(|silent| {
            std::mem::replace(silent, result.is_err()) != result.is_err()
        });
        let Err(error) = result else {
            logged = false;
            warm_pool(member);
            continue;
        };
        connection = None;
        if !logged {
            log(Event::ServerConnectFailed, format_args!("{}: {error}", member.name));
        }
        logged = true;
        member.pool.clear();
        // Orders queued before the failure are outdated; the failover repeats those still needed.
        while orders.try_recv().is_ok() {}
        group.record_failure(member, error.kind() == io::ErrorKind::ConnectionRefused);
    }
}

/// Keeps an idle connection for each free slot, so that requests do not wait for one to open.
fn warm_pool(member: &Arc<Member>) {
    let free = member.slots().saturating_sub(lock(&member.observed).running) as usize;
    if member.pool.idle() < free {
        // Opening takes tens of milliseconds, which must not delay the next poll.
        let member = member.clone();
        tokio::spawn(async move { member.pool.warm(free).await });
    }
}

async fn execute_order(
    group: &Arc<Group>,
    member: &Arc<Member>,
    cached: &mut Option<Box<dyn Connection>>,
    order: Order,
) -> io::Result<()> {
    let connection = match cached {
        Some(connection) => connection,
        None => {
            let database = group.config.database.as_str();
            cached.insert(group.servers.connect(member.pool.address, database).await?)
        }
    };
    if let Some(sql) = order_sql(&order) {
        let reply = connection.run(query(&sql)).await?;
        if let (Order::Follow(term, _, primary), None) = (&order, &reply.error) {
            group.record_following(member, primary, *term);
        }
    }
    // The status after an order shows its effect without waiting for the next poll.
    let sent = group.control.now();
    let reply = connection.run(query(STATUS)).await?;
    let status = Status::parse(&reply).ok_or(io::ErrorKind::InvalidData)?;
    group.record_status(member, status, sent);
    Ok(())
}

fn order_sql(order: &Order) -> Option<String> {
    match order {
        Order::Poll => None,
        Order::Fence(term) => Some(format!("SELECT auburnlug.fence({term})")),
        Order::Promote(term) => Some(format!("SELECT auburnlug.promote({term})")),
        Order::Follow(term, address, _) => {
            Some(format!("SELECT auburnlug.follow({term}, '{address}')"))
        }
    }
}
