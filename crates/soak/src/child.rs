//! One process of the program, and the signals that it gets.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Ids of the processes that run. A process is reaped only under this lock, so each id in it
/// belongs to a process of this soak.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends every process of this soak, and then the soak itself.
pub fn kill_all_and_exit(code: i32) -> ! {
    // The lock is kept, so that no other thread starts one more.
    let running = running();
    for id in running.iter() {
        send_signal(*id, Signal::CONT);
        send_signal(*id, Signal::KILL);
    }
    std::process::exit(code)
}

fn send_signal(id: u32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(id as i32) {
        // A process that has just ended needs no signal.
        kill_process(pid, signal).ok();
    }
}

/// A process that this soak started. It is killed where it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program` with `settings`; its output is added to `log`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Process> {
        let output = OpenOptions::new().create(true).append(true).open(log)?;
        let errors = output.try_clone()?;
        let mut running = running();
        let child = Command::new(program)
            .arg("proxy")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        running.insert(child.id());
        Ok(Process { child })
    }

    /// Returns the id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_none() {
            // The child is not reaped yet, so the id cannot belong to another process.
            send_signal(self.child.id(), signal);
        }
    }

    /// Returns how the process ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let mut running = running();
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            running.remove(&self.child.id());
        }
        status
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::KILL);
        let mut running = running();
        self.child.wait().ok();
        running.remove(&self.child.id());
    }
}
