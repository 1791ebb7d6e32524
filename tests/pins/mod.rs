//! Comparison of encoded values and command options with the literals that pin them.

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

/// Asserts that the value encodes to these bytes, and that the bytes decode to a value with the same encoding.
#[track_caller]
pub fn pin<T: Serialize + DeserializeOwned>(literal: &str, value: &T) {
    let bytes = util::encode(value);
    let name = std::any::type_name::<T>();
    assert_eq!(hex(&bytes), literal, "bytes of {name}");
    let decoded: T = util::decode(&bytes).expect("encoded values can be decoded");
    assert_eq!(
        hex(&util::encode(&decoded)),
        literal,
        "bytes of {name} after decoding"
    );
}

/// The options of a command as its help lists them: flag, value placeholder and default.
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
    let placeholder = words.get(flag + 1).copied().unwrap_or_default();
    let is_placeholder = placeholder
        .chars()
        .all(|c| c.is_ascii_uppercase() || c == ':');
    let placeholder = if is_placeholder { placeholder } else { "" };
    let default = line.rsplit_once("(default: ");
    let default = default.map_or("", |(_, text)| text.trim_end_matches(')'));
    format!("{} {placeholder} {default}", words[flag])
}
