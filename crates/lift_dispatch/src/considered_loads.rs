//! Loads of the backend servers that were considered for a request.

use std::fmt;

use crate::considered_load;

/// Backend servers that are written, those with the fewest requests first.
const MAX_SERVERS: usize = 6;

/// Loads of all backend servers of a service. The text names a few of them, so that the log line
/// stays short in a large fleet.
#[derive(Clone, Debug, Default)]
pub struct ConsideredLoads(Vec<considered_load::ConsideredLoad>);

impl ConsideredLoads {
    /// Takes the loads in any order.
    pub fn new(loads: Vec<considered_load::ConsideredLoad>) -> Self {
        Self(loads)
    }
}

impl fmt::Display for ConsideredLoads {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut loads: Vec<_> = self.0.iter().collect();
        loads.sort_by_key(|load| (load.age.is_none(), load.requests));
        write!(f, "{} servers", loads.len())?;
        for load in loads.into_iter().take(MAX_SERVERS) {
            write!(f, " {}:{}/{}", load.backend, load.requests, load.slots)?;
            match load.age {
                Some(age) => write!(f, "@{}ms", age.as_millis())?,
                None => f.write_str("@stale")?,
            }
        }
        Ok(())
    }
}
