//! Headers that are passed on.

use http::header;

/// Headers that concern one connection only.
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

/// Keeps the end-to-end headers: all but those that concern one connection, those that the
/// `Connection` header names, and the length, which the HTTP library sets anew.
pub(crate) fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let named = headers.get_all(header::CONNECTION);
    let named: Vec<_> = named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| header::HeaderName::try_from(name.trim()).ok())
        .collect();
    let mut kept = http::HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let is_hop = HOP_BY_HOP.contains(name) || named.contains(name);
        if !is_hop && name != header::CONTENT_LENGTH && name != header::EXPECT {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
