//! Limits that cover each other's RPCs: none may be out of reach under another.
use super::{LimitConfig, LimitConfigError};

/// Limits that are compared each with each. Longer tables are made by programs, and are taken as they are.
const MAX_COMPARED_LIMITS: usize = 512;

/// A limit's settings, and where they stand.
#[derive(Clone, Copy)]
struct Entry<'a> {
    index: usize,
    config: &'a LimitConfig,
}

impl Entry<'_> {
    /// RPCs a second or in flight.
    fn figure(&self) -> f64 {
        let in_flight = f64::from(self.config.in_flight.unwrap_or(0));
        self.config.rps.unwrap_or(in_flight)
    }

    /// Whether all RPCs of `other` are of this one, too, and both count the same.
    fn covers(&self, other: &Entry<'_>) -> bool {
        let (config, part) = (self.config, other.config);
        self.index != other.index
            && is_wider(config.tenant.as_ref(), part.tenant.as_ref())
            && is_wider(config.method.as_ref(), part.method.as_ref())
            && is_wider(config.dependency.as_ref(), part.dependency.as_ref())
            && config.rps.is_some() == part.rps.is_some()
    }
}

fn is_wider(name: Option<&String>, other: Option<&String>) -> bool {
    name.is_none() || name == other
}

/// Checks that each limit can be reached under those that cover it, and that none is less than its parts together.
pub(super) fn check_consistency(configs: &[LimitConfig]) -> Result<(), LimitConfigError> {
    if configs.len() > MAX_COMPARED_LIMITS {
        return Ok(());
    }
    let entries: Vec<Entry<'_>> = configs
        .iter()
        .enumerate()
        .map(|(index, config)| Entry { index, config })
        .collect();
    for whole in &entries {
        let parts: Vec<Entry<'_>> = entries
            .iter()
            .copied()
            .filter(|part| whole.covers(part))
            .collect();
        check_parts_reachable(whole, &parts)?;
        check_sum_of_parts(whole, &parts)?;
    }
    Ok(())
}

fn check_parts_reachable(whole: &Entry<'_>, parts: &[Entry<'_>]) -> Result<(), LimitConfigError> {
    let greater = parts.iter().find(|part| part.figure() > whole.figure());
    greater.map_or(Ok(()), |part| {
        Err(LimitConfigError::Unreachable {
            index: part.index,
            figure: part.figure(),
            covering: whole.index,
            covering_figure: whole.figure(),
        })
    })
}

/// Only parts that have no RPC in common are added up: those of one tenant each, and those of one method each.
fn check_sum_of_parts(whole: &Entry<'_>, parts: &[Entry<'_>]) -> Result<(), LimitConfigError> {
    let by_tenant = parts.iter().filter(|part| {
        whole.config.tenant.is_none()
            && part.config.tenant.is_some()
            && part.config.method == whole.config.method
    });
    let by_method = parts.iter().filter(|part| {
        whole.config.method.is_none()
            && part.config.method.is_some()
            && part.config.tenant == whole.config.tenant
    });
    let sums: [f64; 2] = [
        by_tenant.map(Entry::figure).sum(),
        by_method.map(Entry::figure).sum(),
    ];
    for sum in sums {
        if sum > whole.figure() {
            return Err(LimitConfigError::UnderSumOfParts {
                index: whole.index,
                figure: whole.figure(),
                sum,
            });
        }
    }
    Ok(())
}
