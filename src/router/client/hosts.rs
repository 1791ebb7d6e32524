//! The host list.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{CallSnafu, Client, Error, client, json};

const SERVICE: &str = "hosts";

/// A host as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// A router's address for its peers, or a target's address.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's host list; it lags.
pub trait HostList: Clone + Send + Sync + 'static {
    /// All hosts that it knows.
    fn list(&self) -> impl Future<Output = Result<Vec<Listed>, Error>> + Send;
}

/// The host list over HTTP.
#[derive(Clone)]
pub struct HttpHosts {
    address: SocketAddr,
    client: Client,
}

impl HttpHosts {
    /// A client of the list at this address.
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
        json(SERVICE, response).await
    }
}
