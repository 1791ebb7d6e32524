//! `lanedeck check`: validates and prints a router's settings.

use super::router::{Args, check};
use super::{Result, print};

pub const ABOUT: &str = "Validates a router's settings, reports every invalid one, and prints the
effective settings. Starts no router. Takes the options of 'lanedeck router'.

Examples:
  lanedeck check --hall nacka --append-gap 50 --operator-hash HEX --fleet-key KEY
";

pub fn run(args: &Args) -> Result<()> {
    print(&check(args)?.in_force)
}
