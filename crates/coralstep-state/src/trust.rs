//! How far what is read may still be believed.
use coralstep::LearnedState;

/// Believed in whole up to this age, and not at all from that one, in seconds: a deploy, and a week with its own traffic.
pub const FRESH_S: f64 = 60.0;
pub const STALE_S: f64 = 7.0 * 86_400.0;
/// Clocks differ by so much without being wrong.
pub const AHEAD_S: f64 = 60.0;

/// From 1 (as if it had been measured here just now) to 0: falls with the logarithm of the age, so a day is worth a third. From the
/// future: nobody knows what it is.
pub fn by_age(age_s: f64) -> f64 {
    match age_s {
        age if age.is_nan() || age < -AHEAD_S => 0.0,
        age if age <= FRESH_S => 1.0,
        age if age >= STALE_S => 0.0,
        age => 1.0 - (age / FRESH_S).ln() / (STALE_S / FRESH_S).ln(),
    }
}

/// What the record was learned under, and what holds now.
#[derive(Clone, Debug, PartialEq)]
pub struct Fingerprint {
    pub server: String,
    pub cores: u32,
    pub methods: Vec<String>,
    /// Of the dependency, and this server's share of it.
    pub dependency: Option<f64>,
    pub tenants: Vec<String>,
}

/// The part of a record that still applies under other terms: times on the cores scale with nothing and stay by their method's name, the
/// running limit only for the same cores, permits and call times only for the same dependency, tenants by name. Nothing of another
/// server.
pub fn applies(
    learned: &LearnedState,
    then: &Fingerprint,
    now: &Fingerprint,
) -> Option<LearnedState> {
    (then.server == now.server).then_some(())?;
    let by_name = |name: &String, names: &[String]| names.iter().position(|known| known == name);
    let runs = now
        .methods
        .iter()
        .map(|name| by_name(name, &then.methods).and_then(|at| learned.run_times.get(at).copied()));
    let tenants = now
        .tenants
        .iter()
        .map(|name| by_name(name, &then.tenants).and_then(|at| learned.tenants.get(at).copied()));
    let mut kept = LearnedState {
        run_times: runs.map(Option::unwrap_or_default).collect(),
        tenants: tenants.map(Option::unwrap_or_default).collect(),
        ..learned.clone()
    };
    if then.cores != now.cores {
        kept.concurrency_limit = None;
    }
    if then.dependency != now.dependency {
        (kept.call_permits, kept.best_call_time, kept.call_times) =
            (None, None, Default::default());
    }
    Some(kept)
}

#[cfg(test)]
mod tests;
