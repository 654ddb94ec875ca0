//! What operators state of a limit, checked; and the limits as the other files see them.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Limits at the most, letters of a name.
pub const LIMITS_MOST: usize = 10_000;
pub const NAME_MOST: usize = 64;
/// The greatest figures.
const RPS_MOST: f64 = 1e6;
const UNITS_MOST: u32 = 1_000_000;
/// Tokens are out for so long before they come back as room, in seconds: a burst must last for it.
pub const OUT_S: f64 = 0.5;

/// RPCs of a tenant, a method, a dependency, or of what is all of these, for the whole fleet: `rps` with `burst`, or `in_hand`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LimitTerms {
    /// Its name, by which operators see it.
    pub name: String,
    #[serde(default)]
    pub tenant: Option<String>,
    #[serde(default)]
    pub method: Option<String>,
    /// RPCs of methods that call it.
    #[serde(default)]
    pub dependency: Option<String>,
    /// RPCs a second, 0.01 to 1000000.
    #[serde(default)]
    pub rps: Option<f64>,
    /// RPCs at once, on top; one second's worth where left out, 2 at the least.
    #[serde(default)]
    pub burst: Option<u32>,
    /// RPCs that are read and not answered, 1 to 1000000.
    #[serde(default)]
    pub in_hand: Option<u32>,
    /// What a server does that nobody gives anything.
    #[serde(default)]
    pub cut_off: CutOff,
}

/// What a server that is cut off admits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum CutOff {
    /// What it has, until its lease ends; then nothing. The limit holds always.
    #[default]
    Strict,
    /// So many a second (or in hand) all the same, and all servers together no more than `most`, divided by the members it knew.
    Open { each: f64, most: f64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Rate { rps: f64, burst: u32 },
    InHand(u32),
}

impl Kind {
    /// Units that there are.
    pub fn units(self) -> u32 {
        match self {
            Kind::Rate { burst, .. } => burst,
            Kind::InHand(most) => most,
        }
    }

    /// Of two versions' figures for one limit the lower ones hold.
    pub fn lower(self, other: Kind) -> Kind {
        match (self, other) {
            (
                Kind::Rate { rps, burst },
                Kind::Rate {
                    rps: other,
                    burst: less,
                },
            ) => Kind::Rate {
                rps: rps.min(other),
                burst: burst.min(less),
            },
            (Kind::InHand(most), Kind::InHand(other)) => Kind::InHand(most.min(other)),
            (one, _) => one,
        }
    }
}

/// A limit, its names looked up.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The same wherever what it is for is the same, whatever its figures.
    pub key: u64,
    pub name: String,
    pub tenant: Option<usize>,
    pub method: Option<usize>,
    /// Of RPCs that call.
    pub calls: bool,
    pub kind: Kind,
    pub cut_off: CutOff,
}

/// Names that limits may speak of: methods with whether they call, tenants, dependencies.
#[derive(Clone, Copy, Debug)]
pub struct Names<'a> {
    pub methods: &'a [String],
    pub calls: &'a [bool],
    pub tenants: &'a [String],
    pub dependencies: &'a [String],
}

fn within<T: PartialOrd + std::fmt::Display>(
    key: String,
    value: T,
    least: T,
    most: T,
) -> Result<(), String> {
    if value >= least && value <= most {
        Ok(())
    } else {
        Err(format!("{key}: {value} is not from {least} to {most}"))
    }
}

impl LimitTerms {
    fn look_up(&self, at: usize, names: &Names<'_>) -> Result<Limit, String> {
        let key = |rest: &str| format!("limits[{at}].{rest}");
        if self.name.is_empty() || self.name.len() > NAME_MOST {
            return Err(format!(
                "{}: {:?} is not of 1 to {NAME_MOST} letters",
                key("name"),
                self.name
            ));
        }
        let find = |what: &str, name: &Option<String>, all: &[String]| {
            let Some(name) = name else { return Ok(None) };
            let found = all.iter().position(|one| one == name);
            found
                .map(Some)
                .ok_or_else(|| format!("{}: {name:?} is unknown", key(what)))
        };
        let tenant = find("tenant", &self.tenant, names.tenants)?;
        let method = find("method", &self.method, names.methods)?;
        let dependency = find("dependency", &self.dependency, names.dependencies)?;
        if tenant.is_none() && method.is_none() && dependency.is_none() {
            return Err(format!(
                "{}: names no tenant, method or dependency",
                key("name")
            ));
        }
        if let Some(method) =
            method.filter(|method| dependency.is_some() && names.calls.get(*method) == Some(&false))
        {
            return Err(format!(
                "{}: unreachable, {:?} never calls",
                key("dependency"),
                names.methods[method]
            ));
        }
        let kind = match (self.rps, self.in_hand) {
            (Some(rps), None) => {
                within(key("rps"), rps, 0.01, RPS_MOST)?;
                let burst = self.burst.unwrap_or((rps.ceil() as u32).max(2));
                within(key("burst"), burst, 2, UNITS_MOST)?;
                // A burst is out at a time, and comes back after two rounds at the soonest.
                let reached = f64::from(burst) / OUT_S;
                if rps > reached {
                    return Err(format!(
                        "{}: {burst} lets no more than {reached} a second through, so {rps} are unreachable",
                        key("burst")
                    ));
                }
                Kind::Rate { rps, burst }
            }
            (None, Some(most)) => {
                within(key("in_hand"), most, 1, UNITS_MOST)?;
                if self.burst.is_some() {
                    return Err(format!("{}: goes with rps", key("burst")));
                }
                Kind::InHand(most)
            }
            _ => return Err(format!("{}: one of rps and in_hand, not both", key("rps"))),
        };
        if let CutOff::Open { each, most } = self.cut_off {
            within(key("cut_off.open.each"), each, 0.0, RPS_MOST)?;
            within(key("cut_off.open.most"), most, 0.0, RPS_MOST)?;
        }
        let kind_name = if matches!(kind, Kind::Rate { .. }) {
            "rps"
        } else {
            "in_hand"
        };
        let text = format!(
            "{:?} {:?} {:?} {:?} {kind_name}",
            self.name, self.tenant, self.method, self.dependency
        );
        let sum = Sha256::digest(text.as_bytes());
        let key = u64::from_le_bytes(std::array::from_fn(|at| sum[at]));
        let calls = dependency.is_some();
        Ok(Limit {
            key,
            name: self.name.clone(),
            tenant,
            method,
            calls,
            kind,
            cut_off: self.cut_off,
        })
    }

