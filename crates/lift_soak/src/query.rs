//! Queries of calls to stand-ins.

use axum::extract;

/// The names and values of a query.
pub(crate) type Query = extract::Query<indexmap::IndexMap<String, String>>;

/// The number under `name`, if there is one.
pub(crate) fn number<T: std::str::FromStr>(query: &Query, name: &str) -> Option<T> {
    query.get(name)?.parse().ok()
}
