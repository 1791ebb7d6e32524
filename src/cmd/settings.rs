//! Reads settings from the command line, the environment and a file, and validates them together, so that one
//! error reports every invalid one.

use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::str::FromStr;

use super::{Error, Result};
use crate::units::Millis;
use crate::util::is_name;

/// Prefix of the environment variables that set options.
const PREFIX: &str = "LANEDECK_";

/// Appends `--name value` for each variable that names an option which takes a value according to the usage text
/// and is not on the command line.
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
        let is_given = args.iter().any(|arg| {
            let name = arg.split_once('=').map_or(arg.as_str(), |(name, _)| name);
            name == flag
        });
        if !is_given && takes_value(usage, &flag) {
            all.push(flag);
            all.push(value);
        }
    }
    all
}

/// Reads a settings file of lines `NAME=value`, with the names of the environment variables. Empty lines, lines that
/// begin with `#` and lines without a value are ignored.
///
/// # Errors
/// The error of reading the file, or a usage error that lists every malformed line.
pub fn read_file(path: &str) -> Result<Vec<(String, String)>> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Io {
        what: path.to_owned(),
        source,
    })?;
    let lines = text.lines().map(str::trim).enumerate();
    let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    let mut pairs = Vec::new();
    let mut errors = Vec::new();
    for (index, line) in lines {
        match line.split_once('=') {
            Some((_, value)) if is_blank(value) => {}
            Some((name, value)) => pairs.push((name.trim().to_owned(), value.trim().to_owned())),
            None => errors.push(format!("line {}: wanted is NAME=value", index + 1)),
        }
    }
    if errors.is_empty() {
        return Ok(pairs);
    }
    Err(Error::Usage {
        message: format!("{path}:\n  {}", errors.join("\n  ")),
    })
}

/// Whether a value is missing. A deployment that fills in a template without a value leaves it empty, or only its
/// unit.
fn is_blank(value: &str) -> bool {
    matches!(value.trim(), "" | "s" | "ms")
}

/// Whether the usage text lists the option with a value placeholder, which is written in capitals.
fn takes_value(usage: &str, flag: &str) -> bool {
    usage.lines().any(|line| {
        let mut words = line.split_whitespace().skip_while(|word| *word != flag);
        words.next();
        let placeholder = words.next();
        placeholder.is_some_and(|word| {
            word.chars()
                .all(|c| c.is_ascii_uppercase() || "-:".contains(c))
        })
    })
}

const ADDRESS: &str = "an IP address and a port";
const NAME: &str = "1 to 64 letters, digits, dots, dashes or underscores";
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const FLEET_KEY_LENGTHS: std::ops::RangeInclusive<usize> = 8..=256;

/// A duration in milliseconds. As text it is a number of milliseconds, with or without the suffix `ms`, or of
/// seconds with the suffix `s`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DurationMs(f64);

impl FromStr for DurationMs {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        const MILLIS_PER_SECOND: f64 = 1_000.0;
        if let Some(millis) = text.strip_suffix("ms") {
            return millis.trim().parse().map(Self);
        }
        match text.strip_suffix('s') {
            Some(seconds) => {
                let seconds: f64 = seconds.trim().parse()?;
                Ok(Self(seconds * MILLIS_PER_SECOND))
            }
            None => text.trim().parse().map(Self),
        }
    }
}

/// Parses and validates settings, and collects the errors of all of them.
#[derive(Debug, Default)]
pub struct Checker {
    errors: Vec<String>,
    in_force: String,
}

impl Checker {
    /// Parses a setting. `wanted` describes the accepted values in the error for any other.
    pub fn setting<T: FromStr>(
        &mut self,
        name: &str,
        value: &str,
        wanted: &str,
        fits: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let _ = writeln!(self.in_force, "{name}={value}");
        self.parse(name, value, wanted, fits)
    }

    /// Parses an address.
    pub fn address(&mut self, name: &str, value: &str) -> Option<SocketAddr> {
        self.setting(name, value, ADDRESS, |_| true)
    }

    /// Parses a name.
    pub fn name(&mut self, name: &str, value: &str) -> Option<String> {
        self.setting(name, value, NAME, |name: &String| is_name(name))
    }

    /// Parses a number within inclusive bounds.
    pub fn number<T>(&mut self, name: &str, value: &str, least: T, most: T) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display,
    {
        self.in_range(name, value, "", least, most)
    }

    /// Parses an integer within inclusive bounds.
    pub fn integer<T>(&mut self, name: &str, value: &str, least: T, most: T) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display,
    {
        self.in_range(name, value, "a whole number from ", least, most)
    }

    fn in_range<T>(&mut self, name: &str, value: &str, kind: &str, least: T, most: T) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display,
    {
        let wanted = format!("{kind}{least} to {most}");
        let fits = |number: &T| (&least..=&most).contains(&number);
        self.setting(name, value, &wanted, fits)
    }

    /// Parses a duration, with inclusive bounds in milliseconds.
    pub fn duration(&mut self, name: &str, value: &str, least: f64, most: f64) -> Option<Millis> {
        let wanted = format!("{least} to {most} milliseconds, or seconds with the suffix s");
        let fits = |duration: &DurationMs| (least..=most).contains(&duration.0);
        self.setting(name, value, &wanted, fits)
            .map(|duration| Millis(duration.0 as u64))
    }

    /// Parses the log level.
    pub fn log_level(&mut self, value: &str) -> Option<String> {
        let wanted = LEVELS.join(", ");
        self.setting("log-level", value, &wanted, |level: &String| {
            LEVELS.contains(&level.as_str())
        })
    }

    /// Validates the shared secret that the routers of a fleet authenticate with.
    pub fn fleet_key(&mut self, value: &str) {
        let fits = |text: &String| {
            FLEET_KEY_LENGTHS.contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
        };
        self.secret("fleet-key", value, "8 to 256 visible characters", fits);
    }

    /// Validates a secret setting. Neither the effective settings nor an error shows its value.
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
            self.errors.push(format!("--{name}: wanted is {wanted}"));
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
            self.errors
                .push(format!("--{name}: {value:?} given, wanted is {wanted}"));
        }
        parsed
    }

    /// Returns the effective settings, one per line, or an error that lists every invalid one.
    pub fn finish(self) -> Result<String> {
        if self.errors.is_empty() {
            return Ok(self.in_force);
        }
        let message = format!("invalid settings:\n  {}", self.errors.join("\n  "));
        Err(Error::Usage { message })
    }
}

/// The error for a setting that is absent although no error was collected, which only a bug can cause.
pub fn missing() -> Error {
    Error::Usage {
        message: "a setting is missing".to_owned(),
    }
}
