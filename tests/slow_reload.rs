//! A reload whose settings file is slow to read, for example on a slow disk.
//!
//! Guards against reading the file on the traffic thread after a SIGHUP: requests and SIGTERM would wait until the read
//! ends. A pipe in the place of the file blocks the read.

mod deployment;

use std::fs;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use deployment::{Ask, address_flags, free_address, try_ask, until};

/// Sends a process a signal.
fn signal(process: &Child, name: &str) {
    let pid = process.id().to_string();
    let sent = Command::new("kill").args([name, &pid]).status();
    assert!(sent.unwrap().success());
}

/// Replaces a file by a pipe, so that reading it blocks.
fn block(path: &Path) {
    fs::remove_file(path).unwrap();
    let made = Command::new("mkfifo").arg(path).status();
    assert!(made.unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_settings() {
    let name = format!("lanedeck-slow-{:x}", rand::random::<u64>());
    let settings = std::env::temp_dir().join(name);
    fs::write(&settings, "LANEDECK_GRACE=1000\n").unwrap();
    let places: [_; 6] = std::array::from_fn(|_| free_address());
    let [_, _, _, _, metrics, _] = places;
    let mut command = Command::new(env!("CARGO_BIN_EXE_lanedeck"));
    command
        .arg("gateway")
        .args(address_flags(places))
        .env("LANEDECK_CONFIG", &settings)
        .stdout(Stdio::null());
    let mut process = command.spawn().expect("the binary starts");
    let is_up = || async { try_ask(metrics, &Ask::get("/metrics")).await.is_some() };
    until(is_up).await;
    block(&settings);
    signal(&process, "-HUP");
    signal(&process, "-HUP");
    // The open succeeds once the process has begun to read.
    let blocked = settings.clone();
    let open = move || fs::OpenOptions::new().write(true).open(blocked);
    let writer = tokio::task::spawn_blocking(open).await.unwrap().unwrap();
    let is_answered = tokio::time::timeout(deployment::LONG, is_up()).await;
    signal(&process, "-TERM");
    let stopped = tokio::time::timeout(
        deployment::LONG,
        until(|| {
            let ended = matches!(process.try_wait(), Ok(Some(_)));
            async move { ended }
        }),
    )
    .await;
    if stopped.is_err() {
        process.kill().unwrap();
    }
    drop(writer);
    fs::remove_file(settings).unwrap();
    assert_eq!(
        is_answered,
        Ok(true),
        "requests are answered during the read"
    );
    assert!(stopped.is_ok(), "the process stops during the read");
}
