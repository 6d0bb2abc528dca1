//! Assignment of connections: which entries own the connections to each server, with which share of
//! the rate of a cold server, and which entries are regional limiters.

use std::{collections::BTreeMap, sync::Arc};

use auburnlug_coordination::{
    connection_owners::{self, Location, ServerLimit, ServerOwners},
    regional_limiters::{self, RegionalLimiters},
    server_pace::ShareAssignment,
    update_pace,
};
use auburnlug_protocol::fleet::{ConnectionOwner, OwnedConnections};
use auburnlug_state::{Millis, Name, fleet::Fleet};
use auburnlug_transport::event::{Event, log};

use crate::{control::Control, control_lead::Leader};

/// Delay that combines changes of entries and servers into one assignment of connections.
pub(crate) const ASSIGNMENT_DEBOUNCE_MS: Millis = 50;

impl Leader {
    /// Keeps the connections that an earlier leader assigned to an entry until this leader assigns
    /// them itself.
    pub(crate) fn inherit_connections(&mut self, from: &Name, holds: Vec<OwnedConnections>) {
        if self.view.connection_owners.is_set() {
            return;
        }
        for held in holds {
            let owners = self.connection_owners.entry(held.server).or_default();
            if owners.iter().all(|(name, _)| name != from) {
                let at = held.rank.min(owners.len());
                owners.insert(at, (from.clone(), held.connections));
            }
        }
    }

    /// Divides the rates of servers among their chosen connection owners, with the next update.
    pub(crate) fn assign_cold_shares(
        &mut self,
        fleet: &Fleet,
        chosen: &BTreeMap<Arc<str>, ServerOwners>,
        now: Millis,
    ) {
        let update = self.index + 1;
        let is_limited = |server: &str| {
            let backend = fleet.backends.get(server);
            backend.is_some_and(|backend| fleet.limits_cold_servers(&backend.group))
        };
        self.cold_shares.retain(is_limited, update, &self.leases, now);
        for backend in fleet.backends.values() {
            let group = fleet.plan.groups.get(&backend.group);
            let Some(cold_rate) = group.and_then(|group| group.cold_rate) else { continue };
            let Some(owners) = chosen.get(&backend.id) else { continue };
            let announced = self.view.connection_owners.is_set();
            let assignment = ShareAssignment {
                server: &backend.id,
                owners,
                rate: backend.cold.then_some(cold_rate),
                update,
                is_new: announced && !self.connection_owners.contains_key(&backend.id),
            };
            self.cold_shares.assign(assignment, &self.leases, now);
        }
    }

    /// Regional limiters chosen by this leader or, before the first choice, by an earlier one.
    pub(crate) fn current_regional_limiters(&self) -> RegionalLimiters {
        if self.view.regional_limiters.is_set() {
            return self.view.regional_limiters.values().clone();
        }
        let mut limiters = RegionalLimiters::new();
        for (name, entry) in self.entries.iter().filter(|(_, entry)| entry.regional_limiter) {
            limiters.entry(entry.location.region.clone()).or_default().insert(name.clone());
        }
        limiters
    }
}

impl Control {
    /// Schedules an assignment of connections; changes within [`ASSIGNMENT_DEBOUNCE_MS`] are
    /// combined.
    pub(crate) fn schedule_assignment(&mut self) {
        let now = self.clock.now();
        if let Some(leader) = &mut self.leader {
            let delay = ASSIGNMENT_DEBOUNCE_MS.max(update_pace::interval(leader.entries.len()));
            leader.assign_at.get_or_insert(now + delay);
        }
    }

    /// Chooses the regional limiters and the connection owners of each server.
    pub(crate) fn assign_connections(&mut self) {
        let fleet = &self.machine.fleet;
        let limit = |group: &str| fleet.plan.groups.get(group).map(|plan| plan.max_connections);
        let servers: BTreeMap<Arc<str>, ServerLimit> = fleet
            .backends
            .values()
            .filter_map(|b| {
                let server = ServerLimit { domain: b.domain.clone(), limit: limit(&b.group)? };
                Some((b.id.clone(), server))
            })
            .collect();
        let now = self.clock.now();
        let Some(leader) = &mut self.leader else { return };
        leader.assign_at = None;
        for entry in leader.entries.values() {
            leader.regions.insert(entry.location.domain.clone(), entry.location.region.clone());
        }
        let observed = leader.observation.at(now);
        let places: BTreeMap<Name, Location> = leader
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_healthy(observed))
            .map(|(name, entry)| (name.clone(), entry.location.clone()))
            .collect();
        if places.is_empty() {
            // Entries that are shutting down still serve on the connections that they own.
            return;
        }
        let next = leader.index + 1;
        let limiters = regional_limiters::choose(&places, &leader.current_regional_limiters());
        let limiters_changed = !leader.view.regional_limiters.replace(limiters, next).is_empty();
        if limiters_changed {
            let delegates = leader.view.regional_limiters.values();
            log(Event::RegionalLimitersChanged, format_args!("delegates={delegates:?}"));
        }
        let chosen = connection_owners::choose(
            &places,
            &servers,
            &leader.regions,
            &leader.connection_owners,
        );
        for (server, owners) in &chosen {
            if leader.connection_owners.get(server) != Some(owners) {
                log(
                    Event::ConnectionOwnersChanged,
                    format_args!("server={server} holders={owners:?}"),
                );
            }
        }
        let names = |owners: &ServerOwners| owners.iter().map(|(name, _)| name.clone()).collect();
        let placed = chosen.iter().map(|(server, owners)| (server.clone(), names(owners)));
        leader.leases.assign_servers(placed.collect(), next);
        leader.assign_cold_shares(fleet, &chosen, now);
        leader.connection_owners = chosen;
        let views = connection_owner_views(leader);
        let changed = leader.view.connection_owners.replace(views, next);
        if limiters_changed || !changed.is_empty() {
            leader.index = next;
            self.request_updates(false);
        }
    }

    /// Assigns connections early once every entry of an earlier leader has reported what it owns, or
    /// has started again, which ends it, and is recorded.
    pub(crate) fn advance_first_assignment(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader else { return };
        let first = !leader.view.connection_owners.is_set();
        let complete = leader.unreported.is_empty() && leader.pending_entries.is_empty();
        if first && complete {
            let at = now + ASSIGNMENT_DEBOUNCE_MS;
            leader.assign_at = Some(leader.assign_at.map_or(at, |due| due.min(at)));
        }
    }
}

fn connection_owner_views(leader: &Leader) -> BTreeMap<Arc<str>, Vec<ConnectionOwner>> {
    let mut views = BTreeMap::new();
    for (server, owners) in &leader.connection_owners {
        let known = owners.iter().filter_map(|(entry, connections)| {
            let location = &leader.entries.get(entry.as_str())?.location;
            Some(ConnectionOwner {
                entry: entry.clone(),
                domain: location.domain.clone(),
                region: location.region.clone(),
                connections: *connections,
                cold_rate: leader.cold_shares.share(server, entry.as_str()),
            })
        });
        views.insert(server.clone(), known.collect());
    }
    views
}
