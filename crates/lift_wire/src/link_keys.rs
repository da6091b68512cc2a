//! The keys that a process accepts.

use crate::{link_key, wire_error};

/// One key to send with and any number of keys to accept. To rotate, give the new key as
/// accepted everywhere, then as the one to send with, then remove the old one.
#[derive(Clone, Debug)]
pub struct LinkKeys {
    current: link_key::LinkKey,
    accepted: Vec<link_key::LinkKey>,
}

impl LinkKeys {
    /// Sends and accepts `current`.
    pub fn new(current: link_key::LinkKey) -> Self {
        Self {
            current,
            accepted: Vec::new(),
        }
    }

    /// Accepts `key` too.
    pub fn accept(mut self, key: link_key::LinkKey) -> Self {
        self.accepted.push(key);
        self
    }

    /// Key to send with.
    pub fn current(&self) -> &link_key::LinkKey {
        &self.current
    }

    /// Finds an accepted key by its number.
    ///
    /// # Errors
    ///
    /// Returns [`wire_error::WireError::UnknownKey`] where there is none.
    pub fn find(&self, key_id: u8) -> Result<&link_key::LinkKey, wire_error::WireError> {
        if self.current.id() == key_id {
            return Ok(&self.current);
        }
        let found = self.accepted.iter().find(|key| key.id() == key_id);
        found.ok_or(wire_error::WireError::UnknownKey { key_id })
    }
}
