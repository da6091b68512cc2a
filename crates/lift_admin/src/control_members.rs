//! Members of control.

use std::fmt;

use crate::{control_change, control_change_error, control_member_status};

/// The members of the replicated log, as one control member knows them.
#[async_trait::async_trait]
pub trait ControlMembers: fmt::Debug + Send + Sync {
    /// Members in force, by identifier.
    fn members(&self) -> Vec<control_member_status::ControlMemberStatus>;

    /// Makes one change of the members. Only the leader can.
    ///
    /// # Errors
    ///
    /// Returns an error where the change was refused or it is not known whether it was made.
    async fn change(
        &self,
        change: control_change::ControlChange,
    ) -> Result<(), error_stack::Report<control_change_error::ControlChangeError>>;
}
