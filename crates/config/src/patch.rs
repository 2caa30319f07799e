//! Differences between two route tables, so that a small change of a large table is a small message.
//!
//! Routes are dealt to a fixed number of buckets by host and prefix. The digest of a table has one
//! hash for each bucket, the sum of the hashes of its routes, so it depends on neither their order
//! nor the versions in between. Who has a newer table answers a digest with the buckets that
//! differ, and with its own digest, against which the result is checked.

use crate::routes::{CallerLimits, PathRoute, RouteTable};
use rf_base::ids::hash_key;
use rf_base::{ConfigVersion, ServiceName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// Buckets of a digest. A digest stays below one packet, and a bucket of a table of a thousand
/// routes holds about sixteen.
pub const BUCKETS: usize = 64;

/// Error of a patch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PatchError {
    /// The patch was made for another table.
    #[snafu(display("the patched table differs from the one that was announced"))]
    BaseMismatch,
}

/// Result of applying a patch.
pub type Result<T> = std::result::Result<T, PatchError>;

/// Hashes of the buckets of a table; empty for a table of which nothing is to be reused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest(Vec<u64>);

/// What makes a newer table of an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePatch {
    /// Version of the newer table.
    pub version: ConfigVersion,
    /// Digest of the newer table.
    pub digest: TableDigest,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Services of the newer table.
    pub services: BTreeMap<ServiceName, u32>,
    /// Paces of cold backend servers of the newer table.
    #[serde(default)]
    #[serde(rename = "cold_paces")]
    pub cold_rates: BTreeMap<ServiceName, u32>,
    /// Buckets that are replaced.
    pub buckets: BTreeSet<u8>,
    /// Routes in these buckets, by host.
    pub routes: BTreeMap<String, Vec<PathRoute>>,
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
        TableDigest(buckets)
    }

    /// Returns the buckets in which two tables differ.
    fn differing(&self, other: &TableDigest) -> BTreeSet<u8> {
        let differs = |bucket: &u8| {
            let index = usize::from(*bucket);
            self.0.get(index) != other.0.get(index)
        };
        (0..BUCKETS as u8).filter(differs).collect()
    }
}

impl TablePatch {
    /// Makes the patch that turns a table with the digest `base` into `table`, whose own digest is
    /// `digest`.
    pub fn new(table: &RouteTable, digest: &TableDigest, base: &TableDigest) -> TablePatch {
        let buckets = digest.differing(base);
        let mut routes: BTreeMap<String, Vec<PathRoute>> = BTreeMap::new();
        for (host, all) in &table.hosts {
            let chosen = all
                .iter()
                .filter(|r| buckets.contains(&bucket_of(host, r)))
                .cloned();
            let chosen: Vec<PathRoute> = chosen.collect();
            if !chosen.is_empty() {
                routes.insert(host.clone(), chosen);
            }
        }
        TablePatch {
            version: table.version,
            digest: digest.clone(),
            limits: table.limits,
            services: table.services.clone(),
            cold_rates: table.cold_rates.clone(),
            buckets,
            routes,
        }
    }

    /// Applies the patch to `base`.
    ///
    /// # Errors
    ///
    /// Returns [`PatchError::BaseMismatch`] where `base` is not the table that the patch was made
    /// for.
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
        };
        table.sort();
        match TableDigest::of(&table) == self.digest {
            true => Ok(table),
            false => Err(PatchError::BaseMismatch),
        }
    }
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
    let text = format!(
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
    hash_key(text.as_bytes())
}
