//! A panic of the thread that a process cannot do without ends the process; one of another thread does not.

use std::process::{Command, ExitStatus};
use std::thread;

use lanedeck::panics;

const ROLE: &str = "CONTROL_PANIC_THREAD";
const NEEDED: &str = "needed";

/// Runs this test's program again, as a process in which a thread of this name panics.
fn status_after(name: &str) -> ExitStatus {
    let program = std::env::current_exe().unwrap();
    let mut command = Command::new(program);
    let output = command
        .arg("--exact")
        .arg("panicking_process")
        .env(ROLE, name);
    output.output().unwrap().status
}

/// The process of the other tests; without a name it has nothing to do.
#[test]
fn panicking_process() {
    let Ok(name) = std::env::var(ROLE) else {
        return;
    };
    panics::end_with(NEEDED);
    let thread = thread::Builder::new().name(name);
    let ended = thread.spawn(|| panic!("a fault")).unwrap().join();
    assert!(ended.is_err());
}

/// A router served on for minutes by its old configuration.
#[test]
fn needed_thread() {
    assert!(!status_after(NEEDED).success());
}

#[test]
fn other_thread() {
    assert!(status_after("another").success());
}
