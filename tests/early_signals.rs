//! Signals that arrive before a process serves.
//!
//! A platform sends SIGHUP to all processes to have them reload their settings, also to one that has just started. If
//! the process handled signals only after it had read its settings, the system would end it at an earlier SIGHUP: its
//! exit status would be signal 1, its log would be empty, and its host would serve nobody until the next start.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Creates a named pipe as settings file, whose reader blocks until it is written.
fn settings_pipe() -> PathBuf {
    let name = format!("lanedeck-pipe-{:x}", rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    let created = Command::new("mkfifo").arg(&path).status();
    assert!(created.unwrap().success());
    path
}

/// Starts a command with an invalid value of the option, so that it exits by itself once it has read its settings.
fn start(command: &str, option: &str, settings: &Path) -> Child {
    let mut process = Command::new(env!("CARGO_BIN_EXE_lanedeck"));
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("LANEDECK_")) {
        process.env_remove(name);
    }
    process
        .args([command, option, "-7"])
        .env("LANEDECK_CONFIG", settings)
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts")
}

/// The exit code of a process that gets SIGHUP while it reads its settings; `None` if the signal ended it.
fn exit_code_after_hangup(command: &str, option: &str) -> Option<i32> {
    let path = settings_pipe();
    let mut process = start(command, option, &path);
    // Blocks until the process has opened the pipe.
    let mut settings = OpenOptions::new().write(true).open(&path).unwrap();
    let pid = process.id().to_string();
    let sent = Command::new("kill").args(["-HUP", &pid]).status();
    assert!(sent.unwrap().success());
    // The write fails if the signal has ended the process; the exit code shows it.
    let _ = settings.write_all(b"LANEDECK_NEW=unknown\n");
    drop(settings);
    let status = process.wait().unwrap();
    std::fs::remove_file(path).unwrap();
    status.code()
}

#[test]
fn gateway_hangup() {
    assert_eq!(exit_code_after_hangup("gateway", "--share"), Some(2));
}

#[test]
fn router_hangup() {
    assert_eq!(exit_code_after_hangup("router", "--queue"), Some(2));
}
