//! The control role: drives the replicated log and serves control operations.
