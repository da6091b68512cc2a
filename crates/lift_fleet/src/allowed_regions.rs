//! Regions in which requests may run.

use std::{fmt, sync};

/// Regions in which the requests of a route or workspace may run. By default there is no
/// restriction.
///
/// This is a hard limit: a backend server outside of it never gets the request, however full the
/// others are. See `docs/design/allowed-regions.md`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    /// The regions, or `None` if all are allowed.
    regions: Option<sync::Arc<indexmap::IndexSet<lift_types::RegionId>>>,
}

impl AllowedRegions {
    /// Allows the listed regions only, or all of them if the list is empty.
    pub fn new(regions: impl IntoIterator<Item = lift_types::RegionId>) -> Self {
        let regions: indexmap::IndexSet<_> = regions.into_iter().collect();
        Self {
            regions: (!regions.is_empty()).then(|| sync::Arc::new(regions)),
        }
    }

    /// Allows what both allow, which may be no region at all.
    pub fn intersect(&self, other: &Self) -> Self {
        let (Some(own), Some(others)) = (&self.regions, &other.regions) else {
            return match self.regions {
                Some(_) => self.clone(),
                None => other.clone(),
            };
        };
        let common = own.intersection(others).cloned().collect();
        Self {
            regions: Some(sync::Arc::new(common)),
        }
    }

    /// Whether requests may run in `region`. A server whose region is unknown is in no listed one.
    pub fn contains(&self, region: Option<&str>) -> bool {
        match (&self.regions, region) {
            (None, _) => true,
            (Some(regions), Some(region)) => regions.contains(region),
            (Some(_), None) => false,
        }
    }

    /// The regions that are listed. None if all are allowed.
    pub fn listed(&self) -> impl Iterator<Item = &lift_types::RegionId> {
        self.regions.iter().flat_map(|regions| regions.iter())
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        self.regions.as_ref().is_some_and(|r| r.is_empty())
    }
}

impl fmt::Display for AllowedRegions {
    /// Writes the names of the regions, or `all`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.regions else {
            return f.write_str("all");
        };
        for (position, region) in regions.iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(f, "{separator}{region}")?;
        }
        Ok(())
    }
}
