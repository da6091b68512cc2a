//! Settings of a member.

use std::{net, path, sync};

use error_stack::ResultExt as _;
use tokio::sync::watch;

use crate::{
    company, leadership, link_switch, log_driver, member_files, member_place, member_start,
    start_error, state_machine, supervised_log,
};

type Result<T> = std::result::Result<T, error_stack::Report<start_error::StartError>>;

/// Builds a [`log_driver::LogDriver`].
#[derive(Clone, Debug)]
pub struct LogDriverBuilder {
    replica: lift_consensus::ReplicaConfig,
    files: Option<member_place::MemberPlace>,
    listener: Option<sync::Arc<net::TcpListener>>,
    address: Option<net::SocketAddr>,
    keys: Option<lift_wire::LinkKeys>,
    machine: Option<sync::Arc<dyn state_machine::StateMachine>>,
    advertised: Option<net::SocketAddr>,
    log: slog::Logger,
    counters: Option<sync::Arc<lift_obs::Counters>>,
    switch: Option<sync::Arc<link_switch::LinkSwitch>>,
    leadership: Option<sync::Arc<watch::Sender<leadership::Leadership>>>,
}

impl LogDriverBuilder {
    pub(crate) fn new() -> Self {
        Self {
            replica: lift_consensus::ReplicaConfig::default(),
            files: None,
            listener: None,
            address: None,
            advertised: None,
            keys: None,
            machine: None,
            log: lift_obs::LogConfig::discard(),
            counters: None,
            switch: None,
            leadership: None,
        }
    }

    /// Identifier of this member. A host whose disk was lost needs a new one.
    pub fn id(mut self, id: lift_types::MemberId) -> Self {
        self.replica.id = id;
        self
    }

    /// Adds a voter of a new cluster. All voters of a new cluster get the same list. A
    /// member that joins later gets none.
    pub fn initial_member(
        mut self,
        id: lift_types::MemberId,
        peer: net::SocketAddr,
        client: net::SocketAddr,
    ) -> Self {
        let role = lift_consensus::MemberRole::Voter;
        let member = lift_consensus::Member { role, peer, client };
        self.replica.members = self.replica.members.with(id, member);
        self
    }

    /// Keeps all files in `folder`.
    pub fn folder(mut self, folder: impl Into<path::PathBuf>) -> Self {
        self.files = Some(member_place::MemberPlace::Folder(folder.into()));
        self
    }

    /// Keeps all files on `disk` instead of a folder.
    pub fn disk(mut self, disk: sync::Arc<dyn lift_disk::Disk>) -> Self {
        self.files = Some(member_place::MemberPlace::Disk(disk));
        self
    }

    /// Accepts other members at `address`.
    pub fn peer_address(mut self, address: net::SocketAddr) -> Self {
        self.address = Some(address);
        self
    }

    /// Where the other members reach this one, if not where it accepts them.
    pub fn advertise(mut self, address: net::SocketAddr) -> Self {
        self.advertised = Some(address);
        self
    }

    /// Accepts other members at a port that is open already.
    pub fn peer_listener(mut self, listener: net::TcpListener) -> Self {
        self.listener = Some(sync::Arc::new(listener));
        self
    }

    /// Keys of the links between members.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// What the log drives.
    pub fn state_machine(mut self, machine: sync::Arc<dyn state_machine::StateMachine>) -> Self {
        self.machine = Some(machine);
        self
    }

    /// Logger, by default one that drops all events.
    pub fn logger(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Counters, by default those of this member alone.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = Some(counters);
        self
    }

    /// Durations of the protocol. All members must use the same.
    pub fn timing(mut self, timing: lift_consensus::Timing) -> Self {
        self.replica.timing = timing;
        self
    }

    /// Sizes of the protocol.
    pub fn limits(mut self, limits: lift_consensus::Limits) -> Self {
        self.replica.limits = limits;
        self
    }

