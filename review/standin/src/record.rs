//! The record of what was sent, answered and run.

use std::{
    fs,
    io::Write as _,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes lines with the time since the start of the case.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    /// Creates `record.txt` in the folder of the case, which `RECORD` names.
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| String::from("record.txt"));
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path)?)),
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("record lock");
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} s  {text}", self.now().as_secs_f64());
    }
}
