//! Fingerprint of the configuration of a snapshot, and the part of a snapshot that still applies
//! under another configuration.
use coralstep::LearnedState;

/// The parts of a server's configuration that decide whether a snapshot applies to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigFingerprint {
    /// Name of the server.
    pub server: String,
    /// Number of cores of its engine.
    pub cores: u32,
    /// Names of the methods, in the order of the configuration.
    pub methods: Vec<String>,
    /// Configured share of a shared dependency, in concurrent calls; `None` if there is none.
    pub dependency_share: Option<f64>,
    /// Names of the tenants, in the order of the configuration.
    pub tenants: Vec<String>,
}

/// Returns the part of `learned` that still applies under the `current` configuration, or `None` if
/// it is from another server.
///
/// Methods and tenants are matched by name. The concurrency limit applies only to the same number
/// of cores, and the learned state of calls only to the same share of the dependency.
pub fn applicable_part(
    learned: &LearnedState,
    original: &ConfigFingerprint,
    current: &ConfigFingerprint,
) -> Option<LearnedState> {
    if original.server != current.server {
        return None;
    }
    let mut applicable = LearnedState {
        run_times: reorder(&learned.run_times, &original.methods, &current.methods),
        tenants: reorder(&learned.tenants, &original.tenants, &current.tenants),
        ..learned.clone()
    };
    if original.cores != current.cores {
        applicable.concurrency_limit = None;
    }
    if original.dependency_share != current.dependency_share {
        applicable.call_permits = None;
        applicable.best_call_time = None;
        applicable.call_times = Default::default();
    }
    Some(applicable)
}

/// Reorders values from the order of `old_names` to that of `new_names`; a new name gets the
/// default value.
fn reorder<T: Copy + Default>(values: &[T], old_names: &[String], new_names: &[String]) -> Vec<T> {
    let value_of = |name: &String| {
        let index = old_names.iter().position(|old| old == name)?;
        values.get(index).copied()
    };
    new_names
        .iter()
        .map(|name| value_of(name).unwrap_or_default())
        .collect()
}

#[cfg(test)]
mod tests;
