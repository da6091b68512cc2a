//! Composes roles into one process, with graceful shutdown, and the embedded demo.
