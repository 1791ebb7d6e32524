//! A child process of the real binary, with its log file.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A child process, killed on drop.
pub struct Process {
    child: Child,
    log: LogFile,
    pub address: SocketAddr,
    pub peer: SocketAddr,
}

impl Process {
    pub(super) fn start(args: &[String], log: LogFile) -> Self {
        let mut command = binary();
        command.args(args).stdout(Stdio::piped()).stderr(log.open());
        let mut child = command.spawn().expect("the binary starts");
        let out = child.stdout.take().expect("a pipe");
        let mut line = String::new();
        BufReader::new(out)
            .read_line(&mut line)
            .expect("a first line");
        let addresses: Vec<SocketAddr> = line
            .split_whitespace()
            .filter_map(|pair| pair.split_once('=').and_then(|(_, text)| text.parse().ok()))
            .collect();
        let address = *addresses
            .first()
            .unwrap_or_else(|| panic!("no address: {line:?} {args:?}"));
        let peer = *addresses.last().unwrap();
        Self {
            child,
            log,
            address,
            peer,
        }
    }

    /// Whether the process has logged a line with this event.
    pub fn has_logged(&self, event: &str) -> bool {
        let log = std::fs::read_to_string(&self.log.path).unwrap();
        let event = format!("event={event}");
        log.lines()
            .any(|line| line.split_whitespace().any(|pair| pair == event))
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.unwrap().success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits up to `most` for the process to exit by itself; returns its exit code.
    pub fn wait(&mut self, most: Duration) -> Option<i32> {
        let deadline = Instant::now() + most;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Log file of a child. Kept if `LANEDECK_TEST_LOGS` names a folder, else removed with the child.
pub(super) struct LogFile {
    path: PathBuf,
    is_kept: bool,
}

impl LogFile {
    pub(super) fn new(name: &str) -> Self {
        let kept = std::env::var_os("LANEDECK_TEST_LOGS").map(PathBuf::from);
        let is_kept = kept.is_some();
        let folder = kept.unwrap_or_else(|| PathBuf::from(env!("CARGO_TARGET_TMPDIR")));
        let path = folder.join(format!("{name}-{}.log", rand::random::<u64>()));
        Self { path, is_kept }
    }

    /// A log file that is kept; the next process of the same name appends to it.
    pub(super) fn kept(folder: &Path, name: &str) -> Self {
        let path = folder.join(format!("{name}.log"));
        Self {
            path,
            is_kept: true,
        }
    }

    fn open(&self) -> std::fs::File {
        let mut options = std::fs::OpenOptions::new();
        let file = options.create(true).append(true).open(&self.path);
        file.expect("a file for logs")
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        if !self.is_kept {
            // A leftover file does no harm.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

pub(super) fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanedeck"));
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("LANEDECK_")) {
        command.env_remove(name);
    }
    command
}
