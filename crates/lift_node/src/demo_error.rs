//! Why the demo has no report.

/// Failure of the demo.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DemoError {
    /// The file of weights can't be used.
    #[error("--weights {file}: {problem}")]
    Weights {
        /// Its name.
        file: String,
        /// What is wrong.
        problem: String,
    },
    /// The number of replicas is out of range.
    #[error("--replicas {found}: allowed are 1 to {max}")]
    Replicas {
        /// What was asked for.
        found: u32,
        /// Most replicas of one process.
        max: u32,
    },
    /// A part could not be started.
    #[error("the demo could not start {0}")]
    Start(&'static str),
    /// Control did not accept a change or a version.
    #[error("control did not accept {0}")]
    Refused(&'static str),
}
