//! First bytes of each file.

use crate::disk_error;

/// Magic, format version, number and checksum, in bytes.
pub(crate) const HEAD_BYTES: usize = 22;

/// Encodes a head. `number` is part of the name of the file too.
pub(crate) fn encode(magic: [u8; 8], number: u64) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEAD_BYTES);
    buf.extend_from_slice(&magic);
    buf.extend_from_slice(&crate::FORMAT_VERSION.to_le_bytes());
    buf.extend_from_slice(&number.to_le_bytes());
    let checksum = crc32fast::hash(&buf);
    buf.extend_from_slice(&checksum.to_le_bytes());
    buf
}

/// Checks the head of `file`.
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
    let Some(head) = buf.get(..HEAD_BYTES) else {
        return Err(damaged("the head is incomplete"));
    };
    let (fields, checksum) = head.split_at(HEAD_BYTES - 4);
    if crc32fast::hash(fields).to_le_bytes() != *checksum || fields[..8] != magic {
        return Err(damaged("the head is wrong"));
    }
    let found = u16::from_le_bytes([fields[8], fields[9]]);
    if found != crate::FORMAT_VERSION {
        let file = String::from(file);
        return Err(disk_error::DiskError::Version { file, found });
    }
    if fields[10..] != number.to_le_bytes() {
        return Err(damaged("the head belongs to another file"));
    }
    Ok(())
}

/// Whether an incomplete write can be the cause of `problem`.
pub(crate) fn may_be_torn(problem: &disk_error::DiskError) -> bool {
    matches!(problem, disk_error::DiskError::Damaged { .. })
}
