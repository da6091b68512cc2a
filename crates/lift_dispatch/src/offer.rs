//! What a backend server offers to a request.

use crate::{choice, choice_reason};

/// The part of a backend server's load that decides a choice.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Whether its link is jammed, so that it is taken only where most others are jammed too.
    pub(crate) is_jammed: bool,
    /// What the request costs there, or why it can't go there.
    pub(crate) cost: Result<choice::Cost, choice_reason::ChoiceReason>,
}
