//! HTTP client of the commands.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde_json::Value;
use volo_http::body::BodyConversion;
use volo_http::response::Response;

use super::{Error, Result};

/// HTTP client that authenticates with a key.
#[derive(Clone)]
pub struct Client {
    inner: volo_http::client::Client,
    key: String,
}

fn remote_error<T>(message: String) -> Result<T> {
    Err(Error::Remote { message })
}

impl Client {
    /// Creates a client that sends `name:secret` as the bearer token.
    pub fn new(key: &str) -> Self {
        let mut builder = volo_http::client::Client::builder();
        builder.set_connect_timeout(Duration::from_secs(1));
        builder.set_pool_idle_timeout(Duration::from_secs(20));
        builder.set_max_idle_per_host(256);
        Self {
            inner: builder.build().expect("the client's settings are constant"),
            key: key.to_owned(),
        }
    }

    /// Sends a request and returns the response with its body still unread.
    pub async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response> {
        let mut request = self
            .inner
            .request(method, format!("http://{to}{path}"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .data(body);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        match request.send().await {
            Ok(response) => Ok(response),
            Err(error) => remote_error(format!("{to}{path}: {error}")),
        }
    }

    /// Sends a request and reads the whole response body.
    pub async fn fetch(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, HeaderMap, Bytes)> {
        let response = self.send(method, to, path, headers, body).await?;
        let (status, headers) = (response.status(), response.headers().clone());
        match response.into_body().into_bytes().await {
            Ok(body) => Ok((status, headers, body)),
            Err(error) => remote_error(format!("{to}{path}: {error}")),
        }
    }

    /// Sends a JSON body, none for `null`, and parses a JSON response. Any status other than success becomes an
    /// error with the message of the response.
    pub async fn json(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Value> {
        let request_body = if body.is_null() {
            Bytes::new()
        } else {
            body.to_string().into()
        };
        let (status, _, body) = self.fetch(method, to, path, &[], request_body).await?;
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if status.is_success() {
            return Ok(value);
        }
        let message = value["error"]["message"]
            .as_str()
            .or(value["message"].as_str());
        let message = message.map_or_else(|| status.to_string(), str::to_owned);
        remote_error(format!("{to}{path}: {message}"))
    }

    /// Sends a GET request and parses the JSON response.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Result<Value> {
        self.json(Method::GET, to, path, &Value::Null).await
    }

    /// Sends a POST request with a JSON body and parses the JSON response.
    pub async fn post(&self, to: SocketAddr, path: &str, body: &Value) -> Result<Value> {
        self.json(Method::POST, to, path, body).await
    }

    /// Plans an intent and confirms the plan.
    pub async fn apply(&self, to: SocketAddr, intent: &Value) -> Result<Value> {
        let proposal = self.post(to, "/v1/intents", intent).await?;
        self.post(to, "/v1/confirm", &proposal["plan"]).await
    }
}

/// Parses the addresses of an option that may be repeated.
pub fn parse_addresses(name: &str, values: &[String]) -> Result<Vec<SocketAddr>> {
    if values.is_empty() {
        return super::usage(format!("--{name}: at least one IP:PORT is required"));
    }
    values
        .iter()
        .map(|text| parse_address(name, text))
        .collect()
}

/// Parses the address of an option.
pub fn parse_address(name: &str, text: &str) -> Result<SocketAddr> {
    text.parse().or_else(|_| {
        super::usage(format!(
            "--{name}: {text:?} given, wanted is an IP address and a port"
        ))
    })
}
