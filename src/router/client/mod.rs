//! Clients of the two platform services that a router depends on: the log service and the host list.
//!
//! Each service is a trait, so that tests can substitute their own implementation.

mod hosts;
mod log;

pub use hosts::{HostList, HttpHosts, Listed};
pub use log::{Appended, Cursor, HttpLog, Log, Page, ReadAnswer, ReadRequest, StreamPage};

use http_body_util::Limited;
use snafu::Snafu;

/// Why a call of a platform service failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call failed; the service may still have carried it out.
    #[snafu(display("{service}: {source}"))]
    Call {
        /// Name of the service.
        service: &'static str,
        /// The client's error.
        source: volo_http::error::ClientError,
    },
    /// The service responded with an error status.
    #[snafu(display("{service}: answered {status}"))]
    Status {
        /// Name of the service.
        service: &'static str,
        /// HTTP status code.
        status: u16,
    },
    /// The response is missing or invalid.
    #[snafu(display("{service}: {why}"))]
    Answer {
        /// Name of the service.
        service: &'static str,
        /// What is wrong with the response.
        why: String,
    },
}

/// Maximum size of a service's response, in bytes: pages of the log are the largest.
const RESPONSE_MAX: usize = 64 << 20;

type Client = volo_http::client::Client;

/// Builds a client for a platform service.
fn client(timeout: std::time::Duration) -> Client {
    let mut builder = volo_http::client::Client::builder();
    builder.set_connect_timeout(std::time::Duration::from_secs(1));
    builder.set_request_timeout(timeout);
    builder
        .build()
        .expect("the client is built from constant, valid settings")
}

/// Decodes the JSON body of a successful response.
async fn json<T: serde::de::DeserializeOwned>(
    service: &'static str,
    response: volo_http::response::Response,
) -> Result<T, Error> {
    use volo_http::body::{Body, BodyConversion};
    let status = response.status();
    if !status.is_success() {
        let status = status.as_u16();
        return Err(Error::Status { service, status });
    }
    let body = Body::from_body(Limited::new(response.into_body(), RESPONSE_MAX));
    let bytes = body.into_bytes().await;
    let bytes = bytes.map_err(|error| Error::Answer {
        service,
        why: error.to_string(),
    })?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Answer {
        service,
        why: error.to_string(),
    })
}
