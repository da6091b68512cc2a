//! Identifier of a region.

/// Name of a region, for example `piedmont`.
pub type RegionId = String;
