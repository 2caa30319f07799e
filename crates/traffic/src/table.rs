//! The routing table: everything the traffic threads need to place a call.
//!
//! Compiled by the control thread from the configuration, the roster, the brakes and the time, and
//! swapped whole; traffic threads never see half a change. Entities refer to each other by index,
//! and [`RoutingTable::verify`] checks that no index dangles.
//!
//! Two rules shape the list of servers of a version. A large version is cut down to a stable subset
//! by rank, so that connections per backend server do not grow with the mesh. A version that is
//! being moved to is cut down to the part of its servers that matches the progress of the move, so
//! that its few first servers run at their usual load rather than all of them at a trickle.

use rf_base::{Counter, Incarnation, InstanceId, Millis, MoveId, ServiceName, VersionName};
use rf_config::moves::PROGRESS_WHOLE;
use rf_config::weights::{compute_effective, compute_leaving};
use rf_config::{Intent, MeshConfig, Route, Service};
use rf_protocol::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Servers of one version to which one daemon sends.
const SUBSET_SIZE: usize = 24;

/// Index of a service in a [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceRef(pub u32);

/// How far away a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the same availability zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// One backend server as a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerTarget {
    /// Instance.
    pub instance: InstanceId,
    /// Life of its daemon.
    pub incarnation: Incarnation,
    /// Where its daemon takes attempts.
    pub relay: SocketAddr,
    /// How far away it is.
    pub proximity: Proximity,
    /// Calls it runs at a time.
    pub slots: u32,
    /// Time since when it is announced.
    pub since: Millis,
}

/// One version of a service with its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionEntry {
    /// Name.
    pub name: VersionName,
    /// Share of the service's traffic.
    pub weight: u64,
    /// Servers that take new work.
    pub servers: Vec<ServerTarget>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name.
    pub name: ServiceName,
    /// Longest time of a call.
    pub deadline: Millis,
    /// Calls that may wait at one backend server.
    pub queue: u32,
    /// Ramp of a new backend server.
    pub cold_start: Millis,
    /// Status codes that promise that a request did not run.
    pub shed_status: BTreeSet<u16>,
    /// Versions.
    pub versions: Vec<VersionEntry>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Host, or `*`.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Service.
    pub service: ServiceRef,
    /// Whether requests may run more than once, where the route says so.
    pub idempotent: Option<bool>,
    /// Longest time of a call.
    pub deadline: Millis,
    /// Fingerprint of host and prefix.
    pub fingerprint: u64,
}

/// Everything a table is compiled from.
#[derive(Clone, Copy, Debug)]
pub struct TableContext<'a> {
    /// Configuration in force.
    pub config: &'a MeshConfig,
    /// Reachable daemons.
    pub members: &'a [&'a Member],
    /// This daemon.
    pub local: &'a Member,
    /// Moves that are braked.
    pub braked: &'a BTreeSet<MoveId>,
    /// Current time.
    pub now: Millis,
}

/// Daemon that keeps records of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordHolder {
    /// Instance.
    pub instance: InstanceId,
    /// Where it takes claims.
    pub relay: SocketAddr,
    /// Hash of its availability zone.
    pub zone: u64,
}

/// Where calls go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Configuration that it was compiled from.
    pub counter: Counter,
    /// Routes, best match first.
    pub routes: Vec<RouteEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
    /// Instances that take no new work.
    pub leaving: BTreeSet<InstanceId>,
    /// Daemons that keep records.
    pub holders: Vec<RecordHolder>,
}

impl RoutingTable {
    /// Compiles the table.
    pub fn compute(context: TableContext<'_>) -> RoutingTable {
        let leaving = compute_leaving(context.config, context.now);
        let mut index = BTreeMap::new();
        let mut services = Vec::new();
        for (name, service) in &context.config.services {
            index.insert(name, ServiceRef(services.len() as u32));
            services.push(context.compute_service(name, service, &leaving));
        }
        let mut routes: Vec<RouteEntry> = context
            .config
            .routes
            .iter()
            .filter_map(|r| compute_route(r, &index, &services))
            .collect();
        routes.sort_by_key(|r| (r.host == "*", std::cmp::Reverse(r.prefix.len())));
        let table = RoutingTable {
            counter: context.config.counter,
            routes,
            services,
            leaving,
            holders: context.compute_holders(),
        };
        debug_assert_eq!(table.verify(), Ok(()));
        table
    }

    /// Checks that every route points at a service of the table.
    ///
    /// # Errors
    ///
    /// Returns the prefix of the first route that does not.
    pub fn verify(&self) -> Result<(), String> {
        let dangling = |r: &&RouteEntry| self.services.get(r.service.0 as usize).is_none();
        match self.routes.iter().find(dangling) {
            Some(route) => Err(format!("route {}{} dangles", route.host, route.prefix)),
            None => Ok(()),
        }
    }

