//! `lanedeck check`: a router's settings, checked and printed.

use super::router::{Args, check};
use super::{Result, print};

pub const ABOUT: &str = "Checks a router's settings, tells all that are wrong, and prints what
would be in force. Starts nothing. Takes the options of 'lanedeck router'.

Examples:
  lanedeck check --hall nacka --append-gap 50 --operator-hash HEX --fleet-key KEY
";

pub fn run(args: &Args) -> Result<()> {
    print(&check(args)?.in_force)
}
