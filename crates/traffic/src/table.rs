//! Routing table with everything that the traffic threads need to route a call.
//!
//! The control thread compiles the table from the configuration, the member list, the set of moves
//! under a stop order and the time. It is swapped as a whole, so traffic threads never see a
//! partial update. Entries refer to each other by index; [`RoutingTable::verify`] checks that every
//! index is valid.
//!
//! Two rules limit the server list of a version. The list of a large version is cut to a stable
//! subset by rank, so that the number of connections per backend server does not grow with the
//! mesh. The list of a version that traffic is being moved to is cut in proportion to the progress
//! of the move, so that its first servers get their normal load instead of all of them getting very
//! little.

use rf_base::{ConfigVersion, Incarnation, InstanceId, Millis, MoveId, ServiceName, VersionName};
use rf_config::moves::FULL_PROGRESS;
use rf_config::weights::{compute_effective, compute_retiring};
use rf_config::{Intent, MeshConfig, Route, Service};
use rf_protocol::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of servers of one version that one daemon sends to.
const SUBSET_SIZE: usize = 24;

/// Index of a service in a [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceRef(pub u32);

/// Network distance from this daemon to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the same availability zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// Backend server as the destination of attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerTarget {
    /// Instance that the server runs on.
    pub instance: InstanceId,
    /// Incarnation of the daemon beside the server; it changes when the daemon restarts.
    pub incarnation: Incarnation,
    /// Address at which its daemon accepts attempts.
    pub relay: SocketAddr,
    /// Network distance from this daemon.
    pub proximity: Proximity,
    /// Maximum number of calls that the server runs concurrently; at least 1.
    pub slots: u32,
    /// Time since which the server has been announced.
    pub since: Millis,
}

/// Version of a service with its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionEntry {
    /// Name of the version.
    pub name: VersionName,
    /// Effective weight of the version in the traffic of the service.
    pub weight: u64,
    /// Servers that accept new calls, after the cuts described in the module documentation.
    pub servers: Vec<ServerTarget>,
}

/// Service with its settings and versions.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum duration of a call, for routes without a deadline of their own.
    pub deadline: Millis,
    /// Maximum number of calls that wait at one backend server.
    pub queue: u32,
    /// Duration of the cold start of a new backend server.
    pub cold_start: Millis,
    /// HTTP status codes by which a backend server signals that it did not run the request.
    pub shed_status: BTreeSet<u16>,
    /// Versions of the service with their effective weights.
    pub versions: Vec<VersionEntry>,
}

/// Route from a host and path prefix to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Host that the route matches, or `*` for any host.
    pub host: String,
    /// Path prefix that the route matches, at path segment boundaries.
    pub prefix: String,
    /// Service that runs the requests.
    pub service: ServiceRef,
    /// Whether requests may run more than once, if the route specifies it.
    pub idempotent: Option<bool>,
    /// Maximum duration of a call.
    pub deadline: Millis,
    /// Hash of host and prefix, from [`fingerprint_route`].
    pub fingerprint: u64,
}

/// Inputs that a table is compiled from.
#[derive(Clone, Copy, Debug)]
pub struct TableContext<'a> {
    /// Configuration in force.
    pub config: &'a MeshConfig,
    /// Reachable daemons.
    pub members: &'a [&'a Member],
    /// Member entry of the local daemon.
    pub local: &'a Member,
    /// Ids of moves under a stop order, which contribute nothing to the weights.
    pub stopped: &'a BTreeSet<MoveId>,
    /// Current time.
    pub now: Millis,
}

/// Daemon that stores records of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordHolder {
    /// Instance of the daemon.
    pub instance: InstanceId,
    /// Address at which the daemon accepts claims.
    pub relay: SocketAddr,
    /// Hash of the name of its availability zone.
    pub zone: u64,
}

/// Compiled routes, services and servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Counter of the configuration that the table was compiled from.
    pub counter: ConfigVersion,
    /// Routes in the order of matching: named hosts before `*`, then longer prefixes first.
    pub routes: Vec<RouteEntry>,
    /// Services, indexed by [`ServiceRef`].
    pub services: Vec<ServiceEntry>,
    /// Instances that accept no new calls.
    pub leaving: BTreeSet<InstanceId>,
    /// Daemons that store records of idempotency keys.
    pub holders: Vec<RecordHolder>,
}

impl RoutingTable {
    /// Compiles the table from `context`.
    pub fn compute(context: TableContext<'_>) -> RoutingTable {
        let leaving = compute_retiring(context.config, context.now);
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

    /// Checks that every route refers to a service of the table.
    ///
    /// # Errors
    ///
    /// Returns a message with the host and prefix of the first route that does not.
    pub fn verify(&self) -> Result<(), String> {
        let is_unresolved = |r: &&RouteEntry| self.services.get(r.service.0 as usize).is_none();
        match self.routes.iter().find(is_unresolved) {
            Some(route) => Err(format!(
                "route {}{} refers to a missing service",
                route.host, route.prefix
            )),
            None => Ok(()),
        }
    }

    /// Returns the first route that matches a request; a port in `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes.iter().find(|r| {
            (r.host == "*" || r.host.eq_ignore_ascii_case(host)) && has_prefix(path, &r.prefix)
        })
    }

    /// Returns the daemons that store the records of a key: the one that ranks highest for the key,
    /// and the highest of another availability zone, or of the same zone if there is no other.
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

    /// Returns the service at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index comes from another table and is out of range.
    pub fn service(&self, service: ServiceRef) -> &ServiceEntry {
        &self.services[service.0 as usize]
    }

    /// Returns the service with a name.
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

/// Computes the fingerprint that identifies a route in evidence.
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
        let weights = compute_effective(self.config, name, self.stopped, self.now);
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
        self.cut_to_progress(service, version, &mut servers);
        self.cut_to_subset(&mut servers);
        servers.into_iter().filter_map(|m| self.target(m)).collect()
    }

    /// Cuts the servers of a version that a running move shifts traffic to, in proportion to the
    /// progress of the move.
    ///
    /// A version that had a weight before the move keeps all its servers.
    fn cut_to_progress(
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
        let is_new = m.before.get(version).is_none_or(|w| *w == 0);
        if !is_receiver || !is_new {
            return;
        }
        let progress = m.progress(self.now) as usize;
        let whole = FULL_PROGRESS as usize;
        let needed = (servers.len() * progress).div_ceil(whole).max(1);
        servers.sort_by_key(|s| std::cmp::Reverse(s.id.rank(m.id().0)));
        servers.truncate(needed);
    }

    /// Cuts a long server list to [`SUBSET_SIZE`]: one half by proximity, the rest by rank alone.
    fn cut_to_subset(&self, servers: &mut Vec<&Member>) {
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
