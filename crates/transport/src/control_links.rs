//! Links of the control thread, by link number and by instance.

use std::collections::{BTreeMap, BTreeSet};

use auburnlug_protocol::peer;
use auburnlug_state::Name;

use crate::{byte_channel::Sender, control::Input, link::Link};

/// Open links.
#[derive(Debug)]
pub(crate) struct Links {
    input: Sender<Input>,
    open: BTreeMap<u64, (Name, Sender<peer::ControlMessage>)>,
    dialed: BTreeMap<Name, u64>,
    /// Newest link that each instance opened.
    accepted: BTreeMap<Name, u64>,
    dialing: BTreeSet<Name>,
    next: u64,
}

impl Links {
    pub(crate) fn new(input: Sender<Input>) -> Links {
        Links {
            input,
            open: BTreeMap::new(),
            dialed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            dialing: BTreeSet::new(),
            next: 1,
        }
    }

    /// Adds a link that another instance opened. An instance dials again only after its previous
    /// link has failed at its end, so the previous link is closed here too.
    pub(crate) fn accept(&mut self, link: Link<peer::ControlMessage>) {
        let peer = link.peer.clone();
        let number = self.open_link(link);
        if let Some(previous) = self.accepted.insert(peer, number) {
            self.open.remove(&previous);
        }
    }

    /// Records the result of dialing `member`.
    pub(crate) fn finish_dial(&mut self, member: Name, link: Option<Link<peer::ControlMessage>>) {
        self.dialing.remove(member.as_str());
        if let Some(link) = link {
            let number = self.open_link(link);
            self.dialed.insert(member, number);
        }
    }

    /// Whether `member` should be dialed now; marks it as being dialed.
    pub(crate) fn begin_dial(&mut self, member: &Name) -> bool {
        !self.dialed.contains_key(member.as_str()) && self.dialing.insert(member.clone())
    }

    /// Closes a link; its peer is dialed again if this end opened it.
    pub(crate) fn close_link(&mut self, link: u64) {
        self.open.remove(&link);
        self.dialed.retain(|_, number| *number != link);
        self.accepted.retain(|_, number| *number != link);
    }

    /// Instance at the other end of a link.
    pub(crate) fn peer(&self, link: u64) -> Option<&Name> {
        self.open.get(&link).map(|(peer, _)| peer)
    }

    /// Sends on a link; a link whose queue is full is closed.
    pub(crate) fn send(&mut self, link: u64, message: peer::ControlMessage) {
        if let Some((_, out)) = self.open.get(&link)
            && out.try_send(message).is_err()
        {
            self.close_link(link);
        }
    }

    /// Sends on the link that was dialed to `member`, if there is one.
    pub(crate) fn send_member(&mut self, member: &Name, message: peer::ControlMessage) {
        if let Some(link) = self.dialed.get(member.as_str()).copied() {
            self.send(link, message);
        }
    }

    /// Whether a dialed link to `member` is open.
    pub(crate) fn is_linked(&self, member: &Name) -> bool {
        self.dialed.contains_key(member.as_str())
    }

    /// Members with a dialed link.
    pub(crate) fn members(&self) -> Vec<Name> {
        self.dialed.keys().cloned().collect()
    }

    fn open_link(&mut self, link: Link<peer::ControlMessage>) -> u64 {
        let number = self.next;
        self.next += 1;
        self.open.insert(number, (link.peer, link.out));
        let (input, mut inbox) = (self.input.clone(), link.inbox);
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                if input.send(Input::Message { link: number, message }).await.is_err() {
                    return;
                }
            }
            let _ = input.send(Input::Closed { link: number }).await;
        });
        number
    }
}
