//! Processor time and memory of a process, as the kernel counts them.

use rf_base::Millis;
use serde::Serialize;
use std::fs;

/// Length of a tick in which the kernel counts processor time.
const TICK: Millis = Millis(10);

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Millis,
    /// Resident memory in KB.
    pub resident_kb: u64,
}

/// Reads what process `pid` has used; zeros where it is gone.
pub fn read_usage(pid: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    Usage {
        cpu: parse_cpu(&stat).unwrap_or_default(),
        resident_kb: parse_resident(&status).unwrap_or_default(),
    }
}

fn parse_cpu(stat: &str) -> Option<Millis> {
    // The name in parentheses may hold spaces; fields are counted from after it.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Millis((user + system) * TICK.0))
}

fn parse_resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
