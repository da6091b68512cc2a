//! Records of a log segment.

use error_stack::ResultExt as _;

use crate::disk_error;

/// First bytes of each record, by which whole records are found behind a damaged one.
const MARKER: [u8; 4] = *b"MLRC";

/// Marker, length, number and checksum, in bytes.
const HEAD_BYTES: usize = 20;

/// One write to the log. Only one record at a time is unsynced, so a damaged record with a
/// whole one behind it was synced once.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Record {
    pub(crate) hard_state: Option<lift_consensus::HardState>,
    /// Position and term of a snapshot that the log now follows. Entries up to it are void,
    /// and all entries where the log did not hold that position with the same term.
    pub(crate) reset: Option<(lift_types::LogIndex, lift_types::Term)>,
    pub(crate) entries: Vec<lift_consensus::Entry>,
}

/// Result of reading a record.
pub(crate) enum Found {
    /// A whole record, and the position of the next one.
    Record(Record, usize),
    /// The end of the file.
    End,
    /// No whole record.
    Damaged(&'static str),
}

/// Encodes a record. `salt` differs between segments, so that a record is valid in one only.
pub(crate) fn encode(
    record: &Record,
    salt: u64,
    number: u64,
    file: &str,
) -> Result<Vec<u8>, error_stack::Report<disk_error::DiskError>> {
    let mut buf = vec![0; HEAD_BYTES];
    buf =
        postcard::to_extend(record, buf).change_context_lazy(|| disk_error::DiskError::Encode {
            file: String::from(file),
        })?;
    let length = (buf.len() - HEAD_BYTES) as u32;
    let checksum = checksum(salt, number, &buf[HEAD_BYTES..]);
    buf[..4].copy_from_slice(&MARKER);
    buf[4..8].copy_from_slice(&length.to_le_bytes());
    buf[8..16].copy_from_slice(&number.to_le_bytes());
    buf[16..20].copy_from_slice(&checksum.to_le_bytes());
    Ok(buf)
}

/// Reads the record `number` at `offset`.
pub(crate) fn read(buf: &[u8], offset: usize, salt: u64, number: u64) -> Found {
    let Some(rest) = buf.get(offset..).filter(|rest| !rest.is_empty()) else {
        return Found::End;
    };
    let Some((found, payload)) = split(rest, salt) else {
        return Found::Damaged("a record is incomplete or its checksum is wrong");
    };
    if found != number {
        return Found::Damaged("a record is missing");
    }
    match postcard::from_bytes(payload) {
        Ok(record) => Found::Record(record, offset + HEAD_BYTES + payload.len()),
        Err(_) => Found::Damaged("a record has unknown content"),
    }
}

/// Whether a whole record starts at `offset` or later.
pub(crate) fn any_from(buf: &[u8], offset: usize, salt: u64) -> bool {
    let rest = buf.get(offset..).unwrap_or_default();
    let mut starts = rest
        .windows(MARKER.len())
        .enumerate()
        .filter(|(_, window)| *window == MARKER);
    starts.any(|(start, _)| split(&rest[start..], salt).is_some())
}

/// Number and payload of a whole record at the start of `buf`.
fn split(buf: &[u8], salt: u64) -> Option<(u64, &[u8])> {
    let (head, rest) = buf.split_at_checked(HEAD_BYTES)?;
    if head[..4] != MARKER {
        return None;
    }
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?) as usize;
    let number = u64::from_le_bytes(head[8..16].try_into().ok()?);
    let expected = u32::from_le_bytes(head[16..20].try_into().ok()?);
    let payload = rest.get(..length)?;
    (checksum(salt, number, payload) == expected).then_some((number, payload))
}

fn checksum(salt: u64, number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
