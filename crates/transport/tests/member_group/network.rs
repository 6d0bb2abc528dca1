//! Links of the simulated group, and their faults.

use super::*;

/// Delay before an instance is dialed again.
const REDIAL_DELAY_MS: Millis = 200;

impl Group {
    /// Cuts the links of an instance to all others.
    pub fn isolate(&mut self, instance: &Name) {
        self.instance(instance).isolated = Some(self.now);
        self.note_lost();
    }

    /// Ends the cuts of an instance.
    pub fn heal(&mut self, instance: &Name) {
        let Some(since) = self.instance(instance).isolated.take() else { return };
        if self.now >= since + LINK_TIMEOUT_MS {
            self.close_links(instance);
        }
        self.release_held();
        self.note_lost();
    }

    /// Cuts the links between two instances, or ends that cut.
    pub fn set_pair_cut(&mut self, one: &Name, other: &Name, cut: bool) {
        let pair = (one.min(other).clone(), one.max(other).clone());
        if cut {
            self.cut_pairs.insert(pair);
        } else {
            self.cut_pairs.remove(&pair);
            self.release_held();
        }
    }

    /// Cuts the direction from one instance to another, or ends that cut.
    pub fn set_way_cut(&mut self, from: &Name, to: &Name, cut: bool) {
        let way = (from.clone(), to.clone());
        if cut {
            self.cut_ways.insert(way, self.now);
        } else if let Some(since) = self.cut_ways.remove(&way) {
            if self.now >= since + LINK_TIMEOUT_MS {
                self.close_links_between(from, to);
            }
            self.release_held();
        }
    }

    /// Drops the messages on their way to an instance.
    pub fn drop_messages(&mut self, to: &Name) {
        self.queue.retain(|_, envelope| envelope.to != *to);
        self.held.retain(|(_, envelope)| envelope.to != *to);
    }

    /// Delivers some recorded messages of the search by processes of an instance once more, in a
    /// random order. Those to processes that have ended go to the present ones if `redirect` is set.
    pub fn repeat_searches(&mut self, from: &Name, count: usize, redirect: bool) {
        let recorded = self.searches.iter().flatten().filter(|envelope| envelope.from == *from);
        let mut envelopes: Vec<Envelope> = recorded.cloned().collect();
        rand::seq::SliceRandom::shuffle(&mut envelopes[..], &mut self.rng);
        for mut envelope in envelopes.into_iter().take(count) {
            let receiver = self.instances.get(envelope.to.as_str());
            if let Some(process) = receiver.and_then(|state| state.process.as_ref())
                && redirect
            {
                envelope.to_run = process.run;
            }
            let due = self.now + self.rng.random_range(1..=self.settings.delay);
            self.enqueue(due, envelope);
        }
    }

    /// Partitions the instances; an empty side ends the partition.
    pub fn split(&mut self, side: &BTreeSet<Name>) {
        for (instance, state) in &mut self.instances {
            state.side = side.contains(instance.as_str());
        }
        self.release_held();
    }

    fn release_held(&mut self) {
        for (sent, envelope) in std::mem::take(&mut self.held) {
            if self.is_cut(&envelope.from, &envelope.to) {
                self.held.push((sent, envelope));
            } else if self.now < sent + LINK_TIMEOUT_MS {
                self.enqueue(self.now, envelope);
            }
        }
    }

    pub(super) fn close_links(&mut self, instance: &Name) {
        for (owner, state) in &mut self.instances {
            let Some(process) = &mut state.process else { continue };
            process.links.retain(|name, _| owner != instance && name != instance);
        }
    }

    fn close_links_between(&mut self, one: &Name, other: &Name) {
        for (owner, peer) in [(one, other), (other, one)] {
            if let Some(process) = &mut self.instance(owner).process {
                process.links.remove(peer.as_str());
            }
        }
    }

    /// Whether messages from one instance to another are held up.
    fn is_cut(&self, one: &Name, other: &Name) -> bool {
        if self.cut_ways.contains_key(&(one.clone(), other.clone())) {
            return true;
        }
        if self.cut_pairs.contains(&(one.min(other).clone(), one.max(other).clone())) {
            return true;
        }
        let state = |name: &Name| self.instances.get(name.as_str());
        match (state(one), state(other)) {
            (Some(one), Some(other)) => {
                one.isolated.is_some() || other.isolated.is_some() || one.side != other.side
            }
            _ => true,
        }
    }

    fn enqueue(&mut self, due: Millis, envelope: Envelope) {
        self.counter += 1;
        self.queue.insert((due, self.counter), envelope);
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let envelope = entry.remove();
            let capacity = self.settings.queue;
            let Some(state) = self.instances.get_mut(envelope.to.as_str()) else { continue };
            if let Some(process) = &mut state.process
                && process.run == envelope.to_run
                && process.inbox.len() < capacity
            {
                process.inbox.push_back(envelope);
            }
        }
    }

    /// Ends attempts to dial that are due.
    pub(super) fn open_links(&mut self, instance: &Name) {
        let now = self.now;
        let reachable: BTreeMap<Name, u64> = self
            .instances
            .iter()
            .filter(|(_, state)| state.suspended.is_none())
            .filter(|(other, _)| !self.is_cut(instance, other) && !self.is_cut(other, instance))
            .filter_map(|(other, state)| Some((other.clone(), state.process.as_ref()?.run)))
            .collect();
        let Some(process) = &mut self.instance(instance).process else { return };
        for (other, link) in &mut process.links {
            if link.run.is_none() && link.ready <= now {
                link.run = reachable.get(other.as_str()).copied();
                link.ready = now + REDIAL_DELAY_MS;
            }
        }
    }

    /// Sends messages on the links of an instance; those without an open link are dropped.
    pub(super) fn send(&mut self, from: &Name, messages: Vec<(Name, ControlMessage)>) {
        for (to, message) in messages {
            let current = self.instances.get(to.as_str());
            let to_run =
                current.and_then(|state| state.process.as_ref()).map(|process| process.run);
            let arrival = self.now + self.delay(from, &to);
            let Some(process) = &mut self.instance(from).process else { return };
            let from_run = process.run;
            let Some(link) = process.links.get_mut(to.as_str()) else { continue };
            match (link.run, to_run) {
                (None, _) => {}
                (Some(run), Some(to_run)) if run == to_run => {
                    link.arrival = link.arrival.max(arrival);
                    let (due, from) = (link.arrival, from.clone());
                    self.transmit(due, Envelope { from, from_run, to, to_run, message });
                }
                (Some(_), _) => drop(process.links.remove(to.as_str())),
            }
        }
    }

    fn delay(&mut self, from: &Name, to: &Name) -> Millis {
        let usual = self.rng.random_range(1..=self.settings.delay);
        self.slow_links.get(&(from.clone(), to.clone())).copied().unwrap_or(usual)
    }

    pub(super) fn transmit(&mut self, due: Millis, envelope: Envelope) {
        if let Some(searches) = &mut self.searches
            && !matches!(envelope.message, ControlMessage::Raft { .. })
        {
            searches.push(envelope.clone());
        }
        let receiver = self.instances.get(envelope.to.as_str());
        let suspended = receiver.and_then(|state| state.suspended);
        if suspended.is_some_and(|(since, _)| self.now >= since + LINK_TIMEOUT_MS) {
            return;
        }
        if self.is_cut(&envelope.from, &envelope.to) {
            if self.settings.holds {
                self.held.push((self.now, envelope));
            }
            return;
        }
        self.enqueue(due, envelope);
    }
}
