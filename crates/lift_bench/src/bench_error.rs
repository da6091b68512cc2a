//! Why an experiment has no result.

/// Failure of an experiment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BenchError {
    /// An option is not valid.
    #[error("{option}: {problem}")]
    Option {
        /// Name of the option.
        option: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
    /// A part of the experiment could not be started.
    #[error("the experiment could not be started")]
    Start,
    /// The experiment did not end in its time.
    #[error("the experiment did not end within {seconds} s")]
    Timeout {
        /// Its time in seconds.
        seconds: u64,
    },
}
