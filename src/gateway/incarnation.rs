//! Names of targets' incarnations.
//!
//! A target may start again under the id that it had. It then knows nothing of before, so what was known of it ends
//! too: its cached blocks, load, health, requests and connections. Whatever the gateway knows of a target, it knows
//! of one incarnation, by a name made of the id and the time of its start; a target whose entry tells no start has
//! only its id.

use crate::units::Millis;

/// Between the id and the start; no id has it.
pub const SEPARATOR: char = '@';

/// The name of the incarnation that a target started at `start`, in milliseconds since 1970.
pub fn name(id: &str, start: Option<Millis>) -> String {
    match start {
        Some(start) => format!("{id}{SEPARATOR}{start}"),
        None => id.to_owned(),
    }
}

/// The id of the target.
pub fn id(name: &str) -> &str {
    name.split_once(SEPARATOR).map_or(name, |(id, _)| id)
}

/// When the incarnation began, where that is known.
pub fn start_time(name: &str) -> Option<Millis> {
    let (_, start) = name.split_once(SEPARATOR)?;
    start.parse().ok().map(Millis)
}

/// Whether an incarnation of a target began before another one.
pub fn is_older(name: &str, other: &str) -> bool {
    match (start_time(name), start_time(other)) {
        (Some(start), Some(other)) => start < other,
        // An entry that tells no start is of a program before this one knew of them, or of another writer.
        (None, Some(_)) => true,
        (_, None) => false,
    }
}
