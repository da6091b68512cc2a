//! What a control member feeds to nodes.

use std::{fmt, sync};

use crate::{confirmation, fleet_head, join_answer, member_card, newcomer};

/// State of a control member, as its feed server needs it.
#[async_trait::async_trait]
pub trait FeedSource: fmt::Debug + Send + Sync {
    /// All control members and the highest identifier that was ever used. The latter is 0 as long
    /// as these members may not stay in force, so that no member clears its disk for a removal
    /// that is undone.
    fn members(&self) -> (Vec<member_card::MemberCard>, lift_types::MemberId);

    /// Versions and evacuations in force.
    fn head(&self) -> fleet_head::FleetHead;

    /// The document in force.
    fn document(&self) -> Option<sync::Arc<lift_fleet::Document>>;

    /// All backend servers.
    fn backends(&self) -> Vec<lift_fleet::BackendRecord>;

    /// State in force, where this member leads and is sure that there is no newer one.
    fn confirm(&self) -> Option<confirmation::Confirmation>;

    /// Makes a host a control member.
    async fn join(&self, newcomer: newcomer::Newcomer) -> join_answer::JoinAnswer;
}
