//! The replicated log's decisions, free of I/O.
