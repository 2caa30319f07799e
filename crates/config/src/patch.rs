//! Patches between two route tables, so that a small change of a large table needs only a small
//! message.
//!
//! Routes are assigned to a fixed number of buckets by a hash of host and prefix. The digest of a
//! table contains one hash for each bucket: the sum of the hashes of its routes, which does not
//! depend on their order. A peer that has a newer table replies to a digest with the contents of the
//! buckets that differ and with the digest of its own table, against which the patched table is
//! checked. No history is needed, so the two tables may be any number of versions apart.
//!
//! Organisations have buckets of their own, by a hash of the name, behind those of the routes. A
//! digest of a table without organisations does not have them.

use crate::organisations::Organisation;
use crate::routes::{CallerLimits, PathRoute, RouteTable};
use rf_base::ids::hash_key;
use rf_base::{ConfigVersion, OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// Number of buckets in a digest. A digest fits into one packet, and a bucket of a table of 1000
/// routes contains about 16 routes.
pub const BUCKETS: usize = 64;
/// Number of buckets for organisations. Of 10,000 organisations with 100,000 keys, a bucket
/// contains about 80 organisations, whose description takes about 30 kB.
pub const ORGANISATION_BUCKETS: usize = 128;

/// Error of applying a patch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PatchError {
    /// The patch was computed for a different base table.
    #[snafu(display("the patched table differs from the one that was announced"))]
    BaseMismatch,
}

/// Result of applying a patch.
pub type Result<T> = std::result::Result<T, PatchError>;

/// Hashes of the buckets of a table.
///
/// The default digest has no buckets. It differs from any table in every bucket and so requests the
/// whole table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest(Vec<u64>);

/// Difference that turns an older table into a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePatch {
    /// Version of the newer table.
    pub version: ConfigVersion,
    /// Digest of the newer table.
    pub digest: TableDigest,
    /// Limits on requests of callers in the newer table.
    pub limits: CallerLimits,
    /// Services of the newer table, with the connections that one of their backend servers accepts.
    pub services: BTreeMap<ServiceName, u32>,
    /// Request rates of cold backend servers in the newer table, in requests per second.
    #[serde(default)]
    #[serde(rename = "cold_paces")]
    pub cold_rates: BTreeMap<ServiceName, u32>,
    /// Buckets that the patch replaces.
    pub buckets: BTreeSet<u8>,
    /// All routes of the newer table in these buckets, by host.
    pub routes: BTreeMap<String, Vec<PathRoute>>,
    /// All organisations of the newer table in these buckets. It stays the last field, since it is
    /// left out of the message while it is empty.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub organisations: BTreeMap<OrganisationName, Organisation>,
}

impl TableDigest {
    /// Computes the digest of a table.
    pub fn of(table: &RouteTable) -> TableDigest {
        let mut buckets = vec![0u64; BUCKETS];
        for (host, routes) in &table.hosts {
            for route in routes {
                let bucket = &mut buckets[usize::from(bucket_of(host, route))];
                *bucket = bucket.wrapping_add(hash_route(host, route));
            }
        }
        if !table.organisations.is_empty() {
            buckets.resize(BUCKETS + ORGANISATION_BUCKETS, 0);
        }
        for (name, organisation) in &table.organisations {
            let bucket = &mut buckets[usize::from(organisation_bucket(name))];
            *bucket = bucket.wrapping_add(hash_organisation(name, organisation));
        }
        TableDigest(buckets)
    }

    /// Returns the buckets in which the digests differ.
    fn differing(&self, other: &TableDigest) -> BTreeSet<u8> {
        let differs = |bucket: &u8| {
            let index = usize::from(*bucket);
            self.0.get(index) != other.0.get(index)
        };
        (0..self.0.len() as u8).filter(differs).collect()
    }
}

