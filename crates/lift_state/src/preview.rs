//! Dry run of a change.

use crate::{config_change, invalid_value, policy_edits};

/// Policy that `change` would make of `policy`. The expected revision is not looked at, and
/// nothing is changed.
///
/// # Errors
///
/// Returns the first field that is not valid.
pub fn preview(
    policy: &lift_types::Policy,
    change: &config_change::ConfigChange,
    versions: &[lift_types::VersionId],
) -> Result<lift_types::Policy, invalid_value::InvalidValue> {
    policy_edits::apply(policy, change, versions)
}
