//! Content of a token file.

use crate::token_record;

/// All tokens that the administration API accepts.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenList {
    /// The tokens.
    pub tokens: Vec<token_record::TokenRecord>,
}
