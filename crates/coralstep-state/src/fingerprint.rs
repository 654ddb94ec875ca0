//! The configuration under which a snapshot was learned, and what of the snapshot still applies
//! under another one.
use coralstep::LearnedState;

/// The parts of a server's configuration that decide whether a snapshot applies to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigFingerprint {
    /// Name of the server.
    pub server: String,
    /// Cores of its engine.
    pub cores: u32,
    /// Names of the methods, in the order of the configuration.
    pub methods: Vec<String>,
    /// The stated share of a shared dependency, in concurrent calls; `None` if there is none.
    pub dependency_share: Option<f64>,
    /// Names of the tenants, in the order of the configuration.
    pub tenants: Vec<String>,
}

/// Returns the part of `learned` that still applies under `current`, or `None` if it is another
/// server's.
///
/// Methods and tenants are matched by name. The concurrency limit holds only for the same cores,
/// and what was learned of calls only for the same share of the dependency.
pub fn applicable_part(
    learned: &LearnedState,
    learned_under: &ConfigFingerprint,
    current: &ConfigFingerprint,
) -> Option<LearnedState> {
    if learned_under.server != current.server {
        return None;
    }
    let mut applicable = LearnedState {
        run_times: reorder(&learned.run_times, &learned_under.methods, &current.methods),
        tenants: reorder(&learned.tenants, &learned_under.tenants, &current.tenants),
        ..learned.clone()
    };
    if learned_under.cores != current.cores {
        applicable.concurrency_limit = None;
    }
    if learned_under.dependency_share != current.dependency_share {
        applicable.call_permits = None;
        applicable.best_call_time = None;
        applicable.call_times = Default::default();
    }
    Some(applicable)
}

/// Brings values from the order of `old_names` into that of `new_names`; a new name has the default
/// value.
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