    /// Lets a test cut and stall the links of this member.
    pub fn link_switch(mut self, switch: sync::Arc<link_switch::LinkSwitch>) -> Self {
        self.switch = Some(switch);
        self
    }

    /// Publishes who leads at `leadership`, which outlives this start of the member.
    pub(crate) fn leadership(
        mut self,
        leadership: sync::Arc<watch::Sender<leadership::Leadership>>,
    ) -> Self {
        self.leadership = Some(leadership);
        self
    }

    /// Starts the member as [`Self::start`] does, and again on its files whenever it ends, for
    /// instance after its disk was full. A full disk at the first start is waited for.
    ///
    /// # Errors
    ///
    /// Returns the errors of the first start, but that of a full disk.
    pub async fn start_supervised(self) -> Result<supervised_log::SupervisedLog> {
        supervised_log::SupervisedLog::start(self).await
    }

    /// Identifier of this member.
    pub(crate) fn member(&self) -> lift_types::MemberId {
        self.replica.id
    }

    /// Logger of the member.
    pub(crate) fn log(&self) -> &slog::Logger {
        &self.log
    }

    /// Counters of all starts of the member.
    pub(crate) fn shared_counters(&mut self) -> sync::Arc<lift_obs::Counters> {
        sync::Arc::clone(self.counters.get_or_insert_default())
    }

    /// Reads the disk, opens the port and starts the member.
    ///
    /// # Errors
    ///
    /// Returns an error where a setting is missing, the port can't be opened or the disk
    /// can't be used. Damaged files are named in the report.
    pub async fn start(self) -> Result<log_driver::LogDriver> {
        let keys = self.keys.clone().ok_or_else(|| missing("keys"))?;
        let machine = self.machine.clone();
        let machine = machine.ok_or_else(|| missing("state_machine"))?;
        let listener = self.listen()?;
        let files = self.open_files().await?;
        let mut replica = self.replica;
        if !files.identity.confirmed {
            replica.voting = lift_consensus::Voting::Withheld;
        }
        let parts = member_start::MemberStart {
            replica,
            log: self.log,
            counters: self.counters.unwrap_or_default(),
            switch: self.switch,
            keys,
            machine,
            listener,
            advertised: self.advertised,
            leadership: self.leadership.unwrap_or_else(follows_nobody),
        };
        parts.start(files)
    }

    async fn open_files(&self) -> Result<member_files::MemberFiles> {
        let place = self.files.clone().ok_or_else(|| missing("folder"))?;
        let id = self.replica.id;
        let alone = self.replica.members.len() == 1 && self.replica.members.get(id).is_some();
        let company = match alone {
            true => company::Company::Alone,
            false => company::Company::Others,
        };
        let open = move || member_files::MemberFiles::open(place, id, company);
        let opened = tokio::task::spawn_blocking(open).await;
        opened.change_context(start_error::StartError::Disk)?
    }

    fn listen(&self) -> Result<tokio::net::TcpListener> {
        let listener = match (&self.listener, self.address) {
            (Some(listener), _) => listener.try_clone(),
            (None, Some(address)) => net::TcpListener::bind(address),
            (None, None) => return Err(error_stack::Report::new(missing("peer_address"))),
        };
        let listener = listener.change_context(start_error::StartError::Port)?;
        let prepared = listener.set_nonblocking(true);
        prepared.change_context(start_error::StartError::Port)?;
        tokio::net::TcpListener::from_std(listener).change_context(start_error::StartError::Port)
    }
}

/// Leadership of a member that has not started yet.
pub(crate) fn follows_nobody() -> sync::Arc<watch::Sender<leadership::Leadership>> {
    let (tx, _) = watch::channel(leadership::Leadership::Follower { leader: None });
    sync::Arc::new(tx)
}

fn missing(setting: &'static str) -> start_error::StartError {
    start_error::StartError::Missing(setting)
}
