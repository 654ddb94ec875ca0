//! Worlds: the JSON description of a fleet, its dependency, its callers and its troubles (injected faults). Errors name the faulty key.
use coralstep_degradation::DegradationConfig;
use rand::Rng;
use rand_distr::{Distribution, Exp, Gamma, LogNormal, Pareto, Weibull};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use statrs::function::gamma::gamma;

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "coralstep-lab world")]
pub struct World {
    pub name: String,
    /// How long requests come; what is open then is played to its end.
    pub seconds: f64,
    pub servers: Servers,
    /// What all servers call.
    #[serde(default)]
    pub dependency: Option<Dependency>,
    pub methods: Vec<OneMethod>,
    pub gateways: Gateways,
    /// Requests asked for, as a part of what warm servers can do.
    pub load: f64,
    /// Shape of the gaps between requests: 1 by pure chance, less in bursts, more nearly regular.
    #[serde(default = "one")]
    pub gap_shape: f64,
    /// Who asks, each with an agreed share; none: nobody is told apart.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// What an RPC beyond its tenant's share is worth, as a part of its criticality.
    #[serde(default)]
    pub over_share: f64,
    /// SCGI applications that run the RPCs in place of the servers' own cores.
    #[serde(default)]
    pub applications: Option<Applications>,
    /// Levels of reduced service in each server; none: full service.
    #[serde(default)]
    pub levels: Option<DegradationConfig>,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Of all requests, beside the shares of the others.
    pub share: f64,
    /// RPCs a second agreed on, over all servers.
    pub rate: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Applications {
    /// For each server.
    pub count: usize,
    /// Attempts in hand at one at the most.
    pub each_most: u32,
    pub cores: u32,
    /// Part of the attempts that fail.
    #[serde(default)]
    pub fails: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub count: usize,
    pub cores: u32,
    /// Least and most speed; each server has its own between them.
    pub speed: [f64; 2],
    /// Part of its speed that a fresh server starts with, and how long it warms.
    #[serde(default = "one")]
    pub cold_speed: f64,
    #[serde(default)]
    pub warm_ms: f64,
    /// Runs a core past which less gets done.
    pub crowd: f64,
    pub memory_kb: f64,
    /// Memory of a held RPC, and how many times that it takes while it runs.
    pub held_kb: f64,
    pub run_factor: f64,
    #[serde(default)]
    pub key_kb: f64,
    /// From the notice to leave to the stop, and how long after the notice what comes may still run.
    #[serde(default = "stop_ms")]
    pub stop_ms: f64,
    #[serde(default = "grace_ms")]
    pub grace_ms: f64,
}

fn one() -> f64 {
    1.0
}

fn stop_ms() -> f64 {
    3_000.0
}

fn grace_ms() -> f64 {
    500.0
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    /// Calls in hand past which it slows.
    pub capacity: f64,
    pub call_ms: Amount,
    /// Part of the calls that fail.
    #[serde(default)]
    pub fails: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OneMethod {
    pub name: String,
    /// Of all requests, beside the shares of the others.
    pub share: f64,
    /// On a core of speed 1, in milliseconds.
    pub work_ms: Amount,
    pub effect: Effect,
    pub target_ms: f64,
    pub deadline_ms: f64,
    #[serde(default)]
    pub window_ms: f64,
    pub criticality: f64,
    #[serde(default)]
    pub late: f64,
    #[serde(default)]
    pub skip: f64,
    #[serde(default)]
    pub calls: bool,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    pub count: usize,
    /// Further tries of one request.
    #[serde(default)]
    pub retries: u32,
    /// Part of the gateways that heed advice to stay away.
    #[serde(default = "one")]
    pub heed: f64,
    /// Before a further try.
    #[serde(default)]
    pub pause_ms: f64,
    /// How long a change of a server's health takes to reach them.
    #[serde(default = "health_ms")]
    pub health_ms: f64,
    /// Part of the requests that go first to the server of their subject, whatever it said.
    #[serde(default)]
    pub by_subject: f64,
}

fn health_ms() -> f64 {
    1_000.0
}

/// An amount drawn anew each time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Amount {
    Fixed(f64),
    Uniform([f64; 2]),
    /// Mean.
    Exponential(f64),
    /// Median and the spread of its logarithm.
    LogNormal([f64; 2]),
    /// Least and shape.
    Pareto([f64; 2]),
    /// Scale and shape.
    Weibull([f64; 2]),
    /// Mean and shape.
    Gamma([f64; 2]),
}

impl Amount {
    pub fn mean(self) -> f64 {
        match self {
            Amount::Fixed(amount) | Amount::Exponential(amount) => amount,
            Amount::Uniform([least, most]) => (least + most) / 2.0,
            Amount::LogNormal([median, spread]) => median * (spread * spread / 2.0).exp(),
            Amount::Pareto([least, shape]) => least * shape / (shape - 1.0),
            Amount::Weibull([scale, shape]) => scale * gamma(1.0 + 1.0 / shape),
            Amount::Gamma([mean, _]) => mean,
        }
    }

