//! Panic hook that aborts the process if an essential thread panics.
//!
//! A panic ends one task or one thread, and the rest of the process continues. After a panic in the control thread the
//! process would continue to serve with the configuration and the targets of that moment, so it aborts instead and is
//! restarted.

use std::any::Any;
use std::time::Duration;

/// Delay before the abort, in which the log writer writes the line of the panic.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Installs a hook that logs each panic, and aborts the process after one in the thread of this name, even if a task
/// on the thread catches it.
pub fn install_abort_hook(thread: &'static str) {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        previous_hook(info);
        let current = std::thread::current();
        let name = current.name().unwrap_or_default();
        let place = info.location().map(ToString::to_string);
        let place = place.unwrap_or_default();
        let reason = reason(info.payload());
        tracing::error!(event = "panicked", thread = name, place, reason);
        if name == thread {
            std::thread::sleep(LOG_FLUSH_DELAY);
            std::process::abort();
        }
    }));
}

/// The message of a panic; empty if its payload is not a string.
fn reason(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or_default()
}
