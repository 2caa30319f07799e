//! Record of what was sent, answered and run.

use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: String) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line));
    }

    pub fn write(&self, path: &str) {
        let lines = self.lines.lock().unwrap();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>7}.{:03} s  {line}\n", at / 1000, at % 1000))
            .collect();
        std::fs::write(path, text).expect("the record can be written");
    }
}
