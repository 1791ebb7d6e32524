//! The response that a caller gets when its request is refused.

use http::{HeaderValue, Response, header};

use super::body::Body;
use super::decision::refusal::Reason;
use super::dialect::Dialect;
use crate::units::Millis;

/// Builds the response that refuses the request `id`; its caller may retry after `retry_after`.
pub fn refusal(
    reason: Reason,
    retry_after: Option<Millis>,
    dialect: &dyn Dialect,
    id: &str,
) -> Response<Body> {
    let (body, headers) = dialect.write_refusal(id, reason.as_str());
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = reason.status();
    *response.headers_mut() = headers;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(after) = retry_after {
        let seconds = format!("{:.3}", after.0 as f64 / 1_000.0);
        let seconds = HeaderValue::from_str(&seconds).expect("digits and a dot are a header value");
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
