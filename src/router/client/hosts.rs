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
        Ok(entries.into_iter().filter_map(read_entry).collect())
    }
}

/// Reads an entry of the list; `None` if it is malformed, which leaves the others in force.
fn read_entry(entry: serde_json::Value) -> Option<Listed> {
    match serde_json::from_value(entry) {
        Ok(listed) => Some(listed),
        Err(error) => {
            tracing::warn!(event = "listing_refused", %error);
            None
        }
    }
}
