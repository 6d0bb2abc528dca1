//! Home regions: the regions whose servers may run a request, and whose instances may carry it.
//!
//! A route and a client account may each have home regions. Where both have some, a region must be
//! among both. The request runs on a server at home only. Its body goes from the entry that the
//! client connected to either directly to the server or to a connection owner at home. An owner in
//! the region of that entry does not suffice, as the client may be in yet another region.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use auburnlug_state::Name;

/// Home regions of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeRegions {
    route: BTreeSet<Arc<str>>,
    account: BTreeSet<Arc<str>>,
}

/// A server of the group of a request.
#[derive(Debug, Clone, Copy)]
pub struct ServerSite {
    /// Whether it is in a home region of the request.
    pub at_home: bool,
    /// Whether it may run the request now or once it becomes primary.
    pub eligible: bool,
    /// Whether the view names connection owners of it.
    pub owned: bool,
    /// Whether a connection owner may receive the request.
    pub reachable: bool,
}

impl HomeRegions {
    /// Home regions of a request; an empty set allows all regions.
    pub fn new(route: &BTreeSet<Arc<str>>, account: Option<&BTreeSet<Arc<str>>>) -> HomeRegions {
        HomeRegions { route: route.clone(), account: account.cloned().unwrap_or_default() }
    }

    /// Whether all regions are allowed, also unknown ones.
    pub fn is_everywhere(&self) -> bool {
        self.route.is_empty() && self.account.is_empty()
    }

    /// Whether a region is at home.
    pub fn contains(&self, region: Option<&str>) -> bool {
        let allows = |homes: &BTreeSet<Arc<str>>| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        allows(&self.route) && allows(&self.account)
    }

    /// Whether a connection owner in `region` may receive the request from the entry `me`.
    pub fn allows_owner(&self, owner: &Name, region: &str, me: &Name) -> bool {
        owner == me || self.contains(Some(region))
    }
}

/// Whether a server at home can run a request now, or may be able to when the view changes.
/// Without one, the request is refused at once.
pub fn have_prospect(mut servers: impl Iterator<Item = ServerSite>) -> bool {
    servers.any(|server| server.at_home && server.eligible && (server.reachable || !server.owned))
}

/// Regions of failure domains, as far as an entry knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainRegions {
    regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl DomainRegions {
    /// Regions from the settings of the instance.
    pub fn new(regions: BTreeMap<Arc<str>, Arc<str>>) -> DomainRegions {
        DomainRegions { regions }
    }

    /// Adds the region of an instance, unless the region of its domain is known.
    pub fn learn(&mut self, domain: &Arc<str>, region: &Arc<str>) {
        if !self.regions.contains_key(domain) {
            self.regions.insert(domain.clone(), region.clone());
        }
    }

    /// Region of a failure domain.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.regions.get(domain).map(|region| &**region)
    }
}
