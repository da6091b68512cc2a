//! Border between the two halves of an agent.

use std::{fmt, time};

/// Opens and closes the request side of an agent while its weights change.
#[async_trait::async_trait]
pub trait ServingControl: fmt::Debug + Send + Sync {
    /// Refuses new requests from now on and waits until those in progress have ended.
    /// Returns how many were still in progress when `limit` ran out; the caller must not
    /// change the weights unless it is zero.
    async fn close_and_drain(&self, limit: time::Duration) -> usize;

    /// Takes requests for `version`, which the engine has confirmed.
    fn open(&self, version: lift_types::ServingVersion);

    /// Version that new requests are pinned to, `None` while closed.
    fn serving(&self) -> Option<lift_types::ServingVersion>;
}
