//! What differs between the processes that keep a log running.

use std::{fmt, ops, sync};

use crate::{log_driver, log_end, start_error};

type Result<T> = std::result::Result<T, error_stack::Report<start_error::StartError>>;

/// Decides as which member a log runs, and follows its runs.
#[async_trait::async_trait]
pub trait LogOwner: fmt::Debug + Send + Sync {
    /// Opens the log for its next run.
    ///
    /// # Errors
    ///
    /// Returns an error where the member can't start now. It is tried again.
    async fn open(&self) -> Result<sync::Arc<log_driver::LogDriver>>;

    /// The log runs.
    fn started(&self, log: &sync::Arc<log_driver::LogDriver>);

    /// Returns when the log must end, because its member was removed.
    async fn wait_for_removal(&self, log: &log_driver::LogDriver);

    /// The log runs no more. Its files may still be open.
    fn stopped(&self);

    /// The files of the run are closed. Returns whether there is a next run.
    ///
    /// # Errors
    ///
    /// Returns an error where the files can't be prepared for the next run.
    async fn closed(
        &self,
        member: lift_types::MemberId,
        end: log_end::LogEnd,
    ) -> Result<ops::ControlFlow<()>>;
}
