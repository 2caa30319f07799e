//! One process of the program, and the signals that it gets.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

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
        let child = Command::new(program)
            .arg("proxy")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        Ok(Process { child })
    }

    /// Returns the id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        if self.ended().is_none()
            && let Some(pid) = Pid::from_raw(self.child.id() as i32)
        {
            // The child is not reaped yet, so the id cannot belong to another process.
            kill_process(pid, signal).ok();
        }
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::KILL);
        self.child.wait().ok();
    }
}
