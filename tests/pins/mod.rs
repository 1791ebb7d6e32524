//! How values and settings are compared with the literals that pin them.

use std::fmt::Write as _;
use std::process::Command;

use lanedeck::util;
use serde::Serialize;
use serde::de::DeserializeOwned;

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").unwrap();
    }
    text
}

/// The value's bytes are these, and these bytes are read as a value of the same bytes.
#[track_caller]
pub fn pin<T: Serialize + DeserializeOwned>(literal: &str, value: &T) {
    let bytes = util::encode(value);
    let name = std::any::type_name::<T>();
    assert_eq!(hex(&bytes), literal, "bytes of {name}");
    let read: T = util::decode(&bytes).expect("what is written can be read");
    assert_eq!(hex(&util::encode(&read)), literal, "read again: {name}");
}

/// Options of a command as its help lists them: flag, form and default.
pub fn options(command: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_lanedeck"))
        .args([command, "--help"])
        .output()
        .expect("the binary starts");
    let text = String::from_utf8(output.stdout).unwrap();
    let listed = text
        .lines()
        .filter(|line| line.starts_with("  --") || line.starts_with("  -h"));
    listed.map(option).collect::<Vec<_>>().join("\n")
}

fn option(line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let flag = words
        .iter()
        .position(|word| word.starts_with("--"))
        .unwrap();
    let form = words.get(flag + 1).copied().unwrap_or_default();
    let is_form = form.chars().all(|c| c.is_ascii_uppercase() || c == ':');
    let form = if is_form { form } else { "" };
    let default = line.rsplit_once("(default: ");
    let default = default.map_or("", |(_, text)| text.trim_end_matches(')'));
    format!("{} {form} {default}", words[flag])
}
