//! Links of the control thread: tasks that pass on what arrives.

use std::{net::TcpListener, sync::Arc};

use auburnlug_protocol::fleet::FleetMessage;
use auburnlug_state::Name;
use auburnlug_transport::{
    link::Link,
    socket::{self, Identity},
};
use tokio::sync::mpsc;

use crate::control::Input;

/// Links that may wait to be taken.
const QUEUE: usize = 1024;

/// Takes links that other instances open.
///
/// # Errors
///
/// The listener cannot be used.
pub(crate) fn accept(
    listener: TcpListener,
    identity: Arc<Identity>,
    input: mpsc::Sender<Input>,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (control, mut accepted) = mpsc::channel::<socket::Accepted>(QUEUE);
    let (traffic, _traffic) = mpsc::channel(1);
    tokio::spawn(socket::listen(listener, identity, control, traffic));
    tokio::spawn(async move {
        // Keeps the channel of traffic links open; a control member takes none.
        let _unused = _traffic;
        let mut number = 0;
        while let Some(link) = accepted.recv().await {
            number += 1;
            tokio::spawn(pump_accepted(number, link.link(), input.clone()));
        }
    });
    Ok(())
}

async fn pump_accepted(number: u64, link: Link<FleetMessage>, input: mpsc::Sender<Input>) {
    let Link { peer, out, mut inbox } = link;
    let _ = input.send(Input::Accepted(number, peer.clone(), out)).await;
    while let Some(message) = inbox.recv().await {
        let message = Input::Message(Some(number), peer.clone(), message);
        if input.send(message).await.is_err() {
            return;
        }
    }
    let _ = input.send(Input::Closed(number)).await;
}

/// Passes on what a member sends on a link that was opened to it.
pub(crate) async fn pump_dialed(name: Name, link: Link<FleetMessage>, input: mpsc::Sender<Input>) {
    let Link { out, mut inbox, .. } = link;
    let _ = input.send(Input::Dialed(name.clone(), out)).await;
    while let Some(message) = inbox.recv().await {
        if input.send(Input::Message(None, name.clone(), message)).await.is_err() {
            return;
        }
    }
    let _ = input.send(Input::Undialed(name)).await;
}