impl TablePatch {
    /// Creates the patch that turns a table with the digest `base` into `table`, whose digest is
    /// `digest`.
    pub fn new(table: &RouteTable, digest: &TableDigest, base: &TableDigest) -> TablePatch {
        let buckets = digest.differing(base);
        let mut routes: BTreeMap<String, Vec<PathRoute>> = BTreeMap::new();
        for (host, all) in &table.hosts {
            let selected = all
                .iter()
                .filter(|r| buckets.contains(&bucket_of(host, r)))
                .cloned();
            let selected: Vec<PathRoute> = selected.collect();
            if !selected.is_empty() {
                routes.insert(host.clone(), selected);
            }
        }
        let organisations = table.organisations.iter();
        let organisations = organisations
            .filter(|(name, _)| buckets.contains(&organisation_bucket(name)))
            .map(|(name, organisation)| (name.clone(), organisation.clone()))
            .collect();
        TablePatch {
            version: table.version,
            digest: digest.clone(),
            limits: table.limits,
            services: table.services.clone(),
            cold_rates: table.cold_rates.clone(),
            buckets,
            routes,
            organisations,
        }
    }

    /// Applies the patch to `base` and returns the newer table.
    ///
    /// # Errors
    ///
    /// Returns [`PatchError::BaseMismatch`] if the digest of the result is not that of the newer
    /// table, because `base` is not the table that the patch was computed for.
    pub fn apply(&self, base: &RouteTable) -> Result<RouteTable> {
        let mut hosts: BTreeMap<String, Vec<PathRoute>> = BTreeMap::new();
        for (host, routes) in &base.hosts {
            let kept = routes
                .iter()
                .filter(|r| !self.buckets.contains(&bucket_of(host, r)))
                .cloned();
            let kept: Vec<PathRoute> = kept.collect();
            if !kept.is_empty() {
                hosts.insert(host.clone(), kept);
            }
        }
        for (host, routes) in &self.routes {
            let all = hosts.entry(host.clone()).or_default();
            all.extend(routes.iter().cloned());
        }
        let mut table = RouteTable {
            version: self.version,
            limits: self.limits,
            services: self.services.clone(),
            cold_rates: self.cold_rates.clone(),
            hosts,
            organisations: self.patch_organisations(base),
        };
        table.sort();
        match TableDigest::of(&table) == self.digest {
            true => Ok(table),
            false => Err(PatchError::BaseMismatch),
        }
    }

    fn patch_organisations(&self, base: &RouteTable) -> BTreeMap<OrganisationName, Organisation> {
        if self.digest.0.len() <= BUCKETS {
            return BTreeMap::new();
        }
        let kept = base.organisations.iter();
        let kept = kept.filter(|(name, _)| !self.buckets.contains(&organisation_bucket(name)));
        kept.chain(&self.organisations)
            .map(|(name, organisation)| (name.clone(), organisation.clone()))
            .collect()
    }
}

fn organisation_bucket(name: &OrganisationName) -> u8 {
    let bucket = hash_key(name.as_str().as_bytes()) % ORGANISATION_BUCKETS as u64;
    BUCKETS as u8 + bucket as u8
}

fn hash_organisation(name: &OrganisationName, organisation: &Organisation) -> u64 {
    let quota = organisation.quota.map(|q| (q.rate.to_string(), q.burst));
    let text = format!("{name} {} {quota:?}\n", organisation.priority);
    let mut bytes = text.into_bytes();
    for key in &organisation.keys {
        bytes.extend_from_slice(key.as_bytes());
    }
    hash_key(&bytes)
}

fn bucket_of(host: &str, route: &PathRoute) -> u8 {
    let key = format!("{host} {}", route.prefix);
    (hash_key(key.as_bytes()) % BUCKETS as u64) as u8
}

fn hash_route(host: &str, route: &PathRoute) -> u64 {
    let parts: Vec<String> = route
        .parts
        .iter()
        .map(|p| format!("{}={}", p.service, p.weight))
        .collect();
    let mut text = format!(
        "{host} {} {} {:?} {} {} {} {} {}",
        route.name,
        route.prefix,
        route.repeat,
        route.attempts,
        route.timeout.0,
        route.target.0,
        route.priority,
        parts.join(","),
    );
    if route.is_public {
        text.push_str("\npublic");
    }
    hash_key(text.as_bytes())
}
