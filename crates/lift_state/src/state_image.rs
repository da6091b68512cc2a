//! A copy of the whole state.

use std::{collections, time};

use crate::{change_answers, claim_group, config_state, registered_host};

/// Copy of the state for a snapshot. The caller encodes it and puts
/// [`StateImage::FORMAT`] before it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StateImage {
    pub(crate) config: config_state::ConfigState,
    pub(crate) answers: Vec<change_answers::ChangeAnswers>,
    pub(crate) manifests: Vec<lift_types::Manifest>,
    pub(crate) hosts: collections::BTreeMap<lift_types::HostId, registered_host::RegisteredHost>,
    pub(crate) last_incarnation: lift_types::Incarnation,
    pub(crate) last_fencing: lift_types::FencingToken,
    pub(crate) last_claim_at: Option<time::SystemTime>,
    pub(crate) claims: Vec<claim_group::ClaimGroup>,
}

impl StateImage {
    /// Number of the snapshot format. It grows with each change of a type that a snapshot
    /// holds; a snapshot of another format is refused.
    pub const FORMAT: u16 = 1;
}
