//! Tokens that are read again when their file changes.

use std::{fs, io, path, time};

use error_stack::ResultExt as _;

use crate::{admin_error, token_list, token_record};

/// Modification time and length of the file, by which a change is noticed.
type Stamp = (time::SystemTime, u64);

/// The tokens of a file. The file is looked at on each request, so that a token that is
/// added or removed counts at once. A file that can't be read or decoded, as while it is
/// written, leaves the last good tokens in force and is logged.
#[derive(Debug)]
pub(crate) struct TokenStore {
    file: path::PathBuf,
    log: slog::Logger,
    current: parking_lot::Mutex<Current>,
}

#[derive(Debug)]
struct Current {
    stamp: Option<Stamp>,
    list: token_list::TokenList,
}

impl TokenStore {
    /// Reads the file.
    pub(crate) fn open(
        file: path::PathBuf,
        log: slog::Logger,
    ) -> Result<Self, error_stack::Report<admin_error::AdminError>> {
        let list = read(&file).change_context(admin_error::AdminError::Tokens)?;
        let current = Current {
            stamp: stamp(&file),
            list,
        };
        Ok(Self {
            file,
            log,
            current: parking_lot::Mutex::new(current),
        })
    }

    /// Finds the record of a token.
    pub(crate) fn find(&self, token: &str) -> Option<token_record::TokenRecord> {
        self.refresh();
        let current = self.current.lock();
        let records = &current.list.tokens;
        records.iter().find(|record| record.matches(token)).cloned()
    }

    /// Reads the file outside the lock, where it has changed.
    fn refresh(&self) {
        let stamp = stamp(&self.file);
        if self.current.lock().stamp == stamp {
            return;
        }
        let list = read(&self.file);
        let mut current = self.current.lock();
        current.stamp = stamp;
        match list {
            Ok(list) => {
                let count = list.tokens.len();
                slog::info!(self.log, "token file read again"; "tokens" => count);
                current.list = list;
            }
            Err(e) => {
                slog::error!(self.log, "token file unreadable, last tokens stay in force";
                    "error" => %e);
            }
        }
    }
}

fn stamp(file: &path::Path) -> Option<Stamp> {
    let data = fs::metadata(file).ok()?;
    Some((data.modified().ok()?, data.len()))
}

fn read(file: &path::Path) -> io::Result<token_list::TokenList> {
    let list: token_list::TokenList = serde_json::from_slice(&fs::read(file)?)?;
    if let Some(record) = list.tokens.iter().find(|record| !record.is_valid()) {
        let problem = format!("salt or hash of token {:?} is not valid", record.name);
        return Err(io::Error::new(io::ErrorKind::InvalidData, problem));
    }
    Ok(list)
}
