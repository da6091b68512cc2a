//! The sightings that a node keeps.

use std::time;

use crate::{sighting_cursor, sighting_outcome, spread};

/// Age from which a sighting is forgotten.
const MAX_AGE: time::Duration = time::Duration::from_secs(600);

/// Sightings that are kept. Control members, whose memory is dear, keep them too.
const MAX_SIGHTINGS: usize = 256;

/// Identifiers that are remembered. There are more than sightings, so that a late copy of one that
/// was dropped for space is not taken for another event.
const MAX_KNOWN_IDS: usize = 2_048;

/// Time for which an identifier outlasts the age of its sighting. A copy that was long on its way
/// looks younger than it is.
const COPY_DELAY: time::Duration = time::Duration::from_secs(60);

/// Parts of one sighting.
const MAX_PARTS: usize = 64;

/// Bytes of one sighting, over all its text.
const MAX_SIGHTING_BYTES: usize = 4 * 1024;

/// Sightings in one message. A connection that opens gets them in several messages, so that they
/// don't hold up its other messages on a narrow link.
const MAX_BATCH: usize = 32;

type SightingId = u64;

/// Bounded memory of sightings, which drops the oldest first. It holds times of the local clock
/// and turns them back into ages when a sighting is sent. See `docs/platform.md`.
#[derive(Debug, Default)]
pub struct SightingLog {
    /// In the order of their positions.
    kept: indexmap::IndexMap<SightingId, Kept>,
    /// When each identifier is forgotten, in the order of their arrival.
    known: indexmap::IndexMap<SightingId, time::Instant>,
    /// Position of the last sighting that was kept. The first has position 1.
    position: u64,
}

#[derive(Debug)]
struct Kept {
    position: u64,
    /// When it is too old. The time at which it was seen may lie before the start of the clock, on
    /// a host that has just started.
    expires_at: time::Instant,
    spread: spread::Spread,
    observation: lift_fleet::PartObservation,
}

impl SightingLog {
    /// Keeps `sighting` unless it is known, too old or too long.
    pub fn add(
        &mut self,
        now: time::Instant,
        sighting: &lift_fleet::PartSighting,
        spread: spread::Spread,
    ) -> sighting_outcome::SightingOutcome {
        use sighting_outcome::SightingOutcome as Outcome;
        if !is_within_bounds(&sighting.observation) {
            return Outcome::OverBounds;
        }
        if sighting.age >= MAX_AGE {
            return Outcome::TooOld;
        }
        self.drop_expired(now);
        if self.known.contains_key(&sighting.id) {
            return Outcome::Copy;
        }
        let expires_at = now + (MAX_AGE - sighting.age);
        self.remember(sighting.id, expires_at);
        if !self.make_space(expires_at) {
            return Outcome::NoSpace;
        }
        self.position += 1;
        let kept = Kept {
            position: self.position,
            expires_at,
            spread,
            observation: sighting.observation.clone(),
        };
        self.kept.insert(sighting.id, kept);
        Outcome::News
    }

    /// Starts to send what is kept over a connection that opens.
    pub fn cursor(&self) -> sighting_cursor::SightingCursor {
        sighting_cursor::SightingCursor::new(self.position)
    }

    /// The next sightings for the connection of `cursor`, none if it has sent all. It moves on.
    pub fn take(
        &self,
        now: time::Instant,
        cursor: &mut sighting_cursor::SightingCursor,
    ) -> Vec<lift_fleet::PartSighting> {
        let is_due =
            |kept: &Kept| kept.expires_at > now && cursor.wants(kept.position, kept.spread);
        let due = self.kept.iter().filter(|(_, kept)| is_due(kept));
        let batch: Vec<_> = due.take(MAX_BATCH).collect();
        if let Some((_, last)) = batch.last() {
            cursor.advance(last.position);
        }
        let sightings = batch.into_iter().map(|(id, kept)| kept.sighting(now, *id));
        sightings.collect()
    }

    fn drop_expired(&mut self, now: time::Instant) {
        self.kept.retain(|_, kept| kept.expires_at > now);
        self.known.retain(|_, expires_at| *expires_at > now);
    }

    fn remember(&mut self, id: SightingId, expires_at: time::Instant) {
        if self.known.len() >= MAX_KNOWN_IDS {
            self.known.shift_remove_index(0);
        }
        self.known.insert(id, expires_at + COPY_DELAY);
    }

    /// Drops the oldest sighting of a full log. Returns whether there is space for one that expires
    /// at `expires_at`, which there isn't if it is the oldest itself.
    fn make_space(&mut self, expires_at: time::Instant) -> bool {
        if self.kept.len() < MAX_SIGHTINGS {
            return true;
        }
        let kept = self.kept.values().enumerate();
        let oldest = kept.min_by_key(|(_, kept)| kept.expires_at);
        let oldest = oldest.map(|(index, kept)| (index, kept.expires_at));
        match oldest {
            Some((index, expiry)) if expiry <= expires_at => {
                self.kept.shift_remove_index(index);
                true
            }
            _ => false,
        }
    }
}

impl Kept {
    fn sighting(&self, now: time::Instant, id: SightingId) -> lift_fleet::PartSighting {
        let left = self.expires_at.saturating_duration_since(now);
        lift_fleet::PartSighting {
            id,
            age: MAX_AGE.saturating_sub(left),
            observation: self.observation.clone(),
        }
    }
}

fn is_within_bounds(observation: &lift_fleet::PartObservation) -> bool {
    match observation {
        lift_fleet::PartObservation::Crash { backend, parts } => {
            let bytes = backend.len() + parts.iter().map(String::len).sum::<usize>();
            parts.len() <= MAX_PARTS && bytes <= MAX_SIGHTING_BYTES
        }
        lift_fleet::PartObservation::Answered { part } => part.len() <= MAX_SIGHTING_BYTES,
    }
}
