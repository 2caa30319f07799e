//! The open connections to the store go silent while the configuration changes.

use crate::late_config::{change, judge, CONFIG_APPLY_MS};
use crate::mesh::{Machine, Mesh};
use crate::Outcome;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time without a disruption after which a machine is in touch again.
const STABLE_WINDOW_MS: u64 = 3000;
/// Time from the change that is made before the connections go silent.
const LEAD: Duration = Duration::from_millis(500);
/// Time from the silence to the change that is judged.
const GAP: Duration = Duration::from_millis(200);
/// Time from the silence to the last request.
const JUDGED_MS: u64 = 9000;

pub fn play(mesh: &Mesh, has_trouble: bool) -> Outcome {
    mesh.wait_ready()?;
    thread::sleep(Duration::from_secs(10));
    let routes = [("unsafe", "/pay/", "till"), ("safe", "/old/", "desk")];
    mesh.configure(8, 1100, &routes);
    thread::sleep(LEAD);
    let silent_at = mesh.record.now();
    if has_trouble {
        mesh.machines
            .iter()
            .for_each(|m| m.store_path.silence_connections());
        mesh.record
            .add("all open connections to the store go silent".to_owned());
    }
    thread::sleep(GAP);
    let changed_at = change(mesh, 9);
    let bound = (changed_at + CONFIG_APPLY_MS).max(silent_at + STABLE_WINDOW_MS);
    let machines: Vec<&Arc<Machine>> = mesh.machines.iter().collect();
    let late = judge(mesh, &machines, changed_at, bound, silent_at + JUDGED_MS);
    late.iter().for_each(|line| mesh.record.add(line.clone()));
    println!(
        "{} requests of machines in touch handled by the older version",
        late.len()
    );
    Ok(!late.is_empty())
}
