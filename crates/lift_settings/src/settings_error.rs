//! Why settings are refused.

/// The first field at fault, what is wrong with it and what is allowed. Its text is one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}; allowed: {allowed}")]
pub struct SettingsError {
    path: String,
    problem: String,
    allowed: String,
}

impl SettingsError {
    /// Keeps the parts of the message.
    pub fn new(
        path: impl Into<String>,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
            allowed: allowed.into(),
        }
    }

    /// Path of the field at fault, for example `entry.control_addrs[0]`.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Converts an error of the JSON decoder.
    pub(crate) fn from_decoder(e: &serde_path_to_error::Error<serde_json::Error>) -> Self {
        let path = match e.path().to_string() {
            path if path == "." => String::from("(file)"),
            path => path,
        };
        let text = e.inner().to_string().replace('\n', " ");
        let (problem, allowed) = match text.split_once(", expected ") {
            Some((problem, allowed)) => (String::from(problem), String::from(allowed)),
            None => (text, String::from("see docs/operate/settings.md")),
        };
        let allowed = if problem.contains("invalid socket address") {
            String::from("IP:PORT, for example 10.0.0.1:7000 or [::1]:7000")
        } else {
            allowed
        };
        Self::new(path, problem, allowed)
    }
}
