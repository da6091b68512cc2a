//! Header at the start of each data file.

use crate::disk_error;

/// Length of the magic bytes, format version, number and checksum, in bytes.
pub(crate) const HEADER_BYTES: usize = 22;

/// Encodes a header. `number` ties the header to its file: it is the number in the file name,
/// or the checksum of the identity.
pub(crate) fn encode(magic: [u8; 8], number: u64) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEADER_BYTES);
    buf.extend_from_slice(&magic);
    buf.extend_from_slice(&crate::FORMAT_VERSION.to_le_bytes());
    buf.extend_from_slice(&number.to_le_bytes());
    let checksum = crc32fast::hash(&buf);
    buf.extend_from_slice(&checksum.to_le_bytes());
    buf
}

/// Checks that `buf` starts with a valid header of this format version with `magic` and
/// `number`. `file` is the name for error messages.
pub(crate) fn check(
    buf: &[u8],
    magic: [u8; 8],
    number: u64,
    file: &str,
) -> Result<(), disk_error::DiskError> {
    let damaged = |problem| disk_error::DiskError::Damaged {
        file: String::from(file),
        offset: 0,
        problem,
    };
    let Some(header) = buf.get(..HEADER_BYTES) else {
        return Err(damaged("the header is incomplete"));
    };
    let (fields, checksum) = header.split_at(HEADER_BYTES - 4);
    if crc32fast::hash(fields).to_le_bytes() != *checksum || fields[..8] != magic {
        return Err(damaged("the header is invalid"));
    }
    let found = u16::from_le_bytes([fields[8], fields[9]]);
    if found != crate::FORMAT_VERSION {
        let file = String::from(file);
        return Err(disk_error::DiskError::Version { file, found });
    }
    if fields[10..] != number.to_le_bytes() {
        return Err(damaged("the header does not match the file"));
    }
    Ok(())
}

/// Returns whether `problem` is treated as a possible incomplete write. This includes all
/// damage, also a complete header with another number. A header with a valid checksum and
/// another format version is not an incomplete write.
pub(crate) fn may_be_torn(problem: &disk_error::DiskError) -> bool {
    matches!(problem, disk_error::DiskError::Damaged { .. })
}
