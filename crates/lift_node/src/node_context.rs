//! What the roles of a node share.

use std::sync;

use error_stack::ResultExt as _;

use crate::node_error;

/// Location, keys, logger and counters of the process.
#[derive(Clone, Debug)]
pub(crate) struct NodeContext {
    pub(crate) location: lift_types::Location,
    pub(crate) keys: lift_wire::LinkKeys,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    /// Memory for what callers and operators send.
    pub(crate) budget: sync::Arc<lift_listen::ByteBudget>,
}

impl NodeContext {
    /// Reads the link keys of the settings.
    pub(crate) fn new(
        settings: &lift_settings::Settings,
        log: slog::Logger,
    ) -> Result<Self, error_stack::Report<node_error::NodeError>> {
        let mut keys = lift_wire::LinkKeys::new(read_key(&settings.link_keys.current)?);
        for file in &settings.link_keys.accepted {
            keys = keys.accept(read_key(file)?);
        }
        Ok(Self {
            location: settings.location(),
            keys,
            log,
            counters: sync::Arc::default(),
            budget: lift_listen::ByteBudget::new(lift_listen::ByteBudget::bytes_for(
                settings.memory_mb,
            )),
        })
    }
}

fn read_key(
    file: &lift_settings::KeyFile,
) -> Result<lift_wire::LinkKey, error_stack::Report<node_error::NodeError>> {
    let secret = file
        .read()
        .map_err(|problem| {
            error_stack::Report::new(node_error::NodeError::Settings).attach(problem)
        })
        .attach_with(|| format!("link key {}", file.id))?;
    Ok(lift_wire::LinkKey::new(file.id, secret))
}