    pub fn draw(self, chance: &mut impl Rng) -> f64 {
        match self {
            Amount::Fixed(amount) => amount,
            Amount::Uniform([least, most]) if least < most => chance.random_range(least..most),
            Amount::Uniform([least, _]) => least,
            // `check` admits only parameters of a valid distribution.
            Amount::Exponential(mean) => {
                Exp::new(1.0 / mean).map_or(mean, |exp| exp.sample(chance))
            }
            Amount::LogNormal([median, spread]) => {
                LogNormal::new(median.ln(), spread).map_or(median, |normal| normal.sample(chance))
            }
            Amount::Pareto([least, shape]) => {
                Pareto::new(least, shape).map_or(least, |pareto| pareto.sample(chance))
            }
            Amount::Weibull([scale, shape]) => {
                Weibull::new(scale, shape).map_or(scale, |weibull| weibull.sample(chance))
            }
            Amount::Gamma([mean, shape]) => {
                Gamma::new(shape, mean / shape).map_or(mean, |gamma| gamma.sample(chance))
            }
        }
    }

    fn check(self, key: &str) -> Result<(), String> {
        let good = match self {
            Amount::Fixed(amount) => amount >= 0.0 && amount.is_finite(),
            Amount::Exponential(mean) => mean > 0.0 && mean.is_finite(),
            Amount::Uniform([least, most]) => least >= 0.0 && most >= least && most.is_finite(),
            Amount::LogNormal([median, spread]) => {
                median > 0.0 && median.is_finite() && (0.0..=4.0).contains(&spread)
            }
            // The mean is infinite at a shape of 1 or less.
            Amount::Pareto([least, shape]) => {
                least > 0.0 && least.is_finite() && (1.05..=100.0).contains(&shape)
            }
            Amount::Weibull([scale, shape]) | Amount::Gamma([scale, shape]) => {
                scale > 0.0 && scale.is_finite() && (0.1..=100.0).contains(&shape)
            }
        };
        if good {
            Ok(())
        } else {
            Err(format!("{key}: {self:?} is not a valid amount"))
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Servers run `size` times slower.
    Slow,
    /// Servers die at once and come back cold after `for_s`.
    Crash,
    /// Servers are told to leave one after another over `for_s`; a cold successor takes each one's place.
    Deploy,
    /// Nothing happens on servers.
    Pause,
    /// Requests come `size` times as fast.
    Jump,
    /// Calls take `size` times as long.
    DependencySlow,
    /// Calls come to no end; for a part of the servers in virtual time, for all on sockets.
    DependencyHangs,
    /// Calls fail at once; as above.
    DependencyDead,
    /// A part of the runs takes `size` times the work.
    HeavyTail,
    /// Servers are off the gateways' list, for their reports get lost.
    LostReports,
    /// Gateways reach no server of a part.
    Partition,
    /// A part of the requests comes from one caller, for one server and the first tenant.
    HotCaller,
    /// A part of each server's applications reads and says nothing.
    ApplicationsHang,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: Kind,
    /// May lie before the day.
    pub at_s: f64,
    /// May last beyond it.
    pub for_s: f64,
    /// Of the servers, or of the runs.
    #[serde(default = "one")]
    pub part: f64,
    #[serde(default = "one")]
    pub size: f64,
}

impl Applications {
    /// Returns the total number of cores of a server's applications.
    pub fn all_cores(&self) -> f64 {
        self.count as f64 * f64::from(self.cores)
    }
}

fn check_range(key: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    if value >= least && value <= most {
        Ok(())
    } else {
        Err(format!("{key}: {value} is not from {least} to {most}"))
    }
}

impl World {
    /// Parses and checks a world; an error names the faulty key.
    pub fn parse(text: &str) -> Result<World, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let world: World = serde_path_to_error::deserialize(&mut reader).map_err(|why| {
            let path = why.path().to_string();
            let path = if path == "." || path.starts_with('?') {
                "world".to_owned()
            } else {
                path
            };
            format!("{path}: {}", why.into_inner())
        })?;
        reader.end().map_err(|why| format!("world: {why}"))?;
        world.check()?;
        Ok(world)
    }

    pub fn check(&self) -> Result<(), String> {
        check_range("seconds", self.seconds, 0.1, 86_400.0)?;
        check_range("load", self.load, 0.0, 100.0)?;
        check_range("servers.count", self.servers.count as f64, 1.0, 10_000.0)?;
        check_range("servers.cores", f64::from(self.servers.cores), 1.0, 1_024.0)?;
        check_range("servers.speed[0]", self.servers.speed[0], 0.01, 100.0)?;
        check_range(
            "servers.speed[1]",
            self.servers.speed[1],
            self.servers.speed[0],
            100.0,
        )?;
        check_range("servers.cold_speed", self.servers.cold_speed, 0.01, 1.0)?;
        check_range("servers.warm_ms", self.servers.warm_ms, 0.0, 600_000.0)?;
        check_range("servers.crowd", self.servers.crowd, 1.0, 1_000.0)?;
        check_range("servers.memory_kb", self.servers.memory_kb, 1.0, 1e9)?;
        check_range(
            "servers.held_kb",
            self.servers.held_kb,
            0.0,
            self.servers.memory_kb,
        )?;
        check_range("servers.run_factor", self.servers.run_factor, 1.0, 1_000.0)?;
        check_range("servers.key_kb", self.servers.key_kb, 0.0, 1e6)?;
        check_range("servers.stop_ms", self.servers.stop_ms, 500.0, 600_000.0)?;
        check_range(
            "servers.grace_ms",
            self.servers.grace_ms,
            0.0,
            self.servers.stop_ms,
        )?;
        check_range("gateways.count", self.gateways.count as f64, 1.0, 100_000.0)?;
        check_range(
            "gateways.retries",
            f64::from(self.gateways.retries),
            0.0,
            20.0,
        )?;
        check_range("gateways.heed", self.gateways.heed, 0.0, 1.0)?;
        check_range("gateways.pause_ms", self.gateways.pause_ms, 0.0, 60_000.0)?;
        check_range(
            "gateways.health_ms",
            self.gateways.health_ms,
            0.0,
            600_000.0,
        )?;
        check_range("gateways.by_subject", self.gateways.by_subject, 0.0, 1.0)?;
        check_range("gap_shape", self.gap_shape, 0.05, 100.0)?;
        check_range("over_share", self.over_share, 0.0, 1.0)?;
        for (at, tenant) in self.tenants.iter().enumerate() {
            check_range(&format!("tenants[{at}].share"), tenant.share, 0.0, 1e6)?;
            check_range(&format!("tenants[{at}].rate"), tenant.rate, 0.0, 1e9)?;
        }
        if !self.tenants.is_empty()
            && self.tenants.iter().map(|tenant| tenant.share).sum::<f64>() <= 0.0
        {
            return Err("tenants: all shares are 0".to_owned());
        }
        if let Some(applications) = &self.applications {
            check_range(
                "applications.count",
                applications.count as f64,
                1.0,
                1_000.0,
            )?;
            check_range(
                "applications.each_most",
                f64::from(applications.each_most),
                1.0,
                10_000.0,
            )?;
            check_range(
                "applications.cores",
                f64::from(applications.cores),
                1.0,
                1_024.0,
            )?;
            check_range("applications.fails", applications.fails, 0.0, 1.0)?;
        }
        if let Some(levels) = &self.levels {
            levels.validate().map_err(|why| format!("levels: {why}"))?;
        }
        if let Some(dependency) = &self.dependency {
            check_range("dependency.capacity", dependency.capacity, 0.0, 1e9)?;
            check_range("dependency.fails", dependency.fails, 0.0, 1.0)?;
            dependency.call_ms.check("dependency.call_ms")?;
        }
        if self.methods.is_empty() {
            return Err("methods: at least one is required".to_owned());
        }
        for (at, method) in self.methods.iter().enumerate() {
            let key = |name: &str| format!("methods[{at}].{name}");
            check_range(&key("share"), method.share, 0.0, 1e6)?;
            method.work_ms.check(&key("work_ms"))?;
            check_range(&key("target_ms"), method.target_ms, 1.0, 3_600_000.0)?;
            check_range(
                &key("deadline_ms"),
                method.deadline_ms,
                method.target_ms,
                3_600_000.0,
            )?;
            check_range(&key("window_ms"), method.window_ms, 0.0, 3_600_000.0)?;
            check_range(&key("criticality"), method.criticality, 0.0, 1e6)?;
            check_range(&key("late"), method.late, 0.0, 1.0)?;
            check_range(&key("skip"), method.skip, 0.0, 1.0)?;
            if method.calls && self.dependency.is_none() {
                return Err(format!("{}: there is no dependency", key("calls")));
            }
        }
        if self.methods.iter().map(|method| method.share).sum::<f64>() <= 0.0 {
            return Err("methods: all shares are 0".to_owned());
        }
        for (at, trouble) in self.troubles.iter().enumerate() {
            let key = |name: &str| format!("troubles[{at}].{name}");
            check_range(&key("at_s"), trouble.at_s, -86_400.0, 86_400.0)?;
            check_range(&key("for_s"), trouble.for_s, 0.0, 172_800.0)?;
            check_range(&key("part"), trouble.part, 0.0, 1.0)?;
            check_range(&key("size"), trouble.size, 0.01, 1_000.0)?;
        }
        Ok(())
    }

    /// Returns the mean work of a request, in milliseconds.
    pub fn work_ms(&self) -> f64 {
        let shares: f64 = self.methods.iter().map(|method| method.share).sum();
        self.methods
            .iter()
            .map(|method| method.share * method.work_ms.mean())
            .sum::<f64>()
            / shares
    }

    /// Returns the request rate per second without troubles.
    pub fn rate(&self) -> f64 {
        let speed = (self.servers.speed[0] + self.servers.speed[1]) / 2.0;
        let own = f64::from(self.servers.cores);
        let each = self
            .applications
            .as_ref()
            .map_or(own, Applications::all_cores);
        let cores = self.servers.count as f64 * each * speed;
        self.load * cores * 1000.0 / self.work_ms().max(0.01)
    }

    /// Returns the world as JSON, in the format that `parse` reads.
    pub fn text(&self) -> String {
        let mut text = serde_json::to_string_pretty(self).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Returns the JSON schema of worlds.
    pub fn schema() -> String {
        let mut text =
            serde_json::to_string_pretty(&schemars::schema_for!(World)).unwrap_or_default();
        text.push('\n');
        text
    }
}

/// The built-in worlds by name.
pub const WORLDS: [(&str, &str); 13] = [
    ("calm-3", include_str!("../worlds/calm-3.json")),
    ("crowd-4", include_str!("../worlds/crowd-4.json")),
    ("store-6", include_str!("../worlds/store-6.json")),
    ("sparse-60", include_str!("../worlds/sparse-60.json")),
    ("deploy-30", include_str!("../worlds/deploy-30.json")),
    ("crash-300", include_str!("../worlds/crash-300.json")),
    ("large-3000", include_str!("../worlds/large-3000.json")),
    ("apps-5", include_str!("../worlds/apps-5.json")),
    ("tail-8", include_str!("../worlds/tail-8.json")),
    ("tenants-10", include_str!("../worlds/tenants-10.json")),
    ("subject-20", include_str!("../worlds/subject-20.json")),
    ("split-40", include_str!("../worlds/split-40.json")),
    ("levels-100", include_str!("../worlds/levels-100.json")),
];

#[cfg(test)]
mod tests;
