//! CPU time and memory of a process, read from `/proc`.

use rf_base::Millis;
use serde::Serialize;
use std::fs;

/// Length of the clock tick in which `/proc` reports CPU time (`USER_HZ` of 100).
const TICK: Millis = Millis(10);

/// Resources used by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// User and system CPU time since the start of the process.
    pub cpu: Millis,
    /// Resident memory in KiB.
    pub resident_kb: u64,
}

/// Reads the resource usage of process `pid`; all zeros if it has ended.
pub fn read_usage(pid: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    Usage {
        cpu: parse_cpu(&stat).unwrap_or_default(),
        resident_kb: parse_memory(&status, "VmRSS:").unwrap_or_default(),
    }
}

/// Reads the peak resident memory of process `pid` in MiB, rounded up; `None` if it has ended.
pub fn read_peak(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    Some(parse_memory(&status, "VmHWM:")?.div_ceil(1024))
}

fn parse_cpu(stat: &str) -> Option<Millis> {
    // The second field is the name in parentheses, which may contain spaces, so fields are counted
    // from the closing parenthesis.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Millis((user + system) * TICK.0))
}

/// Returns the figure in the line of `status` that starts with `name`, in KiB.
fn parse_memory(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
