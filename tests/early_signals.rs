//! Signals that come before a process serves.
//!
//! A platform asks all processes by SIGHUP to read their settings again, also one that has just been started:
//! it was gone without a line in its log, and its host served nobody until the next start. The order of
//! events: the process starts, reads its settings, and only then took signals; until then the system ended it
//! at SIGHUP. The evidence was its exit status, signal 1.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A settings file whose reader waits for its writer.
fn pipe() -> PathBuf {
    let name = format!("lanedeck-pipe-{:x}", rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.unwrap().success());
    path
}

/// Starts a command with a setting that is wrong, so that it ends by itself once it has read its settings.
fn start(command: &str, wrong: &str, settings: &Path) -> Child {
    let mut process = Command::new(env!("CARGO_BIN_EXE_lanedeck"));
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("LANEDECK_")) {
        process.env_remove(name);
    }
    process
        .args([command, wrong, "-7"])
        .env("LANEDECK_CONFIG", settings)
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts")
}

/// How a process ends that gets SIGHUP while it reads its settings.
fn hangup_amid_settings(command: &str, wrong: &str) -> Option<i32> {
    let path = pipe();
    let mut process = start(command, wrong, &path);
    // Opens once the process has opened it.
    let mut settings = OpenOptions::new().write(true).open(&path).unwrap();
    let pid = process.id().to_string();
    let sent = Command::new("kill").args(["-HUP", &pid]).status();
    assert!(sent.unwrap().success());
    // A process that is gone does not read.
    let _ = settings.write_all(b"LANEDECK_NEW=unknown\n");
    drop(settings);
    let status = process.wait().unwrap();
    std::fs::remove_file(path).unwrap();
    status.code()
}

#[test]
fn gateway_hangup() {
    assert_eq!(hangup_amid_settings("gateway", "--share"), Some(2));
}

#[test]
fn router_hangup() {
    assert_eq!(hangup_amid_settings("router", "--queue"), Some(2));
}
