//! Parsing and validation of the command line and the settings.

mod common;

use common::area::{lanedeck, text};

const HASH: &str =
    "--operator-hash=0000000000000000000000000000000000000000000000000000000000000000";

#[test]
fn all_wrong() {
    let output = lanedeck(&[
        "check",
        "--hall=a b",
        "--queue=0",
        "--policy=best",
        "--log=somewhere",
    ]);
    let text = text(&output);
    assert_eq!(output.status.code(), Some(2));
    for option in [
        "--hall",
        "--queue",
        "--policy",
        "--log",
        "--operator-hash",
        "--fleet-key",
    ] {
        assert!(text.contains(option), "{option} is not reported: {text}");
    }
    assert!(text.contains("a whole number from 1 to 65536"), "{text}");
}

#[test]
fn secrets_hidden() {
    let output = lanedeck(&["check", HASH, "--fleet-key=not-to-be-seen"]);
    let text = text(&output);
    assert_eq!(output.status.code(), Some(0));
    assert!(
        text.contains("fleet-key=(set)") && !text.contains("not-to-be-seen"),
        "{text}"
    );
}

#[test]
fn from_environment() {
    let check = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_lanedeck"));
        command
            .arg("check")
            .args(args)
            .arg(HASH)
            .arg("--fleet-key=12345678");
        command
            .env("LANEDECK_APPEND_GAP", "77")
            .env("LANEDECK_UNKNOWN", "1");
        text(&command.output().unwrap())
    };
    assert!(check(&[]).contains("append-gap=77\n"));
    assert!(check(&["--append-gap=78"]).contains("append-gap=78\n"));
    assert!(check(&["--append-gap", "79"]).contains("append-gap=79\n"));
}

#[test]
fn help_texts() {
    for command in [
        "router", "intent", "burn", "check", "load", "standin", "demo",
    ] {
        let output = lanedeck(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(text(&output).contains("Examples:"), "{command}");
    }
    assert_eq!(lanedeck(&["dance"]).status.code(), Some(2));
    assert_eq!(lanedeck(&[]).status.code(), Some(2));
}

#[test]
fn demo_once() {
    let output = lanedeck(&["demo", "--once"]);
    let text = text(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("request=streamed verdict=ran"), "{text}");
    assert!(
        text.contains("request=not_repeatable verdict=ran"),
        "{text}"
    );
    assert!(
        text.contains("request=empty_budget verdict=not_run"),
        "{text}"
    );
    assert!(text.contains("check=ok"), "{text}");
}
