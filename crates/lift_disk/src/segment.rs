//! Segments, the files of the log.

use crate::{disk, disk_error, file_header, record};

/// Prefix of the names of segment files.
const PREFIX: &str = "log-";

const MAGIC: [u8; 8] = *b"MLIFTLOG";

/// Metadata of a segment file.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    /// Number of the first record.
    pub(crate) first: u64,
    /// Highest index of an entry in the segment.
    pub(crate) max_index: lift_types::LogIndex,
    /// Length of the file in bytes. Compaction raises it to make the next record start a new
    /// segment.
    pub(crate) length: usize,
}

/// Position of a segment in the log. Only the last segment may end with an incomplete write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentPosition {
    Last,
    Earlier,
}

impl Segment {
    /// Creates the metadata of an empty segment that starts with record `first`.
    pub(crate) fn new(first: u64) -> Self {
        Self {
            name: format!("{PREFIX}{first:020}"),
            first,
            max_index: 0,
            length: 0,
        }
    }

    /// Parses the name of a segment file. Returns `None` for other names.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        let first = name.strip_prefix(PREFIX)?.parse().ok()?;
        Some(Self::new(first))
    }

    /// Encodes the header of the file.
    pub(crate) fn header(&self) -> Vec<u8> {
        file_header::encode(MAGIC, self.first)
    }

    /// Reads all records and calls `apply` with each. Truncates an incomplete record at the end
    /// of the last segment. Returns the number of the next record, or `None` if the last segment
    /// was removed because its header is invalid and it has no complete record.
    pub(crate) fn load(
        &mut self,
        disk: &dyn disk::Disk,
        position: SegmentPosition,
        mut apply: impl FnMut(record::Record) -> Result<(), &'static str>,
    ) -> Result<Option<u64>, error_stack::Report<disk_error::DiskError>> {
        let buf = disk.read(&self.name)?;
        if let Err(problem) = file_header::check(&buf, MAGIC, self.first, &self.name) {
            let torn = file_header::may_be_torn(&problem)
                && !record::has_complete_record(&buf, 0, self.first);
            if position == SegmentPosition::Last && torn {
                disk.remove(&self.name)?;
                return Ok(None);
            }
            return Err(error_stack::Report::new(problem));
        }
        let mut offset = file_header::HEADER_BYTES;
        let mut number = self.first;
        loop {
            match record::read(&buf, offset, self.first, number) {
                record::ReadOutcome::Record(found, next) => {
                    let last = found.entries.iter().map(|entry| entry.index).max();
                    self.max_index = self.max_index.max(last.unwrap_or_default());
                    apply(found).map_err(|problem| self.damaged(offset, problem))?;
                    (offset, number) = (next, number + 1);
                }
                record::ReadOutcome::End => break,
                record::ReadOutcome::Damaged(problem) => {
                    let torn = position == SegmentPosition::Last
                        && !record::has_complete_record(&buf, offset, self.first);
                    if !torn {
                        return Err(self.damaged(offset, problem));
                    }
                    disk.truncate(&self.name, offset as u64)?;
                    break;
                }
            }
        }
        self.length = offset;
        Ok(Some(number))
    }

    /// Creates an error for damage at byte `offset` of the file.
    pub(crate) fn damaged(
        &self,
        offset: usize,
        problem: &'static str,
    ) -> error_stack::Report<disk_error::DiskError> {
        error_stack::Report::new(disk_error::DiskError::Damaged {
            file: self.name.clone(),
            offset: offset as u64,
            problem,
        })
    }
}
