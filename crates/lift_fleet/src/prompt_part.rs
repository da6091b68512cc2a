//! Part of a prompt.

/// Identifier of a part of a prompt, which requests of many callers may share.
pub type PromptPart = String;
