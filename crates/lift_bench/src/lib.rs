//! Experiments that measure bursts, requests and configuration changes.
