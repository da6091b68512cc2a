//! Why weights can't be brought to a backend server.

/// Failure of a step.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StageError {
    /// The backend server could not be asked.
    #[error("the backend server does not answer")]
    Backend,
    /// The backend server could not be connected to, so nothing was sent.
    #[error("the backend server can't be reached")]
    Unreachable,
    /// The backend server has answered that it does not carry out the request.
    #[error("the backend server refused the request")]
    Declined,
    /// Another agent does not have what it was asked for.
    #[error("the agent does not have the manifest")]
    Agent,
    /// The origin could not be asked, or its answer can't be read.
    #[error("the origin of weights does not answer")]
    Origin,
    /// The origin does not hand out the version any more.
    #[error("the origin has dropped the version")]
    Dropped,
    /// The configuration names another origin.
    #[error("the configuration names another origin of weights")]
    OriginReplaced,
    /// No answer came in time.
    #[error("no answer came in time")]
    Timeout,
    /// A piece in the staging area is missing or spoilt.
    #[error("{0} pieces in the staging area are missing or spoilt")]
    Spoilt(usize),
    /// The pieces could not be read back within the time for which a check holds.
    #[error("the check of the pieces is too old for an order")]
    CheckTooOld,
    /// The backend server refused to load.
    #[error("the backend server refused the order: {0:?}")]
    Refused(crate::order_answer::OrderAnswer),
    /// A newer version was named meanwhile.
    #[error("a newer version was named")]
    Superseded,
    /// A setting without default is missing.
    #[error("the setting {0} of the agent is missing")]
    Missing(&'static str),
    /// A listener can't be opened.
    #[error("the listener for pieces can't be opened")]
    Listen,
}

impl StageError {
    /// Whether a request that failed so can't be carried out later.
    pub(crate) fn is_settled(&self) -> bool {
        matches!(self, Self::Unreachable | Self::Declined | Self::CheckTooOld)
    }
}
