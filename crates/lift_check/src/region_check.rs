//! Check of allowed regions.

/// A problem for each allowed region that is not in the fleet. If the regions of the fleet are not
/// known, there is none.
pub(crate) fn unknown(
    allowed: &lift_fleet::AllowedRegions,
    regions: &indexmap::IndexSet<lift_types::RegionId>,
) -> Vec<String> {
    if regions.is_empty() {
        return Vec::new();
    }
    let unknown = allowed.listed().filter(|region| !regions.contains(*region));
    unknown
        .map(|region| format!("its allowed region {region} is not in the fleet"))
        .collect()
}
