//! The signals that a serving process takes: SIGTERM and SIGINT stop it, SIGHUP has its settings read again.
//!
//! They are taken from the moment that [`Signals::new`] returns. Before, the system ends the process at each, but
//! for SIGHUP once [`hold_hangup`] has returned.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Reads and checks the settings again: what would be in force, or what is wrong with them, as text for the
/// log.
pub type Reload = Arc<dyn Fn() -> Result<String, String> + Send + Sync>;

/// The signals of a process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    reload: Reload,
    reloading: Option<JoinHandle<()>>,
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
    /// Takes the signals from now on. To be called before anything listens: a process that is ended by a signal
    /// ends with what has arrived unread.
    ///
    /// # Errors
    /// The system's, where they cannot be taken.
    pub fn new(reload: Reload) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            reload,
            reloading: None,
        })
    }

    /// Waits until the process is to stop; meanwhile each SIGHUP has the settings read again and logged. What
    /// the process was started with stays in force.
    pub async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => self.reload(),
            }
        }
    }

    /// Reads the settings on a thread of its own: a file that is slow to read would hold up all traffic, and a
    /// stop. One that is still being read is not read a second time.
    fn reload(&mut self) {
        if self
            .reloading
            .as_ref()
            .is_some_and(|reloading| !reloading.is_finished())
        {
            tracing::warn!(
                event = "reload_refused",
                error = "the settings are still being read"
            );
            return;
        }
        let reload = Arc::clone(&self.reload);
        let thread = thread::Builder::new().name("reload".to_owned());
        let started = thread.spawn(move || match reload() {
            Ok(in_force) => tracing::info!(event = "reloaded", settings = %in_force),
            Err(error) => tracing::error!(event = "reload_refused", %error),
        });
        match started {
            Ok(reloading) => self.reloading = Some(reloading),
            Err(error) => tracing::error!(event = "reload_refused", %error),
        }
    }
}
