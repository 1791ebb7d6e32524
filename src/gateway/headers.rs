//! Headers that concern one connection only, and are not passed on.

use http::{HeaderMap, HeaderName, header};

/// Headers of one connection, beside those that its `Connection` header names.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes from a caller's request what its target must not see. Its body is sent complete.
pub(super) fn strip_request(headers: &mut HeaderMap) {
    remove_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Removes from a target's answer what its caller must not see. The server frames the body anew.
pub(super) fn strip_response(headers: &mut HeaderMap) {
    remove_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}
