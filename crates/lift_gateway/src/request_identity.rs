//! Identity of the content of a request.

use std::borrow;

use crate::request_run;

impl request_run::RequestRun {
    /// What may be at fault if a backend server ends on this request: the shared parts of its prompt
    /// and, unless nothing is suspected at present, the request as a whole.
    pub(crate) fn suspects(&self) -> borrow::Cow<'_, [lift_fleet::PromptPart]> {
        match self.shared.parts.is_calm() {
            true => borrow::Cow::Borrowed(&self.head.parts),
            false => borrow::Cow::Owned(self.suspects_with_digest()),
        }
    }

    /// Like [`Self::suspects`], with the digest in any case.
    pub(crate) fn suspects_with_digest(&self) -> Vec<lift_fleet::PromptPart> {
        let digest = self.digest().as_suspect();
        let suspects = self.head.parts.iter().chain([digest]);
        suspects.cloned().collect()
    }

    /// Digest of what the caller sends again if it repeats the request under another identifier.
    /// It is computed once, and only if it is needed.
    pub(crate) fn digest(&self) -> &lift_fleet::RequestDigest {
        self.digest.get_or_init(|| self.compute_digest())
    }

    fn compute_digest(&self) -> lift_fleet::RequestDigest {
        let caller = match &self.workspace {
            Some(workspace) => Some(workspace),
            None => self.head.key.as_ref(),
        };
        let target = self.uri.path_and_query().map(|target| target.as_str());
        let fields: [Option<&[u8]>; 7] = [
            Some(self.method.as_str().as_bytes()),
            Some(self.route.host.as_bytes()),
            target.map(str::as_bytes),
            caller.map(|caller| caller.as_bytes()),
            self.head.model.as_ref().map(|model| model.as_bytes()),
            self.head.prompt.as_ref().map(|prompt| prompt.as_bytes()),
            Some(&self.body),
        ];
        lift_fleet::RequestDigest::of(&fields)
    }
}
