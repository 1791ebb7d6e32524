//! What becomes of a panic.
//!
//! A panic ends one task or one thread, and the rest of the process goes on. A process whose control thread has ended
//! in part would serve on by the configuration and the targets of that moment, so it ends as a whole and is started
//! again.

use std::any::Any;
use std::time::Duration;

/// Time for the log's writer to put out what has ended the process.
const LAST_LINE: Duration = Duration::from_millis(50);

/// Logs each panic, and has the process end by one in the thread of this name, also where a task of it has caught it.
pub fn end_with(thread: &'static str) {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        let current = std::thread::current();
        let name = current.name().unwrap_or_default();
        let place = info.location().map(ToString::to_string);
        let place = place.unwrap_or_default();
        let reason = reason(info.payload());
        tracing::error!(event = "panicked", thread = name, place, reason);
        if name == thread {
            std::thread::sleep(LAST_LINE);
            std::process::abort();
        }
    }));
}

/// What a panic says, where it says something that can be printed.
fn reason(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or_default()
}
