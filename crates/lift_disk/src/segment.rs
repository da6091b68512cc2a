//! One file of the log.

use crate::{disk, disk_error, file_head, record};

/// Start of the names of segments.
const PREFIX: &str = "log-";

const MAGIC: [u8; 8] = *b"MLIFTLOG";

/// What is known of a segment.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    /// Number of the first record.
    pub(crate) first: u64,
    /// Highest entry that the segment holds.
    pub(crate) max_index: lift_types::LogIndex,
    /// Length in bytes.
    pub(crate) length: usize,
}

/// Whether a segment is the one that was written last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Last,
    Earlier,
}

impl Segment {
    /// Describes a segment that starts with record `first`.
    pub(crate) fn new(first: u64) -> Self {
        Self {
            name: format!("{PREFIX}{first:020}"),
            first,
            max_index: 0,
            length: 0,
        }
    }

    /// Recognises the name of a segment.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        let first = name.strip_prefix(PREFIX)?.parse().ok()?;
        Some(Self::new(first))
    }

    /// First bytes of the file.
    pub(crate) fn head(&self) -> Vec<u8> {
        file_head::encode(MAGIC, self.first)
    }

    /// Reads all records and calls `take` with each. Cuts an incomplete record at the end of
    /// the last segment. Returns the number of the next record, or `None` where the segment
    /// holds nothing and was removed.
    pub(crate) fn load(
        &mut self,
        disk: &dyn disk::Disk,
        place: Place,
        mut take: impl FnMut(record::Record) -> Result<(), &'static str>,
    ) -> Result<Option<u64>, error_stack::Report<disk_error::DiskError>> {
        let buf = disk.read(&self.name)?;
        if let Err(problem) = file_head::check(&buf, MAGIC, self.first, &self.name) {
            let cut = file_head::may_be_torn(&problem) && !record::any_from(&buf, 0, self.first);
            if place == Place::Last && cut {
                disk.remove(&self.name)?;
                return Ok(None);
            }
            return Err(error_stack::Report::new(problem));
        }
        let mut offset = file_head::HEAD_BYTES;
        let mut number = self.first;
        loop {
            match record::read(&buf, offset, self.first, number) {
                record::Found::Record(found, next) => {
                    let last = found.entries.iter().map(|entry| entry.index).max();
                    self.max_index = self.max_index.max(last.unwrap_or_default());
                    take(found).map_err(|problem| self.damaged(offset, problem))?;
                    (offset, number) = (next, number + 1);
                }
                record::Found::End => break,
                record::Found::Damaged(problem) => {
                    let torn = place == Place::Last && !record::any_from(&buf, offset, self.first);
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
