//! Decisions of request handling: routing, admission, retries and membership.
