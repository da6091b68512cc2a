//! Heartbeat of a backend server.

use std::{net, time};

use crate::{announcement_error, backend_id, backend_state, loaded_model};

/// Longest identifier or name, in bytes. Members send the records of all backend servers in one
/// message, which must stay below the longest frame.
const MAX_NAME_BYTES: usize = 256;

/// Largest number of models of one backend server.
const MAX_MODELS: usize = 64;

/// Largest number of slots. A server with more would draw the requests of all others.
const MAX_SLOTS: u32 = 65_536;

/// Sequences and versions are below this. Larger integers are not exact in JSON documents of many
/// writers, and nothing that counts up later would be newer than the largest ones.
const COUNT_LIMIT: u64 = 1 << 53;

/// Starts are earlier than this, after 1970: the year 10000. A later one is in another unit, and
/// no restart would be newer than it.
const START_LIMIT: time::Duration = time::Duration::from_secs(253_402_300_800);

/// Difference between warm-up times that different delays of two heartbeats may cause.
const WARMUP_TOLERANCE: time::Duration = time::Duration::from_millis(500);

type Result = std::result::Result<(), announcement_error::AnnouncementError>;

/// Content of one heartbeat, by which a backend server announces its address and state.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// The backend server that sent the heartbeat.
    pub id: backend_id::BackendId,
    /// When its process started. A restarted process under the same identifier has a later time
    /// and none of the earlier one's state.
    pub started_at: time::SystemTime,
    /// Increases with each heartbeat of one process.
    pub sequence: u64,
    /// Service to which it belongs.
    pub service: lift_types::ServiceId,
    /// Address at which it accepts requests.
    pub address: net::SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: lift_types::FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: backend_state::BackendState,
    /// Time until it runs at its usual speed. It is slower for a while after its start.
    pub warmup_left: time::Duration,
    /// Models that it has loaded completely. Empty for a service without models.
    pub models: Vec<loaded_model::LoadedModel>,
}

impl Announcement {
    /// Checks that a backend server can have sent this. Anything else must not enter the directory,
    /// since every node follows it.
    ///
    /// # Errors
    ///
    /// Returns the first field that is invalid.
    pub fn check(&self) -> Result {
        check_id(&self.id)?;
        check_name("the service", &self.service)?;
        check_name("the failure domain", &self.failure_domain)?;
        let ip = self.address.ip();
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(announcement_error::AnnouncementError::Address);
        }
        check_range("the number of slots", self.slots <= MAX_SLOTS)?;
        check_range("the sequence", self.sequence < COUNT_LIMIT)?;
        let started = self.started_at.duration_since(time::SystemTime::UNIX_EPOCH);
        let is_start = started.is_ok_and(|since| since < START_LIMIT);
        check_range("the time of the start", is_start)?;
        self.check_models()
    }

    fn check_models(&self) -> Result {
        if self.models.len() > MAX_MODELS {
            return Err(announcement_error::AnnouncementError::Models);
        }
        for model in &self.models {
            check_name("the name of a model", &model.name)?;
            check_range("the version of a model", model.version < COUNT_LIMIT)?;
        }
        Ok(())
    }

    /// Whether `self` was sent after `other`, if both have the same identifier.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.started_at, self.sequence) > (other.started_at, other.sequence)
    }

    /// Whether the server has become cold since `earlier`, which is `age` old and has the same
    /// identifier: it is cold and was warm by now, or is cold for clearly longer.
    pub fn has_turned_cold(&self, earlier: &Self, age: time::Duration) -> bool {
        let left = earlier.warmup_left.saturating_sub(age);
        let expected = match left.is_zero() {
            true => left,
            false => left.saturating_add(WARMUP_TOLERANCE),
        };
        self.warmup_left > expected
    }

    /// Whether both have the same content apart from the sequence and the warm-up time, which
    /// change with every heartbeat. [`Self::has_turned_cold`] compares the latter.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.started_at == other.started_at
            && self.service == other.service
            && self.address == other.address
            && self.failure_domain == other.failure_domain
            && self.slots == other.slots
            && self.state == other.state
            && self.models == other.models
    }
}

fn check_id(id: &str) -> Result {
    let is_graphic = id.bytes().all(|byte| byte.is_ascii_graphic());
    match is_graphic && !id.is_empty() && id.len() <= MAX_NAME_BYTES {
        true => Ok(()),
        false => Err(announcement_error::AnnouncementError::Id),
    }
}

fn check_name(field: &'static str, name: &str) -> Result {
    match !name.is_empty() && name.len() <= MAX_NAME_BYTES {
        true => Ok(()),
        false => Err(announcement_error::AnnouncementError::Name(field)),
    }
}

fn check_range(field: &'static str, is_in_range: bool) -> Result {
    match is_in_range {
        true => Ok(()),
        false => Err(announcement_error::AnnouncementError::Number(field)),
    }
}
