//! Updates of the control leader to the entries: what of its view has changed, and when it is sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_coordination::changes::ChangeTracker;
use auburnlug_protocol::{
    fleet::{ConnectionOwner, FleetMessage, FleetUpdate, PrimaryView},
    packed::Packed,
};
use auburnlug_state::{
    Millis, Name,
    byte_size::ByteSize,
    fleet::{Backend, Fleet},
    limits,
};
use auburnlug_transport::event::{Event, log};

use crate::{control::Control, control_lead::Leader};

/// View of the fleet that is sent to entries.
#[derive(Debug, Default)]
pub(crate) struct PublishedView {
    pub(crate) backends: ChangeTracker<Backend>,
    pub(crate) leads: ChangeTracker<PrimaryView>,
    pub(crate) connection_owners: ChangeTracker<Vec<ConnectionOwner>>,
    pub(crate) regional_limiters: ChangeTracker<BTreeSet<Name>>,
    /// Index of the update in which the control members changed.
    pub(crate) members: u64,
    /// Evacuated failure domains.
    pub(crate) evacuated: BTreeSet<Arc<str>>,
    /// Index of the update in which they changed; 0 if they never did.
    pub(crate) evacuated_index: u64,
}

impl Leader {
    /// Keeps an encoded update for other entries with the same `key`, as long as there is room.
    fn keep_update(&mut self, key: (u64, u64), packed: Arc<Packed>) {
        let kept = self.encoded_updates.values().map(ByteSize::byte_size).sum::<usize>();
        if kept + packed.byte_size() <= limits::KEPT_BYTES {
            self.encoded_updates.insert(key, packed);
        }
    }
}

impl Control {
    /// Updates the published view after committed changes and sends it to entries. `before` is the
    /// configuration version before the changes.
    pub(crate) fn publish_fleet_changes(&mut self, before: u64) {
        let fleet = &self.machine.fleet;
        let Some(leader) = &mut self.leader else { return };
        let next = leader.index + 1;
        let backends = leader.view.backends.replace(fleet.backends.clone().into(), next);
        let leads = leader.view.leads.replace(lead_views(fleet), next);
        let evacuated = fleet.evacuated_domains();
        let evacuations_changed = leader.view.evacuated != evacuated;
        if evacuations_changed {
            self.metrics.evacuated_domains.set(evacuated.len() as i64);
            (leader.view.evacuated, leader.view.evacuated_index) = (evacuated, next);
        }
        if !backends.is_empty() {
            leader.reports.retain(|server| fleet.backends.contains_key(server));
        }
        let changed = !backends.is_empty() || !leads.is_empty() || evacuations_changed;
        if before != fleet.plan.version || changed {
            // Callers wait for another primary; the first one of a group comes with its servers.
            let new_primary = leads.iter().any(|group| leader.lead_index.contains_key(group));
            let urgent = new_primary || evacuations_changed;
            leader.lead_index.extend(leads.into_iter().map(|group| (group, next)));
            leader.index = next;
            self.schedule_assignment();
            self.request_updates(urgent);
        }
    }

    /// Sends the newest update to all entries, at once if it is urgent or none was sent lately.
    pub(crate) fn request_updates(&mut self, urgent: bool) {
        let now = self.clock.now();
        let Some(leader) = &mut self.leader else { return };
        if leader.pace.request(leader.entries.len(), urgent, now) {
            self.send_updates();
        }
    }

    /// Sends updates that have waited for others.
    pub(crate) fn send_due_updates(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        if leader.pace.take_due(leader.entries.len(), now) {
            self.send_updates();
        }
    }

    pub(crate) fn send_updates(&mut self) {
        let Some(leader) = &self.leader else { return };
        let names: Vec<Name> = leader.entries.keys().cloned().collect();
        for name in names {
            self.send_update(&name);
        }
    }

    /// Sends an entry the changes since its last update.
    pub(crate) fn send_update(&mut self, name: &Name) {
        let Some(leader) = &mut self.leader else { return };
        let Some(entry) = leader.entries.get_mut(name.as_str()) else { return };
        let (sent, view) = (entry.sent_index, &leader.view);
        if sent >= leader.index {
            return;
        }
        entry.sent_index = leader.index;
        let (link, key) = (entry.link, (sent, entry.config_version));
        let plan = self.configs.delta_from(entry.config_version);
        if let Some(part) = &plan {
            entry.config_version = part.version;
        }
        if leader.encoded_index != leader.index {
            leader.encoded_updates.clear();
            leader.encoded_index = leader.index;
        }
        if let Some(packed) = leader.encoded_updates.get(&key) {
            let packed = packed.clone();
            return self.send(link, FleetMessage::Update(packed));
        }
        let update = FleetUpdate {
            index: leader.index,
            since: sent,
            term: leader.term,
            plan,
            backends: view.backends.since(sent),
            leads: view.leads.since(sent),
            holders: view.connection_owners.since(sent),
            delegates: view.regional_limiters.since(sent),
            members: (view.members > sent).then(|| leader.members.iter().cloned().collect()),
            evacuated: (view.evacuated_index > sent).then(|| view.evacuated.clone()),
        };
        match Packed::new(&update) {
            Ok(packed) => {
                let packed = Arc::new(packed);
                leader.keep_update(key, packed.clone());
                self.send(link, FleetMessage::Update(packed));
            }
            // The entry gets the complete view on its next link.
            Err(e) => log(Event::UpdateMismatched, format_args!("index={}: {e}", update.index)),
        }
    }
}

pub(crate) fn lead_views(fleet: &Fleet) -> BTreeMap<Arc<str>, PrimaryView> {
    let view = |lead: &auburnlug_state::fleet::GroupPrimary| PrimaryView {
        term: lead.term,
        primary: lead.primary.clone(),
    };
    fleet.leads.iter().map(|(group, lead)| (group.clone(), view(lead))).collect()
}
