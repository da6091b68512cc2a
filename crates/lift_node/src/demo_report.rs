//! Result of the demo.

/// Figures of the demo. Times are in milliseconds, sizes in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct DemoReport {
    /// Version made of the file.
    pub version: lift_types::VersionId,
    /// Model replicas.
    pub replicas: u32,
    /// Replicas that served the version when its spread ended.
    pub replicas_serving: u32,
    /// Time from the change of the default until all replicas served the version; `None`
    /// where the time ran out first.
    pub time_to_all_ms: Option<u64>,
    /// Bytes read from the origin for the version.
    pub origin_bytes: u64,
    /// Length of the weights.
    pub weights_bytes: u64,
    /// Answers that were whole, and right for the version that they name.
    pub answers_ok: u64,
    /// Answers that were cut, mixed, crossed, or told otherwise than what ran.
    pub answers_wrong: u64,
    /// Requests without an answer.
    pub answers_lost: u64,
    /// Non-idempotent requests that callers sent, repeats not counted.
    pub non_idempotent_sent: u64,
    /// Those that ran.
    pub non_idempotent_ran: u64,
    /// Those that ran more than once.
    pub double_runs: u64,
    /// Second version, which differs from the first in one chunk; `None` where there was no
    /// time for it.
    pub second: Option<SecondVersion>,
}

/// Figures of the second version.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct SecondVersion {
    /// Its name.
    pub version: lift_types::VersionId,
    /// Replicas that served it when its spread ended.
    pub replicas_serving: u32,
    /// Time until all replicas served it.
    pub time_to_all_ms: Option<u64>,
    /// Bytes read from the origin for it.
    pub origin_bytes: u64,
}

impl DemoReport {
    /// Whether every replica served the version, and every answer came, was right and was
    /// made once.
    pub fn is_good(&self) -> bool {
        let is_spread = self.time_to_all_ms.is_some() && self.replicas_serving == self.replicas;
        let answers = self.answers_wrong + self.answers_lost + self.double_runs;
        is_spread && answers == 0
    }
}
