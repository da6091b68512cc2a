//! Admission of a request.

/// Which places a request may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// All places of a server.
    #[default]
    Unlimited,
    /// Not the last places, which are left to more urgent requests.
    Limited,
}
