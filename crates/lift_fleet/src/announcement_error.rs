//! Why an announcement is invalid.

/// Field of an announcement that no backend server can have sent as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnnouncementError {
    /// The identifier is empty, too long, or can't be sent in a header, so that requests could not
    /// name the server that they are for.
    #[error("the identifier of the backend server is invalid")]
    Id,
    /// A name is empty or too long.
    #[error("{0} is empty or too long")]
    Name(&'static str),
    /// No connection can be opened to the address.
    #[error("the address can't be connected to")]
    Address,
    /// A number is larger than any that a backend server counts to.
    #[error("{0} is out of range")]
    Number(&'static str),
    /// There are too many models.
    #[error("there are too many models")]
    Models,
}
