//! Replicas that an exception holds.

/// An exception that decides the version of replicas, and how many there are.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HeldHosts {
    /// Name of the exception.
    pub exception: String,
    /// Its scope, as text.
    pub scope: String,
    /// Version that it holds them at.
    pub version: Option<lift_types::VersionId>,
    /// Why, in the operator's words.
    pub reason: String,
    /// Who added it.
    pub author: String,
    /// Number of replicas.
    pub hosts: u32,
}

impl HeldHosts {
    /// Starts with one replica.
    pub(crate) fn new(exception: &lift_types::PolicyException) -> Self {
        let version = match &exception.value {
            lift_types::ExceptionValue::Version(version) => Some(version.clone()),
            _ => None,
        };
        Self {
            exception: exception.id.clone(),
            scope: exception.scope.to_string(),
            version,
            reason: exception.reason.clone(),
            author: exception.author.clone(),
            hosts: 1,
        }
    }
}
