//! Polls the status of a database server on a connection of its own.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    forward::lock,
    group::{Group, Member},
    server::{Connection, query},
    status::{STATUS, Status},
};

/// Time between polls while no write waits.
const POLL: Duration = Duration::from_millis(50);

/// Time without an answer after which a server counts as unreachable.
const SILENCE: Duration = Duration::from_millis(500);

/// Connections kept ready, so that a request does not wait for one to open.
const WARM: usize = 1;

/// Polls `member` until the group closes or the server is removed.
pub(crate) async fn watch(group: Arc<Group>, member: Arc<Member>) {
    let mut lost = member.lost.subscribe();
    let mut closed = group.closed.subscribe();
    tokio::select! {
        () = poll(&group, &member) => {}
        _ = lost.wait_for(|lost| *lost) => {}
        _ = closed.wait_for(|closed| *closed) => {}
    }
    member.pool.clear();
}

async fn poll(group: &Arc<Group>, member: &Arc<Member>) {
    loop {
        let opening = group.servers.connect(member.record.address, group.config.database.as_str());
        if let Ok(Ok(mut connection)) = timeout(SILENCE, opening).await {
            while ask(group, member, connection.as_mut()).await {
                pause(group).await;
            }
        }
        lock(&member.seen).status = None;
        group.changes.send_modify(|count| *count += 1);
        sleep(POLL).await;
    }
}

/// Asks for the status once; false if the connection has to be closed.
async fn ask(group: &Arc<Group>, member: &Member, connection: &mut dyn Connection) -> bool {
    let sent = group.control.now();
    let Ok(Ok(reply)) = timeout(SILENCE, connection.run(query(STATUS))).await else { return false };
    let Some(status) = Status::parse(&reply) else { return false };
    {
        let mut seen = lock(&member.seen);
        seen.terms.note(&status);
        seen.status = Some(status);
        seen.at = sent;
    }
    group.changes.send_modify(|count| *count += 1);
    group.pump();
    member.pool.warm(WARM).await;
    true
}

async fn pause(group: &Group) {
    let hurry = group.hurry.notified();
    if group.waits() {
        return;
    }
    // Either the pause is over or a write waits.
    let _ = timeout(POLL, hurry).await;
}
