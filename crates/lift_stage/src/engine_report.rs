//! State of a backend server.

/// What the backend server says of itself when its agent asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Models that it holds whole.
    pub models: Vec<lift_fleet::LoadedModel>,
    /// Whether it carries out an order.
    pub is_busy: bool,
}

impl EngineReport {
    /// Requests that run or wait.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Version of the weights of `model` that it holds, 0 where it holds none.
    pub fn version(&self, model: &str) -> lift_fleet::WeightsVersion {
        let held = self.models.iter().find(|m| m.name == model);
        held.map_or(0, |m| m.version)
    }
}
