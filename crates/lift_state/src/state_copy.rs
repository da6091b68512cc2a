//! Export and import of the whole state.

use std::borrow;

use crate::{state, state_part};

/// Parts besides manifests: counters, configuration, hosts, answers and claims.
const FIXED_PARTS: usize = 2 + 2 * state::SHARDS + state::CLAIM_KEY_GROUPS as usize;

impl state::State {
    /// Calls `f` with each part of the state. Must not run while a command is applied.
    pub fn export(&self, f: &mut dyn FnMut(state_part::StatePart<'_>)) {
        let mut emit = |part: state_part::Part<'_>| f(state_part::StatePart(part));
        let counters = self.counters.with_position(0, |counters| *counters);
        emit(state_part::Part::Counters(counters));
        self.config.with_position(0, |config| {
            emit(state_part::Part::Config(borrow::Cow::Borrowed(config)));
        });
        self.manifests.for_each(|manifests| {
            for manifest in manifests.values() {
                emit(state_part::Part::Manifest(borrow::Cow::Borrowed(manifest)));
            }
        });
        let mut at = 0..;
        self.hosts.for_each(|hosts| {
            let at = at.next().unwrap_or_default();
            emit(state_part::Part::Hosts(at, borrow::Cow::Borrowed(hosts)));
        });
        let mut at = 0..;
        self.answers.for_each(|answers| {
            let at = at.next().unwrap_or_default();
            emit(state_part::Part::Answers(
                at,
                borrow::Cow::Borrowed(answers),
            ));
        });
        let mut at = 0..;
        self.claims.for_each(|group| {
            let at = at.next().unwrap_or_default();
            emit(state_part::Part::Claims(at, borrow::Cow::Borrowed(group)));
        });
    }

    /// Replaces the whole state. Returns `false`, and changes nothing, where parts are
    /// missing.
    pub fn import(&self, parts: Vec<state_part::StatePart<'_>>) -> bool {
        let is_manifest =
            |part: &&state_part::StatePart<'_>| matches!(part.0, state_part::Part::Manifest(_));
        let manifests = parts.iter().filter(is_manifest).count();
        if parts.len() != FIXED_PARTS + manifests {
            return false;
        }
        self.manifests.for_each(|manifests| manifests.clear());
        for part in parts {
            self.import_part(part.0);
        }
        true
    }

    fn import_part(&self, part: state_part::Part<'_>) {
        match part {
            state_part::Part::Counters(new) => self.counters.with_position(0, |c| *c = new),
            state_part::Part::Config(new) => {
                self.config.with_position(0, |c| *c = new.into_owned());
            }
            state_part::Part::Manifest(new) => self.keep_manifest(new.into_owned()),
            state_part::Part::Hosts(at, new) => {
                self.hosts
                    .with_position(usize::from(at), |hosts| *hosts = new.into_owned());
            }
            state_part::Part::Answers(at, new) => {
                self.answers
                    .with_position(usize::from(at), |answers| *answers = new.into_owned());
            }
            state_part::Part::Claims(at, new) => {
                self.claims
                    .with_position(usize::from(at), |group| *group = new.into_owned());
            }
        }
    }
}
