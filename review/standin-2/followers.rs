//! A third of the proxies, among them those that watch the configuration for the others, are cut
//! off from the store while the configuration changes.

use crate::Outcome;
use crate::mesh::{Mesh, Place};
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::thread;

/// `configApply` of the site, in milliseconds.
const CONFIG_APPLY: u64 = 2000;
/// `stretchMax` of the site, in milliseconds.
const STRETCH_MAX: u64 = 5000;
/// Share of the machines that are cut off, as in the site's day `scale-2`.
const SHARE: f64 = 0.35;
/// Time for which they are cut off, in milliseconds, as in the same day.
const CUT: u64 = 12_000;
/// Interval between two requests to one machine, in milliseconds.
const INTERVAL: u64 = 300;

/// Machines of the site `pfr-mesh`.
const PLACES: [(&str, &str); 14] = [
    ("mtl-a", "solde"),
    ("mtl-a", "solde"),
    ("mtl-b", "solde"),
    ("mtl-b", "solde"),
    ("mtl-c", "solde"),
    ("mtl-d", "solde"),
    ("mtl-a", "virement"),
    ("mtl-b", "virement"),
    ("mtl-c", "virement"),
    ("mtl-d", "virement"),
    ("mtl-a", "releve"),
    ("mtl-b", "releve"),
    ("mtl-c", "releve"),
    ("mtl-d", "releve"),
];

/// Returns the configuration with the given version, whose route `/pot/` leads to `service`.
fn config(version: &str, service: &str) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout\":\"1200ms\",\"targetLatency\":\"400ms\",\"priority\":1,\
             \"maxAttempts\":2,\"service\":\"{service}\"}}"
        )
    };
    let routes = [
        route("balance", "safe", "solde"),
        route("pot", "unsafe", service),
        route("statement", "download", "releve"),
    ];
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":130}}")
    };
    let services = ["solde", "virement", "releve"].map(service);
    format!(
        "{{\"version\":\"{version}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":1048576,\"headerTimeout\":\"3s\",\"idleTimeout\":\"10s\"}},\
         \"virtualHosts\":[{{\"host\":\"shop.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

pub fn run(record: &Arc<Record>, folder: &Path, is_troubled: bool) -> Outcome {
    let places = PLACES.map(|(zone, service)| Place::new(zone, service));
    let mesh = Mesh::start(
        record.clone(),
        folder,
        places.into(),
        &config("r3", "virement"),
    );
    if !mesh.wait_ready() {
        return Outcome::NotRun("the proxies did not become ready");
    }
    // Traffic starts 8 s after the machines do.
    let start = record.now() + 8000;
    record.wait_until(start);
    let count = (PLACES.len() as f64 * SHARE).round() as usize;
    let watching = mesh.store.watchers("config");
    if watching.len() > count {
        return Outcome::NotRun("more proxies than the share watch the configuration");
    }
    let cut: Vec<usize> = match is_troubled {
        true => watching,
        false => Vec::new(),
    };
    for number in &cut {
        record.log(&format!(
            "{} is cut off from the store",
            mesh.machines[*number].name
        ));
        mesh.store.cut(*number, true);
    }
    record.wait_until(start + 500);
    mesh.store.write("config", "main", &config("r7", "solde"));
    let acknowledged = record.now();
    record.log("the store acknowledges version r7, in which /pot/ leads to solde");
    let end = start + CUT;
    thread::scope(|scope| {
        for number in (0..mesh.machines.len()).filter(|number| !cut.contains(number)) {
            let mesh = &mesh;
            scope.spawn(move || {
                let mut at = start + 500 + number as u64 * 20;
                while at < end {
                    mesh.record.wait_until(at);
                    let id = format!("{number:02}-{:06}", mesh.record.now());
                    mesh.request(number, "POST", "/pot/x", &id, 2500).ok();
                    at += INTERVAL;
                }
            });
        }
    });
    for number in &cut {
        mesh.store.cut(*number, false);
    }
    judge(record, &mesh, acknowledged)
}

/// Counts the requests that were sent later than the bounds after the acknowledgement and run by the
/// service that only the older version allows.
fn judge(record: &Record, mesh: &Mesh, acknowledged: u64) -> Outcome {
    let runs = mesh.runs.lock().unwrap();
    let sent = |id: &str| {
        id.split('-')
            .nth(1)
            .and_then(|t| t.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let delays = |service: &str| -> Vec<u64> {
        let of_service = runs
            .iter()
            .filter(|r| r.service == service && r.path == "/pot/x");
        of_service
            .map(|r| sent(&r.id).saturating_sub(acknowledged))
            .collect()
    };
    let (old, new) = (delays("virement"), delays("solde"));
    let stale = old.iter().filter(|d| **d > CONFIG_APPLY).count();
    let very_stale = old
        .iter()
        .filter(|d| **d > CONFIG_APPLY + STRETCH_MAX)
        .count();
    record.log(&format!(
        "/pot/ was run {} times by virement and {} times by solde after the acknowledgement; \
         {stale} times by virement for requests sent later than {CONFIG_APPLY} ms after it, \
         {very_stale} of them later than {} ms; last one {} ms after it",
        old.len(),
        new.len(),
        CONFIG_APPLY + STRETCH_MAX,
        old.iter().max().copied().unwrap_or(0),
    ));
    match (old.len() + new.len(), stale) {
        (0, _) => Outcome::NotRun("no request was run"),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
