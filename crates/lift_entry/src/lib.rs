//! The entry role: accepts callers' requests and routes them to agents.
