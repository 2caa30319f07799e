//! What happened in a case, with times since its start, for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = Mutex::new(File::create(path).expect("record file"));
        Record {
            start: Instant::now(),
            file,
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn log(&self, line: &str) {
        let at = self.now() as f64 / 1000.0;
        writeln!(self.file.lock().unwrap(), "{at:9.3} s  {line}").ok();
    }

    /// Sleeps until `ms` milliseconds after the start.
    pub fn wait_until(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms.saturating_sub(self.now())));
    }
}
