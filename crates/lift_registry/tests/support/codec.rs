//! Format of the documents in these tests.

/// Decodes a document that consists of its version only.
#[derive(Debug)]
pub(crate) struct Codec;

impl lift_fleet::DocumentCodec for Codec {
    fn decode(&self, text: &[u8]) -> Result<lift_fleet::RoutingTable, lift_fleet::DocumentError> {
        let text = String::from_utf8_lossy(text);
        let unreadable = || lift_fleet::DocumentError::Unreadable(text.to_string());
        let version = text.trim().parse().map_err(|_| unreadable())?;
        Ok(lift_fleet::RoutingTable::builder(version).build()?)
    }
}
