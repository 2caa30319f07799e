//! Child processes of the soak, and the signals sent to them.
//!
//! All running children are registered, so that none outlives the soak.

use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Ids of the running children. A child is reaped only under this lock, so an id in the set cannot
/// have been reused by a process of someone else.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills every child, and exits with `code`.
pub fn kill_all_and_exit(code: i32) -> ! {
    // The lock is held until the exit, so that no other thread can start another child.
    let running = running();
    for id in running.iter() {
        send_signal(*id, Signal::CONT);
        send_signal(*id, Signal::KILL);
    }
    std::process::exit(code)
}

fn send_signal(id: u32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(id as i32) {
        // The process may have exited already; the error is harmless.
        kill_process(pid, signal).ok();
    }
}

/// A running child process. It is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `program proxy --settings settings`, with its output appended to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the process cannot be started.
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_none() {
            // The child has not been reaped yet, so its id cannot belong to another process.
            send_signal(self.child.id(), signal);
        }
    }

    /// Returns the exit status if the process has exited, and reaps it.
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
