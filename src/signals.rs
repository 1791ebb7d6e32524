//! Signal handling of a serving process: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.
//!
//! The handlers are installed when [`Signals::new`] returns. Before that, each signal terminates the process, except
//! for SIGHUP once [`ignore_hangup`] has returned.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Reads and validates the settings again. Returns the effective settings or the errors as text for the log.
pub type Reload = Arc<dyn Fn() -> Result<String, String> + Send + Sync>;

/// Signal handlers of a process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    reload: Reload,
    reloading: Option<JoinHandle<()>>,
}

/// Prevents SIGHUP from terminating the process. To be called before the settings are read: a SIGHUP that arrives
/// before they are in force needs no reload.
///
/// # Errors
/// The system's error if the handler cannot be installed.
pub fn ignore_hangup() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let _context = runtime.enter();
    // The handler remains installed after the stream is dropped.
    signal(SignalKind::hangup()).map(drop)
}

impl Signals {
    /// Installs the handlers. To be called before any socket listens: a process that a signal terminates loses the
    /// requests that have arrived but are still unread.
    ///
    /// # Errors
    /// The system's error if a handler cannot be installed.
    pub fn new(reload: Reload) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            reload,
            reloading: None,
        })
    }

    /// Waits for SIGTERM or SIGINT. Meanwhile each SIGHUP reads the settings again and logs them; the settings that
    /// the process was started with stay in force.
    pub async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => self.reload(),
            }
        }
    }

    /// Reads the settings on a separate thread, since a file that is slow to read would block all traffic and a stop.
    /// While a read is in progress, a further reload is refused.
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
        let spawned = thread.spawn(move || match reload() {
            Ok(in_force) => tracing::info!(event = "reloaded", settings = %in_force),
            Err(error) => tracing::error!(event = "reload_refused", %error),
        });
        match spawned {
            Ok(reloading) => self.reloading = Some(reloading),
            Err(error) => tracing::error!(event = "reload_refused", %error),
        }
    }
}
