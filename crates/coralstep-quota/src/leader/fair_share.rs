//! Max-min fairness: demands up to the fair share are met in full, the others get the fair share.

/// Returns the largest share such that all demands, each capped at it, fit in `total` units; `u32::MAX` if all
/// demands fit.
pub(super) fn fair_share(demands: impl Iterator<Item = u32>, total: u32) -> u32 {
    let mut demands: Vec<u32> = demands.collect();
    demands.sort_unstable();
    let mut remaining = total;
    let mut unmet = demands.len() as u32;
    for demand in demands {
        if u64::from(demand) * u64::from(unmet) > u64::from(remaining) {
            return remaining / unmet.max(1);
        }
        remaining -= demand;
        unmet -= 1;
    }
    u32::MAX
}
