//! The signals that a serving process takes: SIGTERM and SIGINT stop it, SIGHUP has its settings read again.
//!
//! They are taken from the moment that [`Signals::new`] returns; before, the system ends the process at each.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Reads and checks the settings again: what would be in force, or what is wrong with them, as text for the
/// log.
pub type Reload = Box<dyn Fn() -> Result<String, String> + Send>;

/// The signals of a process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes the signals from now on.
    ///
    /// # Errors
    /// The system's, where they cannot be taken.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits until the process is to stop; meanwhile each SIGHUP has the settings read again and logged. What
    /// the process was started with stays in force.
    pub async fn stop(&mut self, reload: Reload) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => match reload() {
                    Ok(in_force) => tracing::info!(event = "reloaded", settings = %in_force),
                    Err(error) => tracing::error!(event = "reload_refused", %error),
                },
            }
        }
    }
}
