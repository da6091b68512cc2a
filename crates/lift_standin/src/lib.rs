//! Small stand-ins for the systems at the borders, for tests and experiments.

mod memory_log;

pub use memory_log::MemoryLog;
