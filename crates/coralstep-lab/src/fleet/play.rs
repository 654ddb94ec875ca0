//! A play of processes: a file defines their number, the load and the timed events. The same file reproduces a failed play.
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::judge::{Breach, InvariantChecker, Observation};
use super::{Fault, Fleet, Programs, RpcOutcome};

/// Limits of a play file.
const PROCESSES_MOST: usize = 400;
const STEPS_MOST: usize = 10_000;
/// Interval at which the state of all processes is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum wait after the end of the play until all processes are active on one version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Play {
    pub seed: u64,
    pub processes: usize,
    /// Further keys of the site file's `fleet`.
    #[serde(default)]
    pub fleet: Value,
    /// RPCs a second, to each process in turn.
    #[serde(default)]
    pub rpcs: f64,
    pub seconds: f64,
    pub steps: Vec<Step>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds from when all have met.
    pub at_s: f64,
    #[serde(rename = "do")]
    pub what: What,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum What {
    Publish {
        at: usize,
        content: Value,
        #[serde(default)]
        must: bool,
        #[serde(default)]
        waves: Vec<f32>,
        #[serde(default)]
        pause_ms: u64,
    },
    /// Links from each of one to each of the other do this, in that direction alone.
    Link {
        from: Vec<usize>,
        to: Vec<usize>,
        fault: Fault,
    },
    /// All links that have no fault of their own do this.
    All(Fault),
    Cut {
        one: Vec<usize>,
        other: Vec<usize>,
    },
    Heal,
    Stop(usize),
    Continue(usize),
    Kill(usize),
    Boot(usize),
}

/// The result of a play.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub met_ms: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    /// Time from the end until all processes were active on one version, in milliseconds; `None` if they did not converge.
    pub together_ms: Option<u64>,
    pub bytes_a_second: f64,
    pub breaches: Vec<Breach>,
}

impl Play {
    pub fn parse(text: &str) -> Result<Play, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let play: Play = serde_path_to_error::deserialize(&mut reader)
            .map_err(|why| format!("{}: {}", why.path(), why.inner()))?;
        let named = |what: &What| match what {
            What::Publish { at, .. }
            | What::Stop(at)
            | What::Continue(at)
            | What::Kill(at)
            | What::Boot(at) => vec![*at],
            What::Link { from, to, .. } => [&from[..], &to[..]].concat(),
            What::Cut { one, other } => [&one[..], &other[..]].concat(),
            What::All(_) | What::Heal => Vec::new(),
        };
        if !(1..=PROCESSES_MOST).contains(&play.processes) {
            return Err(format!(
                "processes: {} is not from 1 to {PROCESSES_MOST}",
                play.processes
            ));
        }
        if !(0.0..=86_400.0).contains(&play.seconds) || !(0.0..=10_000.0).contains(&play.rpcs) {
            return Err("seconds: 0 to 86400, rpcs: 0 to 10000".to_owned());
        }
        if play.steps.len() > STEPS_MOST {
            return Err(format!(
                "steps: {} are more than {STEPS_MOST}",
                play.steps.len()
            ));
        }
        for (number, step) in play.steps.iter().enumerate() {
            if let Some(at) = named(&step.what)
                .into_iter()
                .find(|at| *at >= play.processes)
            {
                return Err(format!("steps[{number}]: there is no process {at}"));
            }
            if !step.at_s.is_finite() || step.at_s < 0.0 {
                return Err(format!("steps[{number}].at_s: {} is no time", step.at_s));
            }
        }
        Ok(play)
    }

    pub fn schema() -> String {
        let mut text =
            serde_json::to_string_pretty(&schemars::schema_for!(Play)).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Runs the play with `programs`; `progress` receives a line per event, and `stop` ends the play early.
    pub fn run(
        &self,
        programs: impl Into<Programs>,
        stop: &AtomicBool,
        progress: impl Fn(&str),
    ) -> std::io::Result<Report> {
        let mut fleet = Fleet::start(programs, self.processes, self.seed, self.fleet.clone())?;
        let all = self.processes;
        let met = |fleet: &Fleet| {
            stop.load(Ordering::SeqCst)
                || (0..all).all(|at| fleet.count_alive(at).is_ok_and(|alive| alive == all))
        };
        let met = fleet
            .wait_until(CONVERGENCE_TIMEOUT * 3, met)
            .ok_or_else(|| std::io::Error::other("the processes did not find each other"))?;
        progress(&format!(
            "{all} processes met after {:.1} s",
            met.as_secs_f64()
        ));
        let mut run = Run {
            checker: InvariantChecker::default(),
            lives: vec![0; all],
            stopped: vec![None; all],
            report: Report::default(),
        };
        run.report.met_ms = met.as_millis() as u64;
        let mut steps: Vec<&Step> = self.steps.iter().collect();
        steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        let (start, mut next, mut looked, mut sent) = (Instant::now(), 0, Instant::now(), 0u64);
        while start.elapsed().as_secs_f64() < self.seconds || next < steps.len() {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let at_s = start.elapsed().as_secs_f64();
            while let Some(step) = steps.get(next).filter(|step| step.at_s <= at_s) {
                progress(&format!("{at_s:.1} s: {}", json!(step.what)));
                run.apply(&mut fleet, &step.what, (at_s * 1000.0) as u64)?;
                next += 1;
            }
            if (sent as f64) < at_s * self.rpcs {
                run.rpc(&mut fleet, sent as usize, start);
                sent += 1;
            } else {
                std::thread::sleep(Duration::from_millis(5));
            }
            if looked.elapsed() >= CHECK_INTERVAL {
                looked = Instant::now();
                run.look(&fleet, start);
            }
        }
        let bytes: u64 = (0..all).map(|at| fleet.links.sent_traffic(at).1).sum();
        run.report.bytes_a_second =
            bytes as f64 / (start.elapsed() + met).as_secs_f64() / all as f64;
        let one = |fleet: &Fleet| {
            let on: Vec<String> = fleet
                .running()
                .into_iter()
                .filter_map(|at| fleet.active_version(at).ok())
                .collect();
            on.windows(2).all(|two| two[0] == two[1])
        };
        run.report.together_ms = fleet
            .wait_until(CONVERGENCE_TIMEOUT, one)
            .map(|took| took.as_millis() as u64);
        run.look(&fleet, start);
        run.checker.check_convergence();
        run.report.breaches = run.checker.breaches;
        Ok(run.report)
    }
}

