//! Names of targets' incarnations.
//!
//! A target may restart under the same id. The restart loses its state, so what the gateway knows about it becomes
//! invalid as well: its cached blocks, load, health, requests and connections. The gateway therefore keeps what
//! it knows by incarnation, under a name made of the id and the start time; a target whose entry has no start time is
//! named by its id alone.

use crate::units::Millis;

/// Separates the id from the start time; no id contains it.
pub const SEPARATOR: char = '@';

/// The name of the incarnation of a target that started at `start`, in milliseconds since 1970.
pub fn name(id: &str, start: Option<Millis>) -> String {
    match start {
        Some(start) => format!("{id}{SEPARATOR}{start}"),
        None => id.to_owned(),
    }
}

/// The id of the target that an incarnation's name contains.
pub fn id(name: &str) -> &str {
    name.split_once(SEPARATOR).map_or(name, |(id, _)| id)
}

/// When the incarnation started, if that is known.
pub fn start_time(name: &str) -> Option<Millis> {
    let (_, start) = name.split_once(SEPARATOR)?;
    start.parse().ok().map(Millis)
}

/// Whether an incarnation of a target started before another one.
pub fn is_older(name: &str, other: &str) -> bool {
    match (start_time(name), start_time(other)) {
        (Some(start), Some(other)) => start < other,
        // An entry without a start time was written before this program recorded start times, or by another writer.
        (None, Some(_)) => true,
        (_, None) => false,
    }
}
