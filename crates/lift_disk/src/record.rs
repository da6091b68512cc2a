//! Records of a log segment.

use error_stack::ResultExt as _;

use crate::disk_error;

/// First bytes of each record, used to find complete records after a damaged one.
const MARKER: [u8; 4] = *b"MLRC";

/// Length of the marker, payload length, record number and checksum, in bytes.
const HEADER_BYTES: usize = 20;

/// One write to the log. Each record is synced before the next is written, so a damaged record
/// that is followed by a complete one was damaged after it had become durable.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Record {
    pub(crate) hard_state: Option<lift_consensus::HardState>,
    /// Index and term of a snapshot that the log continues from. Entries up to that index are
    /// discarded, and so are all others if the log has no entry with this index and term.
    pub(crate) reset: Option<(lift_types::LogIndex, lift_types::Term)>,
    pub(crate) entries: Vec<lift_consensus::Entry>,
}

/// Result of reading a record.
pub(crate) enum ReadOutcome {
    /// A complete record and the byte offset of the next one.
    Record(Record, usize),
    /// The offset is at or past the end of the file.
    End,
    /// There is no valid record with the expected number; the text says why.
    Damaged(&'static str),
}

/// Encodes a record. The checksum includes `salt`, which differs between segments, so that a
/// record is valid in one segment only. `file` is the name for error messages.
pub(crate) fn encode(
    record: &Record,
    salt: u64,
    number: u64,
    file: &str,
) -> Result<Vec<u8>, error_stack::Report<disk_error::DiskError>> {
    let mut buf = vec![0; HEADER_BYTES];
    buf =
        postcard::to_extend(record, buf).change_context_lazy(|| disk_error::DiskError::Encode {
            file: String::from(file),
        })?;
    let length = (buf.len() - HEADER_BYTES) as u32;
    let checksum = checksum(salt, number, &buf[HEADER_BYTES..]);
    buf[..4].copy_from_slice(&MARKER);
    buf[4..8].copy_from_slice(&length.to_le_bytes());
    buf[8..16].copy_from_slice(&number.to_le_bytes());
    buf[16..20].copy_from_slice(&checksum.to_le_bytes());
    Ok(buf)
}

/// Reads the record at byte `offset`, which must have `number`.
pub(crate) fn read(buf: &[u8], offset: usize, salt: u64, number: u64) -> ReadOutcome {
    let Some(rest) = buf.get(offset..).filter(|rest| !rest.is_empty()) else {
        return ReadOutcome::End;
    };
    let Some((found, payload)) = parse(rest, salt) else {
        return ReadOutcome::Damaged("a record is incomplete or its checksum is wrong");
    };
    if found != number {
        return ReadOutcome::Damaged("a record is missing");
    }
    match postcard::from_bytes(payload) {
        Ok(record) => ReadOutcome::Record(record, offset + HEADER_BYTES + payload.len()),
        Err(_) => ReadOutcome::Damaged("a record can't be decoded"),
    }
}

/// Returns whether a complete record starts at `offset` or later.
pub(crate) fn has_complete_record(buf: &[u8], offset: usize, salt: u64) -> bool {
    let rest = buf.get(offset..).unwrap_or_default();
    let mut starts = rest
        .windows(MARKER.len())
        .enumerate()
        .filter(|(_, window)| *window == MARKER);
    starts.any(|(start, _)| parse(&rest[start..], salt).is_some())
}

/// Returns the number and payload of the complete record at the start of `buf`, or `None` if it
/// is incomplete or its checksum is wrong.
fn parse(buf: &[u8], salt: u64) -> Option<(u64, &[u8])> {
    let (header, rest) = buf.split_at_checked(HEADER_BYTES)?;
    if header[..4] != MARKER {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let number = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let expected = u32::from_le_bytes(header[16..20].try_into().ok()?);
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
