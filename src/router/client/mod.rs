//! Clients of the two services that a router runs on: the log, and the host list.
//!
//! Each is a trait, so that tests can put their own in its place.

mod hosts;
mod log;

pub use hosts::{HostList, HttpHosts, Listed};
pub use log::{Appended, Cursor, HttpLog, Log, Page, ReadAnswer, ReadRequest, StreamPage};

use snafu::Snafu;

/// Why the platform did not answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call failed; what it asked for may have been done.
    #[snafu(display("{service}: {source}"))]
    Call {
        /// Which service.
        service: &'static str,
        /// The client's error.
        source: volo_http::error::ClientError,
    },
    /// The service answered with an error.
    #[snafu(display("{service}: answered {status}"))]
    Status {
        /// Which service.
        service: &'static str,
        /// The status.
        status: u16,
    },
    /// The answer makes no sense.
    #[snafu(display("{service}: {why}"))]
    Answer {
        /// Which service.
        service: &'static str,
        /// What is wrong with it.
        why: String,
    },
}

type Client = volo_http::client::Client;

/// A client for a platform service.
fn client(timeout: std::time::Duration) -> Client {
    let mut builder = volo_http::client::Client::builder();
    builder.set_connect_timeout(std::time::Duration::from_secs(1));
    builder.set_request_timeout(timeout);
    builder.build().expect("the client's settings are constant")
}

/// Takes the JSON out of an answer.
async fn json<T: serde::de::DeserializeOwned>(
    service: &'static str,
    response: volo_http::response::Response,
) -> Result<T, Error> {
    use volo_http::body::BodyConversion;
    let status = response.status();
    if !status.is_success() {
        let status = status.as_u16();
        return Err(Error::Status { service, status });
    }
    let bytes = response.into_body().into_bytes().await;
    let bytes = bytes.map_err(|error| Error::Answer {
        service,
        why: error.to_string(),
    })?;
    serde_json::from_slice(&bytes).map_err(|error| Error::Answer {
        service,
        why: error.to_string(),
    })
}
