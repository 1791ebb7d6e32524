//! The record of a play: what was sent, answered and run, each with its time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begun: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    pub fn note(&self, text: &str) {
        let ms = self.begun.elapsed().as_secs_f64() * 1_000.0;
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{ms:10.1} {text}");
    }

    /// Notes a line and prints it too.
    pub fn tell(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