struct Run {
    checker: InvariantChecker,
    lives: Vec<u64>,
    stopped: Vec<Option<Instant>>,
    report: Report,
}

impl Run {
    fn apply(&mut self, fleet: &mut Fleet, what: &What, at_ms: u64) -> std::io::Result<()> {
        match what {
            What::Publish {
                at,
                content,
                must,
                waves,
                pause_ms,
            } => {
                fleet.publish(*at, content, *must, waves, *pause_ms)?;
            }
            What::Link { from, to, fault } => fleet.links.set_faults(from, to, *fault),
            What::All(fault) => fleet.links.set_default_fault(*fault),
            What::Cut { one, other } => fleet.links.cut(one, other),
            What::Heal => fleet.links.heal(),
            What::Stop(at) => {
                self.stopped[*at] = Some(Instant::now());
                fleet.set_stopped(*at, true)?;
            }
            What::Continue(at) => {
                let long = self.stopped[*at]
                    .take()
                    .is_some_and(|since| since.elapsed() > Duration::from_secs(2));
                if long {
                    self.checker.record_resume(at_ms, *at);
                }
                fleet.set_stopped(*at, false)?;
            }
            What::Kill(at) => {
                fleet.kill(*at);
                self.checker.remove_process(*at);
            }
            What::Boot(at) => {
                self.lives[*at] += 1;
                fleet.start_process(*at)?;
            }
        }
        Ok(())
    }

    fn rpc(&mut self, fleet: &mut Fleet, number: usize, start: Instant) {
        let running = fleet.running();
        let Some(at) = running.get(number % running.len().max(1)).copied() else {
            return;
        };
        match fleet.rpc(at) {
            RpcOutcome::Ok => {
                self.report.ok += 1;
                if let Ok(on) = fleet.active_version(at) {
                    self.checker.record_success(
                        start.elapsed().as_millis() as u64,
                        at,
                        version(&on).0,
                    );
                }
            }
            RpcOutcome::Rejected(_) => self.report.pushed_back += 1,
            RpcOutcome::Failed => self.report.aborted += 1,
            RpcOutcome::NoAnswer => self
                .checker
                .record_no_answer(start.elapsed().as_millis() as u64, at),
        }
    }

    fn look(&mut self, fleet: &Fleet, start: Instant) {
        for at in fleet.running() {
            let Ok(answer) = fleet.query(at, &json!({"ask": "fleet_members"})) else {
                continue;
            };
            let own = format!("n{at}");
            let members = answer["members"].as_array().cloned().unwrap_or_default();
            let on = members
                .iter()
                .find(|member| member["server"] == own.as_str())
                .and_then(|own| own["version"].as_str());
            // Only exclusions for a version count, not those by the operator, for a pause or by a partition.
            let shut = answer["shut"].is_object();
            let (acts_on, at_ms) = (
                version(on.unwrap_or("0")),
                start.elapsed().as_millis() as u64,
            );
            self.checker.observe(Observation {
                at_ms,
                process: at,
                life: self.lives[at],
                acts_on,
                shut,
            });
        }
    }
}

/// Parses the number and the hash of a version.
fn version(text: &str) -> (u64, String) {
    let (number, hash) = text.split_once('-').unwrap_or((text, ""));
    (number.parse().unwrap_or(0), hash.to_owned())
}

#[cfg(test)]
mod tests;
