//! Headers that are forwarded.

use http::header;

/// Headers that apply to a single connection.
const HOP_BY_HOP: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HeaderName::from_static("keep-alive"),
    header::HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Copies the end-to-end headers: all but those that apply to a single connection, those listed
/// in the `Connection` header, `Expect`, and `Content-Length`, which the HTTP library sets again.
pub(crate) fn copy_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let listed = headers.get_all(header::CONNECTION);
    let listed: Vec<_> = listed
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| header::HeaderName::try_from(name.trim()).ok())
        .collect();
    let mut kept = http::HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name) || listed.contains(name);
        if !is_hop_by_hop && name != header::CONTENT_LENGTH && name != header::EXPECT {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
