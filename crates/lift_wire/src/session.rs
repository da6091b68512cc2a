//! Keys of one connection.

use crate::{hello, link_key};

/// One key for each direction of a connection.
#[derive(Clone, Copy)]
pub struct Session {
    /// Key of frames from the end that opened the connection.
    pub(crate) from_client: [u8; 32],
    /// Key of frames from the end that accepted it.
    pub(crate) from_server: [u8; 32],
}

impl Session {
    /// Derives the keys from the link key and both first messages.
    pub(crate) fn derive(
        key: &link_key::LinkKey,
        client: &hello::Hello,
        server: &hello::Hello,
    ) -> Self {
        let from_client = key.hash(&[b"client", &client.nonce, &server.nonce]);
        let from_server = key.hash(&[b"server", &client.nonce, &server.nonce]);
        Self {
            from_client,
            from_server,
        }
    }
}

impl std::fmt::Debug for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Session").finish_non_exhaustive()
    }
}
