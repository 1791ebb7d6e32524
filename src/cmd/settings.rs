//! Settings from the command line and the environment, and how they are checked: all at once, so
//! that every wrong one is told.

use std::fmt::Write;
use std::str::FromStr;

use super::{Error, Result};

/// Prefix of environment variables.
const PREFIX: &str = "LANEDECK_";

/// Adds `--name value` for each variable that names an option of this usage text which takes a
/// value and is not on the command line.
pub fn with_environment(
    usage: &str,
    args: &[String],
    variables: impl Iterator<Item = (String, String)>,
) -> Vec<String> {
    let mut all = args.to_vec();
    for (name, value) in variables {
        let Some(name) = name.strip_prefix(PREFIX) else {
            continue;
        };
        let flag = format!("--{}", name.to_ascii_lowercase().replace('_', "-"));
        let given = args.iter().any(|arg| {
            let name = arg.split_once('=').map_or(arg.as_str(), |(name, _)| name);
            name == flag
        });
        if !given && takes_value(usage, &flag) {
            all.push(flag);
            all.push(value);
        }
    }
    all
}

/// Reads a settings file: a line `NAME=value` for each, of the names that the environment uses.
/// Empty lines and those that begin with `#` say nothing.
///
/// # Errors
/// The system's, or all lines that make no sense.
pub fn read_file(path: &str) -> Result<Vec<(String, String)>> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Io {
        what: path.to_owned(),
        source,
    })?;
    let lines = text.lines().map(str::trim).enumerate();
    let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    let mut pairs = Vec::new();
    let mut wrong = Vec::new();
    for (index, line) in lines {
        match line.split_once('=') {
            Some((name, value)) => pairs.push((name.trim().to_owned(), value.trim().to_owned())),
            None => wrong.push(format!("line {}: wanted is NAME=value", index + 1)),
        }
    }
    if wrong.is_empty() {
        return Ok(pairs);
    }
    Err(Error::Usage {
        message: format!("{path}:\n  {}", wrong.join("\n  ")),
    })
}

/// Whether a usage text shows the option with a value, which it writes in capitals.
fn takes_value(usage: &str, flag: &str) -> bool {
    usage.lines().any(|line| {
        let mut words = line.split_whitespace().skip_while(|word| *word != flag);
        words.next();
        let value = words.next();
        value.is_some_and(|word| {
            word.chars()
                .all(|c| c.is_ascii_uppercase() || "-:".contains(c))
        })
    })
}

/// Reads settings, and collects all that is wrong with them.
#[derive(Debug, Default)]
pub struct Checker {
    wrong: Vec<String>,
    in_force: String,
}

impl Checker {
    /// Reads a setting; `wanted` says what it accepts, and is told if it does not fit.
    pub fn take<T: FromStr>(
        &mut self,
        name: &str,
        value: &str,
        wanted: &str,
        fits: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let _ = writeln!(self.in_force, "{name}={value}");
        self.parse(name, value, wanted, fits)
    }

    /// Reads a secret setting: never printed.
    pub fn secret(
        &mut self,
        name: &str,
        value: &str,
        wanted: &str,
        fits: impl Fn(&String) -> bool,
    ) {
        let shown = if value.is_empty() { "" } else { "(set)" };
        let _ = writeln!(self.in_force, "{name}={shown}");
        if !fits(&value.to_owned()) {
            self.wrong.push(format!("--{name}: wanted is {wanted}"));
        }
    }

    fn parse<T: FromStr>(
        &mut self,
        name: &str,
        value: &str,
        wanted: &str,
        fits: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let parsed = value.parse().ok().filter(|value| fits(value));
        if parsed.is_none() {
            self.wrong
                .push(format!("--{name}: {value:?} given, wanted is {wanted}"));
        }
        parsed
    }

    /// What is in force, a line each; or all that is wrong.
    pub fn finish(self) -> Result<String> {
        if self.wrong.is_empty() {
            return Ok(self.in_force);
        }
        let message = format!("wrong settings:\n  {}", self.wrong.join("\n  "));
        Err(Error::Usage { message })
    }
}
