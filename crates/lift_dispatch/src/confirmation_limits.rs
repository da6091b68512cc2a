//! How long a gateway may act on a configuration after its last confirmation.

use std::time;

/// Ages of the last confirmation of the configuration up to which a gateway acts on it.
///
/// A confirmation proves that the configuration was the newest one when the gateway asked. A
/// newer one may have been accepted since, so the older the confirmation, the less a gateway may
/// conclude from what its configuration lacks. See `docs/platform.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmationLimits {
    /// Age from which no request is served, so that a key that was revoked in the meantime is
    /// not accepted.
    pub serving: time::Duration,
    /// Age above which an unknown route or key no longer proves anything: the route or key may
    /// have been added since, and all gateways must know it after this time.
    pub denial: time::Duration,
}

impl ConfirmationLimits {
    /// Whether requests may be served if the last confirmation is `age` old. `None` stands for a
    /// gateway that never had one.
    pub fn allow_serving(&self, age: Option<time::Duration>) -> bool {
        age.is_some_and(|age| age < self.serving)
    }

    /// Whether a request whose route or key is unknown may be denied for good. Otherwise the
    /// caller is to come back, since another gateway may know it.
    pub fn allow_denial(&self, age: Option<time::Duration>) -> bool {
        age.is_some_and(|age| age <= self.denial)
    }
}
