//! Removes hop-by-hop headers, which apply to one connection only and are not forwarded.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop headers in addition to those that the `Connection` header names.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Removes the headers of a caller's request that must not be forwarded to the target. The body is forwarded as one
/// buffer, with its own length.
pub(super) fn strip_request(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Removes the headers of a target's response that must not be forwarded to the caller. The server frames the body
/// anew.
pub(super) fn strip_response(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
}

/// Whether a response's body is framed by a length or by chunks, so that the end of the connection does not mark its
/// end.
pub(super) fn is_framed(parts: &http::response::Parts) -> bool {
    let headers = &parts.headers;
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
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
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
