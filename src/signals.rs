//! The signals that a serving process takes: SIGTERM and SIGINT stop it, SIGHUP has its settings read again.
//!
//! They are taken from the moment that [`Signals::new`] returns. Before, the system ends the process at each, but
//! for SIGHUP once [`hold_hangup`] has returned.

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

/// Keeps SIGHUP from ending the process from now on. To be called before the settings are read: one that comes
/// before they are in force asks for nothing more.
///
/// # Errors
/// The system's, where the signal cannot be taken.
pub fn hold_hangup() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let _inside = runtime.enter();
    // The system's own action stays replaced when this is dropped.
    signal(SignalKind::hangup()).map(drop)
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
