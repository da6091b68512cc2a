//! Keys of the links of a fleet.

use error_stack::ResultExt as _;

use crate::node_error;

/// Number of the key that everybody knows.
const OPEN_KEY_ID: u8 = 0;

/// Secret of the key that everybody knows. It only makes the checksums of messages work.
const OPEN_SECRET: [u8; 32] = *b"marjoramlift open link, no guard";

/// Number of a key from a file.
const FILE_KEY_ID: u8 = 1;

/// Keys for the setting `links`.
pub(crate) fn keys(
    links: &lift_settings::FleetLinks,
) -> Result<lift_wire::LinkKeys, error_stack::Report<node_error::NodeError>> {
    let key = match links {
        lift_settings::FleetLinks::Open => lift_wire::LinkKey::new(OPEN_KEY_ID, OPEN_SECRET),
        lift_settings::FleetLinks::KeyFile(file) => {
            let file = lift_settings::KeyFile {
                id: FILE_KEY_ID,
                file: file.clone(),
            };
            let secret = file.read().map_err(|problem| {
                error_stack::Report::new(node_error::NodeError::Settings).attach(problem)
            });
            let secret = secret.change_context(node_error::NodeError::Settings)?;
            lift_wire::LinkKey::new(FILE_KEY_ID, secret)
        }
    };
    Ok(lift_wire::LinkKeys::new(key))
}
