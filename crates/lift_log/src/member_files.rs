//! What a member finds on its disk when it starts.

use std::sync;

use error_stack::ResultExt as _;
use rand::RngExt as _;

use crate::{company, member_place, start_error};

type Result<T> = std::result::Result<T, error_stack::Report<start_error::StartError>>;

/// Stores of a member and their content.
#[derive(Debug)]
pub(crate) struct MemberFiles {
    pub(crate) store: lift_disk::LogStore,
    pub(crate) snapshots: lift_disk::SnapshotStore,
    pub(crate) identities: lift_disk::IdentityStore,
    pub(crate) identity: lift_disk::Identity,
    pub(crate) restored: lift_consensus::RecoveredState,
}

impl MemberFiles {
    /// Reads the files of a member. An empty disk is bound to the member.
    pub(crate) fn open(
        place: member_place::MemberPlace,
        id: lift_types::MemberId,
        company: company::Company,
    ) -> Result<Self> {
        let disk: sync::Arc<dyn lift_disk::Disk> = match place {
            member_place::MemberPlace::Disk(disk) => disk,
            member_place::MemberPlace::Folder(folder) => {
                let opened = lift_disk::FileDisk::open(folder);
                sync::Arc::new(opened.change_context(start_error::StartError::Disk)?)
            }
        };
        let identities = lift_disk::IdentityStore::new(sync::Arc::clone(&disk));
        let loaded = identities
            .load()
            .change_context(start_error::StartError::Disk)?;
        let identity = match loaded {
            Some(identity) if identity.member == id => identity,
            Some(identity) => {
                let (found, expected) = (identity.member, id);
                let e = lift_disk::DiskError::WrongMember { found, expected };
                return Err(
                    error_stack::Report::new(e).change_context(start_error::StartError::Disk)
                );
            }
            None => bind_empty(&identities, id, company)?,
        };
        let opened = lift_disk::LogStore::open(disk);
        let (store, restored) = opened.change_context(start_error::StartError::Disk)?;
        Ok(Self {
            snapshots: store.snapshots(),
            store,
            identities,
            identity,
            restored,
        })
    }
}

fn bind_empty(
    identities: &lift_disk::IdentityStore,
    id: lift_types::MemberId,
    company: company::Company,
) -> Result<lift_disk::Identity> {
    let identity = lift_disk::Identity {
        member: id,
        disk: rand::rng().random(),
        confirmed: company == company::Company::Alone,
        peers: indexmap::IndexMap::new(),
    };
    let saved = identities.save(&identity);
    saved.change_context(start_error::StartError::Disk)?;
    Ok(identity)
}
