//! Size limits of the data that control stores.

use crate::control_node;

/// Maximum length of each field of a claim key, in bytes.
const MAX_KEY_FIELD_BYTES: usize = 256;

/// Maximum total length of the headers of an outcome, in bytes.
const MAX_HEADERS_BYTES: usize = 8 * 1024;

/// Maximum number of chunks of a manifest, which must fit into a frame. With chunks of 4 MiB
/// this allows about 390 GiB of weights.
const MAX_CHUNKS: usize = 100_000;

/// Checks that no field of a claim key is empty or too long.
pub(crate) fn check_key(key: &lift_state::ClaimKey) -> Result<(), control_node::Failure> {
    let fields = [
        ("key.workspace", &key.workspace),
        ("key.service", &key.service),
        ("key.key", &key.key),
    ];
    for (path, text) in fields {
        if text.is_empty() || text.len() > MAX_KEY_FIELD_BYTES {
            let problem = format!(
                "has {} bytes; allowed: 1 to {MAX_KEY_FIELD_BYTES}",
                text.len()
            );
            return Err(error_stack::Report::new(invalid_field(path, &problem)));
        }
    }
    Ok(())
}

/// Checks the total length of the headers of an outcome.
pub(crate) fn check_headers(headers: &[(String, String)]) -> Result<(), control_node::Failure> {
    let bytes: usize = headers.iter().map(|(n, v)| n.len() + v.len()).sum();
    if bytes <= MAX_HEADERS_BYTES {
        return Ok(());
    }
    let problem = format!("have {bytes} bytes; allowed: at most {MAX_HEADERS_BYTES}");
    Err(error_stack::Report::new(invalid_field(
        "outcome.headers",
        &problem,
    )))
}

/// Checks the number of chunks of a manifest.
pub(crate) fn check_manifest(manifest: &lift_types::Manifest) -> Result<(), control_node::Failure> {
    let chunks = manifest.chunks.len();
    if chunks <= MAX_CHUNKS {
        return Ok(());
    }
    let problem = format!("{chunks} chunks; allowed: 1 to {MAX_CHUNKS}, use longer chunks");
    Err(error_stack::Report::new(invalid_field(
        "manifest.chunks",
        &problem,
    )))
}

/// Returns the error for an invalid field.
pub(crate) fn invalid_field(path: &str, problem: &str) -> lift_rpc::ControlError {
    lift_rpc::ControlError::Invalid {
        path: String::from(path),
        problem: String::from(problem),
    }
}