    /// Finds the route of a request.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes.iter().find(|r| {
            (r.host == "*" || r.host.eq_ignore_ascii_case(host)) && has_prefix(path, &r.prefix)
        })
    }

    /// Returns the daemons that keep the records of a key: the one that ranks highest, and the
    /// highest of another availability zone, or of the same one where there is no other.
    pub fn record_holders(&self, key: u64) -> Vec<RecordHolder> {
        let rank = |holder: &&RecordHolder| holder.instance.rank(key);
        let Some(first) = self.holders.iter().max_by_key(rank) else {
            return Vec::new();
        };
        let others = || self.holders.iter().filter(|h| h.instance != first.instance);
        let elsewhere = others().filter(|h| h.zone != first.zone).max_by_key(rank);
        let second = elsewhere.or_else(|| others().max_by_key(rank));
        std::iter::once(first).chain(second).copied().collect()
    }

    /// Returns a service.
    pub fn service(&self, service: ServiceRef) -> &ServiceEntry {
        &self.services[service.0 as usize]
    }

    /// Returns a service by name.
    pub fn service_by_name(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.iter().find(|s| s.name == *name)
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'),
    }
}

fn compute_route(
    route: &Route,
    index: &BTreeMap<&ServiceName, ServiceRef>,
    services: &[ServiceEntry],
) -> Option<RouteEntry> {
    let service = *index.get(&route.service)?;
    Some(RouteEntry {
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        service,
        idempotent: route.idempotent,
        deadline: route
            .deadline
            .unwrap_or(services[service.0 as usize].deadline),
        fingerprint: fingerprint_route(route),
    })
}

/// Computes the fingerprint of a route, by which evidence names it.
pub fn fingerprint_route(route: &Route) -> u64 {
    rf_base::ids::hash_key(format!("{} {}", route.host, route.prefix).as_bytes())
}

impl TableContext<'_> {
    fn compute_holders(&self) -> Vec<RecordHolder> {
        let stable = self.members.iter().filter(|m| !m.leaving);
        stable
            .map(|m| RecordHolder {
                instance: m.id,
                relay: m.relay,
                zone: rf_base::ids::hash_key(m.zone.as_str().as_bytes()),
            })
            .collect()
    }

    fn compute_service(
        &self,
        name: &ServiceName,
        service: &Service,
        leaving: &BTreeSet<InstanceId>,
    ) -> ServiceEntry {
        let weights = compute_effective(self.config, name, self.braked, self.now);
        let versions = weights
            .into_iter()
            .map(|(version, weight)| VersionEntry {
                servers: self.compute_servers(name, &version, leaving),
                name: version,
                weight,
            })
            .collect();
        ServiceEntry {
            name: name.clone(),
            deadline: service.deadline,
            queue: service.queue,
            cold_start: service.cold_start,
            shed_status: service.shed_status.clone(),
            versions,
        }
    }

    fn compute_servers(
        &self,
        service: &ServiceName,
        version: &VersionName,
        leaving: &BTreeSet<InstanceId>,
    ) -> Vec<ServerTarget> {
        let mut servers: Vec<&Member> = self
            .members
            .iter()
            .copied()
            .filter(|m| !m.leaving && !leaving.contains(&m.id))
            .filter(|m| {
                let info = m.server.as_ref();
                info.is_some_and(|s| s.service == *service && s.version == *version)
            })
            .collect();
        self.keep_first_servers(service, version, &mut servers);
        self.keep_subset(&mut servers);
        servers.into_iter().filter_map(|m| self.target(m)).collect()
    }

    /// Keeps as many servers of a version that is being moved to as its progress needs.
    fn keep_first_servers(
        &self,
        service: &ServiceName,
        version: &VersionName,
        servers: &mut Vec<&Member>,
    ) {
        let Some(m) = self
            .config
            .running_moves()
            .find(|m| m.plan.service == *service)
        else {
            return;
        };
        let is_receiver =
            matches!(&m.plan.intent, Intent::Shift { version: v, .. } if v == version);
        let had_none = m.before.get(version).is_none_or(|w| *w == 0);
        if !is_receiver || !had_none {
            return;
        }
        let progress = m.progress(self.now) as usize;
        let whole = PROGRESS_WHOLE as usize;
        let needed = (servers.len() * progress).div_ceil(whole).max(1);
        servers.sort_by_key(|s| std::cmp::Reverse(s.id.rank(m.id().0)));
        servers.truncate(needed);
    }

    fn keep_subset(&self, servers: &mut Vec<&Member>) {
        if servers.len() <= SUBSET_SIZE {
            return;
        }
        let key = self.local.id.0;
        servers.sort_by_key(|s| (self.proximity(s), std::cmp::Reverse(s.id.rank(key))));
        let near: Vec<&Member> = servers.iter().copied().take(SUBSET_SIZE / 2).collect();
        let mut rest: Vec<&Member> = servers.split_off(SUBSET_SIZE / 2);
        rest.sort_by_key(|s| std::cmp::Reverse(s.id.rank(key)));
        rest.truncate(SUBSET_SIZE - near.len());
        *servers = near;
        servers.extend(rest);
    }

    fn proximity(&self, member: &Member) -> Proximity {
        if member.zone == self.local.zone {
            Proximity::Zone
        } else if member.region == self.local.region {
            Proximity::Region
        } else {
            Proximity::Far
        }
    }

    fn target(&self, member: &Member) -> Option<ServerTarget> {
        let info = member.server.as_ref()?;
        Some(ServerTarget {
            instance: member.id,
            incarnation: member.incarnation,
            relay: member.relay,
            proximity: self.proximity(member),
            slots: info.slots.max(1),
            since: info.since,
        })
    }
}