    /// Whether all RPCs of `other` are of this one, too.
    fn covers(&self, other: &LimitTerms) -> bool {
        let wider = |one: &Option<String>, other: &Option<String>| one.is_none() || one == other;
        wider(&self.tenant, &other.tenant)
            && wider(&self.method, &other.method)
            && wider(&self.dependency, &other.dependency)
    }

    fn figure(&self) -> (bool, f64) {
        (
            self.rps.is_some(),
            self.rps
                .unwrap_or_else(|| f64::from(self.in_hand.unwrap_or(0))),
        )
    }
}

/// Checks and looks up; messages name the key.
pub fn look_up(terms: &[LimitTerms], names: &Names<'_>) -> Result<Vec<Limit>, String> {
    if terms.len() > LIMITS_MOST {
        return Err(format!(
            "limits: {} are more than {LIMITS_MOST}",
            terms.len()
        ));
    }
    let limits: Vec<Limit> = terms
        .iter()
        .enumerate()
        .map(|(at, one)| one.look_up(at, names))
        .collect::<Result<_, _>>()?;
    let mut seen = std::collections::HashMap::new();
    for (at, one) in terms.iter().enumerate() {
        if let Some(first) = seen.insert(&one.name, at) {
            return Err(format!(
                "limits[{at}].name: {:?} is limits[{first}], too",
                one.name
            ));
        }
    }
    // A few hundred are compared each with each; tables of thousands are made by programs, and are taken as they are.
    if terms.len() <= 512 {
        for (at, whole) in terms.iter().enumerate() {
            let parts: Vec<(usize, &LimitTerms)> = terms
                .iter()
                .enumerate()
                .filter(|(other, part)| {
                    *other != at && whole.covers(part) && whole.figure().0 == part.figure().0
                })
                .collect();
            if let Some((part, of)) = parts
                .iter()
                .find(|(_, part)| part.figure().1 > whole.figure().1)
            {
                return Err(format!(
                    "limits[{part}]: {} is unreachable under limits[{at}], which lets {} through",
                    of.figure().1,
                    whole.figure().1
                ));
            }
            // Parts that have no RPC in common: of one tenant each, or of one method each.
            let tenants = parts.iter().filter(|(_, part)| {
                whole.tenant.is_none() && part.tenant.is_some() && part.method == whole.method
            });
            let methods = parts.iter().filter(|(_, part)| {
                whole.method.is_none() && part.method.is_some() && part.tenant == whole.tenant
            });
            for sum in [
                tenants.map(|(_, part)| part.figure().1).sum::<f64>(),
                methods.map(|(_, part)| part.figure().1).sum(),
            ] {
                if sum > whole.figure().1 {
                    return Err(format!(
                        "limits[{at}]: {} is under the sum of its parts, {sum}",
                        whole.figure().1
                    ));
                }
            }
        }
    }
    Ok(limits)
}

/// Of two sets of limits the lower holds: of each limit the lower figures, and all limits of either.
pub fn lower(one: &[Limit], other: &[Limit]) -> Vec<Limit> {
    let mut all: std::collections::BTreeMap<u64, Limit> =
        one.iter().map(|limit| (limit.key, limit.clone())).collect();
    for limit in other {
        all.entry(limit.key)
            .and_modify(|held| held.kind = held.kind.lower(limit.kind))
            .or_insert_with(|| limit.clone());
    }
    all.into_values().collect()
}

#[cfg(test)]
mod tests;
