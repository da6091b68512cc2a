//! Why a choice found none.

/// Why no backend server gets a request now.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ChoiceReason {
    /// The service has no backend server.
    NoBackend,
    /// None holds the weights that the request needs.
    NoWeights,
    /// All that could take the request are full.
    Full,
    /// All have been tried.
    Tried,
}
