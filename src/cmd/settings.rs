//! Settings from the command line and the environment, and how they are checked: all at once, so
//! that every wrong one is told.

use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::str::FromStr;

use super::{Error, Result};
use crate::units::Millis;
use crate::util::is_name;

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
/// Empty lines, those that begin with `#` and those without a value say nothing.
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
            Some((_, value)) if is_blank(value) => {}
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

/// Whether a value says nothing, as where a deployment has none for a gap: it is empty, or only a
/// unit.
fn is_blank(value: &str) -> bool {
    matches!(value.trim(), "" | "s" | "ms")
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

const ADDRESS: &str = "an IP number and a port";
const NAME: &str = "1 to 64 letters, digits, dots, dashes or underscores";
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const KEY_LENGTHS: std::ops::RangeInclusive<usize> = 8..=256;

/// A span of time: a number of milliseconds, or with `s` after it of seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Span(f64);

impl FromStr for Span {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        const MILLIS_A_SECOND: f64 = 1_000.0;
        if let Some(millis) = text.strip_suffix("ms") {
            return millis.trim().parse().map(Self);
        }
        match text.strip_suffix('s') {
            Some(seconds) => {
                let seconds: f64 = seconds.trim().parse()?;
                Ok(Self(seconds * MILLIS_A_SECOND))
            }
            None => text.trim().parse().map(Self),
        }
    }
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

    /// Reads an address.
    pub fn address(&mut self, name: &str, value: &str) -> Option<SocketAddr> {
        self.take(name, value, ADDRESS, |_| true)
    }

    /// Reads a name.
    pub fn name(&mut self, name: &str, value: &str) -> Option<String> {
        self.take(name, value, NAME, |name: &String| is_name(name))
    }

    /// Reads a number with its bounds.
    pub fn number<T>(&mut self, name: &str, value: &str, least: T, most: T) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display,
    {
        self.within(name, value, "", least, most)
    }

    /// Reads a whole number with its bounds.
    pub fn whole<T>(&mut self, name: &str, value: &str, least: T, most: T) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display,
    {
        self.within(name, value, "a whole number from ", least, most)
    }

    fn within<T>(&mut self, name: &str, value: &str, kind: &str, least: T, most: T) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display,
    {
        let wanted = format!("{kind}{least} to {most}");
        let fits = |number: &T| (&least..=&most).contains(&number);
        self.take(name, value, &wanted, fits)
    }

    /// Reads a span of time, with bounds in milliseconds.
    pub fn span(&mut self, name: &str, value: &str, least: f64, most: f64) -> Option<Millis> {
        let wanted = format!("{least} to {most} milliseconds, or seconds with an s");
        let fits = |span: &Span| (least..=most).contains(&span.0);
        self.take(name, value, &wanted, fits)
            .map(|span| Millis(span.0 as u64))
    }

    /// Reads the level of logs.
    pub fn log_level(&mut self, value: &str) -> Option<String> {
        let wanted = LEVELS.join(", ");
        self.take("log-level", value, &wanted, |level: &String| {
            LEVELS.contains(&level.as_str())
        })
    }

    /// Reads what routers of a fleet show each other.
    pub fn fleet_key(&mut self, value: &str) {
        let fits = |text: &String| {
            KEY_LENGTHS.contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
        };
        self.secret("fleet-key", value, "8 to 256 visible characters", fits);
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

/// A setting that is neither wrong nor there: a fault of ours, told all the same.
pub fn missing() -> Error {
    Error::Usage {
        message: "a setting is missing".to_owned(),
    }
}
