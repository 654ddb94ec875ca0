//! Max-min fairness: small wants are met in full, the others get the same each.

/// The greatest level such that all wants, each up to it, are within `total` units; `u32::MAX` where all are met.
pub(super) fn fair_share(wants: impl Iterator<Item = u32>, total: u32) -> u32 {
    let mut wants: Vec<u32> = wants.collect();
    wants.sort_unstable();
    let mut left = total;
    let mut unmet = wants.len() as u32;
    for want in wants {
        if u64::from(want) * u64::from(unmet) > u64::from(left) {
            return left / unmet.max(1);
        }
        left -= want;
        unmet -= 1;
    }
    u32::MAX
}
