//! Checks of the rest of a stream.

use crate::answer_part;

/// Checks that what another agent sends continues a stream that broke off.
#[derive(Debug)]
pub(crate) struct ResumeCheck {
    head: lift_border::AnswerHead,
    version: lift_types::VersionId,
}

impl ResumeCheck {
    /// Remembers the head of the stream. Returns `None` if the stream can't resume: only a success
    /// of a known version has a rest that is the same elsewhere.
    pub(crate) fn new(head: &lift_border::AnswerHead) -> Option<Self> {
        let version = head.version.clone()?;
        let is_success = (200..300).contains(&head.status);
        is_success.then(|| Self {
            head: head.clone(),
            version,
        })
    }

    /// Version that the rest must have.
    pub(crate) fn version(&self) -> lift_types::VersionId {
        self.version.clone()
    }

    /// Checks the head of the rest, `forwarded` bytes after the start of the stream.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt if the status, version, media type or length differs.
    pub(crate) fn check_head(
        &self,
        forwarded: u64,
        rest: &lift_border::AnswerHead,
    ) -> Result<(), lift_route::AttemptFailure> {
        let length = rest.length.map(|length| length.saturating_add(forwarded));
        let has_same_length = match (self.head.length, length) {
            (Some(whole), Some(length)) => whole == length,
            _ => true,
        };
        let is_rest = rest.status == self.head.status
            && rest.version == self.head.version
            && media_type(rest) == media_type(&self.head)
            && has_same_length;
        damaged_unless(is_rest)
    }

    /// Checks the first part of the rest. A rest without content shows nothing of the bytes that
    /// are missing.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::check_part`] does, or if there is no content.
    pub(crate) fn check_first_part(
        &self,
        forwarded: u64,
        part: &answer_part::AnswerPart,
    ) -> Result<(), lift_route::AttemptFailure> {
        let is_end = matches!(part, answer_part::AnswerPart::End);
        damaged_unless(!is_end || self.head.length == Some(forwarded))?;
        self.check_part(forwarded, part)
    }

    /// Checks a part that follows `forwarded` bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns the failure of the attempt if the whole stream would be longer or shorter than its
    /// head said.
    pub(crate) fn check_part(
        &self,
        forwarded: u64,
        part: &answer_part::AnswerPart,
    ) -> Result<(), lift_route::AttemptFailure> {
        let Some(length) = self.head.length else {
            return Ok(());
        };
        damaged_unless(match part {
            answer_part::AnswerPart::Data(bytes) => forwarded + bytes.len() as u64 <= length,
            answer_part::AnswerPart::End => forwarded == length,
        })
    }
}

fn damaged_unless(is_intact: bool) -> Result<(), lift_route::AttemptFailure> {
    match is_intact {
        true => Ok(()),
        false => Err(lift_route::AttemptFailure::Damaged),
    }
}

/// Media type of an answer, in lower case and without parameters.
fn media_type(head: &lift_border::AnswerHead) -> Option<String> {
    let is_type = |name: &str| name.eq_ignore_ascii_case("content-type");
    let (_, value) = head.headers.iter().find(|(name, _)| is_type(name))?;
    let media_type = value.split(';').next()?;
    Some(media_type.trim().to_ascii_lowercase())
}
