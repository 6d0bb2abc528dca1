//! Links of a control member: tasks that forward incoming messages to the control thread.

use std::{net::TcpListener, sync::Arc};

use auburnlug_protocol::fleet::FleetMessage;
use auburnlug_state::Name;
use auburnlug_transport::{
    byte_channel::Sender,
    client_room::ClientRoom,
    link::Link,
    socket::{self, Identity},
};
use tokio::sync::mpsc;

use crate::control_input::Input;

const MAX_PENDING_LINKS: usize = 1024;

/// Accepts links that other instances open.
///
/// # Errors
///
/// The listener cannot be used.
pub(crate) fn accept_links(
    listener: TcpListener,
    identity: Arc<Identity>,
    input: Sender<Input>,
    openings: ClientRoom,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (control, mut accepted) = mpsc::channel::<socket::Accepted>(MAX_PENDING_LINKS);
    let (traffic, _traffic) = mpsc::channel(1);
    tokio::spawn(socket::listen_within(listener, identity, control, traffic, openings));
    tokio::spawn(async move {
        // Keeps the channel of traffic links open; a control member accepts none.
        let _unused = _traffic;
        let mut number = 0;
        while let Some(link) = accepted.recv().await {
            number += 1;
            tokio::spawn(forward_accepted(number, link.link(), input.clone()));
        }
    });
    Ok(())
}

/// Forwards the messages of a link that another instance opened.
async fn forward_accepted(number: u64, link: Link<FleetMessage>, input: Sender<Input>) {
    let Link { peer, out, mut inbox } = link;
    let _ = input.send(Input::LinkAccepted(number, peer.clone(), out)).await;
    while let Some(message) = inbox.recv().await {
        let message = Input::Message(Some(number), peer.clone(), message);
        if input.send(message).await.is_err() {
            return;
        }
    }
    let _ = input.send(Input::LinkClosed(number)).await;
}

/// Forwards the messages of a link that this member opened.
pub(crate) async fn forward_dialed(name: Name, link: Link<FleetMessage>, input: Sender<Input>) {
    let Link { out, mut inbox, .. } = link;
    let _ = input.send(Input::MemberLinkOpened(name.clone(), out)).await;
    while let Some(message) = inbox.recv().await {
        if input.send(Input::Message(None, name.clone(), message)).await.is_err() {
            return;
        }
    }
    let _ = input.send(Input::MemberLinkClosed(name)).await;
}
