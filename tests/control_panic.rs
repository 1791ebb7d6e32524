//! A panic of an essential thread ends the process; a panic of another thread does not.

use std::process::{Command, ExitStatus};
use std::thread;

use lanedeck::panics;

/// Environment variable with the name of the thread that panics.
const THREAD_VARIABLE: &str = "CONTROL_PANIC_THREAD";
const ESSENTIAL_THREAD: &str = "needed";

/// Runs this test binary again as a process in which a thread of this name panics, and returns its exit status.
fn status_after(name: &str) -> ExitStatus {
    let program = std::env::current_exe().unwrap();
    let mut command = Command::new(program);
    let output = command
        .arg("--exact")
        .arg("panicking_process")
        .env(THREAD_VARIABLE, name);
    output.output().unwrap().status
}

/// Runs in the child process of the other tests; does nothing when no thread is named.
#[test]
fn panicking_process() {
    let Ok(name) = std::env::var(THREAD_VARIABLE) else {
        return;
    };
    panics::install_abort_hook(ESSENTIAL_THREAD);
    let thread = thread::Builder::new().name(name);
    let result = thread.spawn(|| panic!("a fault")).unwrap().join();
    assert!(result.is_err());
}

/// Guards against a router that keeps serving for minutes with an outdated configuration after its control thread has
/// panicked.
#[test]
fn needed_thread() {
    assert!(!status_after(ESSENTIAL_THREAD).success());
}

#[test]
fn other_thread() {
    assert!(status_after("another").success());
}
