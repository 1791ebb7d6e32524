//! Client of the platform's host list.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{CallSnafu, Client, Error, client, json};

const SERVICE: &str = "hosts";

/// An entry of the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// A router's address for other routers, or a target's address.
    pub address: SocketAddr,
    /// Whether the router or target is leaving.
    pub leaving: bool,
}

/// The platform's host list, which lags behind the actual state.
pub trait HostList: Clone + Send + Sync + 'static {
    /// All listed hosts.
    fn list(&self) -> impl Future<Output = Result<Vec<Listed>, Error>> + Send;
}

/// A client of the host list over HTTP.
#[derive(Clone)]
pub struct HttpHosts {
    address: SocketAddr,
    client: Client,
}

impl HttpHosts {
    /// Creates a client of the host list at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: client(Duration::from_secs(3)),
        }
    }
}

impl HostList for HttpHosts {
    async fn list(&self) -> Result<Vec<Listed>, Error> {
        let uri = format!("http://{}/v1/hosts", self.address);
        let request = self.client.get(uri).send();
        let response = request.await.context(CallSnafu { service: SERVICE })?;
        let entries: Vec<serde_json::Value> = json(SERVICE, response).await?;
        Ok(read_entries(entries))
    }
}

/// Reads the entries of the list. Malformed ones leave the others in force, and are logged in one line a list.
fn read_entries(entries: Vec<serde_json::Value>) -> Vec<Listed> {
    let mut listed = Vec::with_capacity(entries.len());
    let mut errors = Vec::new();
    for entry in entries {
        match serde_json::from_value(entry) {
            Ok(entry) => listed.push(entry),
            Err(error) => errors.push(error),
        }
    }
    if let Some(error) = errors.first() {
        tracing::warn!(event = "listing_refused", entries = errors.len(), %error);
    }
    listed
}
