//! Dry run of a configuration change.

use crate::{config_change, invalid_value, policy_edits};

/// Returns the policy that would result from applying `change` to `policy`. The expected
/// revision of the change is not checked, and nothing is stored.
///
/// # Errors
///
/// Returns an error for the first field that is not valid.
pub fn preview(
    policy: &lift_types::Policy,
    change: &config_change::ConfigChange,
    versions: &[lift_types::VersionId],
) -> Result<lift_types::Policy, invalid_value::InvalidValue> {
    policy_edits::apply(policy, change, versions)
}
