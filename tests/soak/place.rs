//! A gateway of a run, across restarts: successive processes under one name and with the same addresses.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use crate::deployment::{Ask, Gateway, try_ask};

/// A gateway, and whether a step is in progress on it.
#[derive(Clone)]
pub struct GatewaySlot {
    pub gateway: Arc<Mutex<Gateway>>,
    pub is_busy: Arc<Mutex<bool>>,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub store: SocketAddr,
    pub log: PathBuf,
    /// Length of its log, in bytes, when the current process was started.
    pub log_start: Arc<Mutex<usize>>,
}

impl GatewaySlot {
    pub fn new(gateway: Gateway, logs: &std::path::Path) -> Self {
        Self {
            log: logs.join(format!("{}.log", gateway.name)),
            log_start: Arc::default(),
            name: gateway.name.clone(),
            front: gateway.front,
            ready: gateway.ready,
            store: gateway.store,
            gateway: Arc::new(Mutex::new(gateway)),
            is_busy: Arc::default(),
        }
    }

    pub fn has_ended(&self) -> bool {
        self.gateway.lock().unwrap().has_ended()
    }

    pub fn is_busy(&self) -> bool {
        *self.is_busy.lock().unwrap()
    }

    /// Whether the current process has logged that it started. Before it installs its handlers, SIGHUP kills it, as it
    /// kills any process by default.
    pub fn has_started(&self) -> bool {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let own = log
            .get(*self.log_start.lock().unwrap()..)
            .unwrap_or_default();
        String::from_utf8_lossy(own).contains("event=started")
    }

    pub fn start_again(&self) {
        let log = std::fs::metadata(&self.log);
        *self.log_start.lock().unwrap() = log.map_or(0, |log| log.len() as usize);
        self.gateway.lock().unwrap().restart();
    }

    /// Sends a signal if the process is running.
    pub fn signal(&self, name: &str) {
        let mut gateway = self.gateway.lock().unwrap();
        if !gateway.has_ended() {
            gateway.signal(name);
        }
    }

    pub async fn is_ready(&self) -> bool {
        let answer = try_ask(self.ready, &Ask::get("/api/readyz")).await;
        answer.is_some_and(|answer| answer.status == 200)
    }
}
