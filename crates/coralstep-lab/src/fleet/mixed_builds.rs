//! Scenario of one fleet with two builds: the builds see each other as members, activate each other's settings versions, share one limit,
//! receive each other's verdicts, and a process of the primary build starts on a state directory of the other build. Each step waits
//! for its event; the first event that does not occur fails the run.
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coralstep_quota::lease::MAX_CLOCK_DRIFT;
use serde_json::{Value, json};

use super::judge::excess;
use super::processes::{METHODS, TENANTS};
use super::{Faults, Fleet, LoadGenerator, Programs, RpcOutcome, Setup};
use crate::emulate::store::Store;
use crate::world::Dependency;

pub mod report;
pub mod snapshots;

pub use report::{Failure, PerBuild, Published, Report, Successor};

/// Number of members of the fleet, half of them of each build.
pub const MEMBERS: usize = 6;
/// Number of members that may hold the lease of the fleet's limits.
const LEASE_HOLDERS: usize = 3;
/// Lease of the shares of a limit, in milliseconds.
const LEASE_MS: u32 = 6_000;
/// Maximum wait for one event.
const EVENT_LIMIT: Duration = Duration::from_secs(60);
/// The fleet's limit on one method, in RPCs a second, and its burst in RPCs.
const LIMIT_RPS: f64 = 40.0;
const LIMIT_BURST: u32 = 20;
/// Number of callers of each member, and the interval between two RPCs of one caller.
const CALLERS: u32 = 4;
const CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of RPCs that each member must admit under the limit.
const MIN_ADMITTED: usize = 10;
/// One member of each build: the publisher of versions and reporter of verdicts.
const PRIMARY_MEMBER: usize = 4;
const OTHER_MEMBER: usize = 3;
/// The member of the other build that a process of the primary build takes over from.
const REPLACED_MEMBER: usize = 5;
/// Tenant whose demand the successor must know without having served it.
const LEARNED_TENANT: &str = TENANTS[0];
/// Value of `levels.record_ms` in each version in order, in milliseconds.
const RECORD_MS: [u64; 3] = [1_000, 2_000, 3_000];

/// Runs the scenario; `progress` receives a line per completed step, and `stop` ends the run early.
///
/// # Errors
/// Returns the first event that did not occur, and fails if the limit is exceeded or a datagram is refused.
pub fn run(
    programs: &Programs,
    seed: u64,
    stop: &AtomicBool,
    progress: impl Fn(&str),
) -> Result<Report, Failure> {
    let mut scenario = Scenario::start(programs, seed, stop, &progress)?;
    scenario.members_meet()?;
    scenario.versions_reach_all()?;
    scenario.limit_is_shared()?;
    scenario.verdicts_reach_the_other_build()?;
    scenario.datagrams_are_accepted()?;
    scenario.state_directory_is_taken_over()?;
    scenario.datagrams_are_accepted()?;
    Ok(scenario.report)
}

struct Scenario<'a> {
    fleet: Fleet,
    _store: Store,
    programs: &'a Programs,
    stop: &'a AtomicBool,
    progress: &'a dyn Fn(&str),
    report: Report,
}

/// Whether a member is started from the primary program.
fn is_primary(member: usize) -> bool {
    member.is_multiple_of(2)
}

fn settings(record_ms: u64) -> Value {
    json!({"levels": {"record_ms": record_ms}})
}

fn setup(store: &Store) -> Setup {
    let lease_holders: Vec<String> = (0..LEASE_HOLDERS)
        .map(|member| format!("n{member}"))
        .collect();
    let fleet = json!({"keepers": lease_holders, "lease_ms": LEASE_MS, "verdicts": {}});
    let limits =
        json!([{"name": "saves", "method": METHODS[0], "rps": LIMIT_RPS, "burst": LIMIT_BURST}]);
    Setup {
        store: Some(store.address),
        limits,
        keeps_state: true,
        ..Setup::new(fleet)
    }
}

impl<'a> Scenario<'a> {
    fn start(
        programs: &'a Programs,
        seed: u64,
        stop: &'a AtomicBool,
        progress: &'a dyn Fn(&str),
    ) -> Result<Scenario<'a>, Failure> {
        let failed = |source| Failure::Io {
            step: "start",
            source,
        };
        let dependency = json!({"capacity": 200, "call_ms": {"fixed": 20.0}, "fails": 0.0});
        let dependency: Dependency =
            serde_json::from_value(dependency).map_err(|why| failed(why.into()))?;
        let store = Store::start(&dependency, seed).map_err(failed)?;
        let fleet = Fleet::start_with_setup(programs.clone(), MEMBERS, seed, setup(&store))
            .map_err(failed)?;
        Ok(Scenario {
            fleet,
            _store: store,
            programs,
            stop,
            progress,
            report: Report::default(),
        })
    }

    /// Waits for an event; returns the time waited, in milliseconds.
    fn wait(
        &self,
        step: &'static str,
        mut done: impl FnMut(&Fleet) -> bool,
    ) -> Result<u64, Failure> {
        let stopped = || self.stop.load(Ordering::SeqCst);
        let took = self
            .fleet
            .wait_until(EVENT_LIMIT, |fleet| stopped() || done(fleet));
        if stopped() {
            return Err(Failure::Interrupted);
        }
        let took = took
            .ok_or(Failure::TimedOut {
                step,
                limit: EVENT_LIMIT,
            })?
            .as_millis() as u64;
        (self.progress)(&format!("{step}: after {took} ms"));
        Ok(took)
    }

    fn members_meet(&mut self) -> Result<(), Failure> {
        self.report.met_ms = self.wait("all members see each other", all_see_all)?;
        Ok(())
    }

    fn publish(
        &mut self,
        member: usize,
        record_ms: u64,
        step: &'static str,
    ) -> Result<(), Failure> {
        let published = self
            .fleet
            .publish(member, &settings(record_ms), false, &[], 0);
        let id = published.map_err(|source| Failure::Io { step, source })?;
        let all_on_ms = self.wait(step, |fleet| fleet.all_active_on(&id))?;
        self.report.versions.push(Published {
            id,
            member,
            all_on_ms,
        });
        Ok(())
    }

    fn versions_reach_all(&mut self) -> Result<(), Failure> {
        self.publish(
            OTHER_MEMBER,
            RECORD_MS[0],
            "all act on a version of the other build",
        )?;
        self.publish(
            PRIMARY_MEMBER,
            RECORD_MS[1],
            "all act on a version of the primary build",
        )
    }

    /// Loads each member beyond its share of the limit and checks that the limit holds.
    fn limit_is_shared(&mut self) -> Result<(), Failure> {
        let load = LoadGenerator::default();
        let limited = |_: &Fleet| (0..MEMBERS).all(|member| admits_and_rejects(&load, member));
        std::thread::scope(|scope| {
            for member in 0..MEMBERS {
                load.spawn_callers(
                    scope,
                    &self.fleet,
                    member,
                    CALLERS,
                    CALL_INTERVAL,
                    METHODS[0],
                    EVENT_LIMIT,
                );
            }
            let waited = self.wait("each member admits RPCs under the limit", limited);
            load.stop();
            waited
        })?;
        for answer in load.answers() {
            let per_build = match answer.outcome {
                RpcOutcome::Ok => &mut self.report.admitted,
                _ => &mut self.report.rejected,
            };
            *(if is_primary(answer.process) {
                &mut per_build.primary
            } else {
                &mut per_build.other
            }) += 1;
        }
        let excess = excess(
            &load.answers(),
            LIMIT_RPS * (1.0 + MAX_CLOCK_DRIFT),
            f64::from(LIMIT_BURST),
        );
        self.report.limit_excess = excess;
        if excess > 0.0 {
            Err(Failure::LimitExceeded { excess })
        } else {
            Ok(())
        }
    }

    fn verdicts_reach_the_other_build(&mut self) -> Result<(), Failure> {
        self.verdicts_of(OTHER_MEMBER, "calls")?;
        self.verdicts_of(PRIMARY_MEMBER, "calls")?;
        let broken = Faults {
            half_open: 1.0,
            ..Faults::default()
        };
        for member in [OTHER_MEMBER, PRIMARY_MEMBER] {
            self.fleet.set_store_faults(member, broken);
            let received = self.verdicts_of(member, "failures");
            self.fleet.set_store_faults(member, Faults::default());
            received?;
        }
        Ok(())
    }

    /// Calls the store through `member` until every member of the opposite build shows its count.
    fn verdicts_of(&mut self, member: usize, count: &'static str) -> Result<(), Failure> {
        let load = LoadGenerator::default();
        let observers = || (0..MEMBERS).filter(|other| is_primary(*other) != is_primary(member));
        let received =
            |fleet: &Fleet| observers().all(|other| shows_count(fleet, other, member, count));
        let step = match (is_primary(member), count) {
            (true, "calls") => "the other build shows calls of the primary build",
            (true, _) => "the other build shows failures of the primary build",
            (false, "calls") => "the primary build shows calls of the other build",
            (false, _) => "the primary build shows failures of the other build",
        };
        std::thread::scope(|scope| {
            load.spawn_callers(
                scope,
                &self.fleet,
                member,
                CALLERS,
                CALL_INTERVAL,
                METHODS[1],
                EVENT_LIMIT,
            );
            let waited = self.wait(step, received);
            load.stop();
            waited
        })?;
        let received = &mut self.report.verdicts_received;
        *(if is_primary(member) {
            &mut received.primary
        } else {
            &mut received.other
        }) += 1;
        Ok(())
    }

    /// Checks that no member has refused a datagram: no link corrupts datagrams in this scenario.
    fn datagrams_are_accepted(&mut self) -> Result<(), Failure> {
        const QUESTION: &str = "fleet_members";
        for member in 0..MEMBERS {
            let asked = self.fleet.query(member, &json!({"ask": QUESTION}));
            let answer = asked.map_err(|source| Failure::Io {
                step: QUESTION,
                source,
            })?;
            let count =
                answer["not_believed"]
                    .as_u64()
                    .ok_or_else(|| Failure::UnexpectedAnswer {
                        member,
                        question: QUESTION,
                        answer: answer.to_string(),
                    })?;
            if count > 0 {
                return Err(Failure::RefusedDatagrams { member, count });
            }
            self.report.refused_datagrams += count;
        }
        (self.progress)("no member refused a datagram");
        Ok(())
    }

    fn state_directory_is_taken_over(&mut self) -> Result<(), Failure> {
        let version = self
            .report
            .versions
            .last()
            .map(|version| version.id.clone())
            .unwrap_or_default();
        self.predecessor_is_killed()?;
        self.successor_starts_alone(&version)?;
        self.fleet.links.heal();
        self.report.successor.rejoined_ms =
            self.wait("the successor is a member again", all_see_all)?;
        self.wait("all act on one version again", |fleet| {
            fleet.all_active_on(&version)
        })?;
        self.publish(
            REPLACED_MEMBER,
            RECORD_MS[2],
            "all act on a version of the successor",
        )
    }

    /// Kills the predecessor once its state directory contains its learned state and its active version.
    fn predecessor_is_killed(&mut self) -> Result<(), Failure> {
        let (program, directory) = (
            self.programs.of(REPLACED_MEMBER),
            self.fleet.state_directory(REPLACED_MEMBER),
        );
        let kept = |_: &Fleet| has_learned(program, &directory);
        self.wait("a snapshot holds what the predecessor learned", kept)?;
        let content = settings(RECORD_MS[1]).to_string();
        let recorded = |_: &Fleet| snapshots::records_version(&directory, &content);
        self.wait("the fleet record holds the version", recorded)?;
        self.fleet.kill(REPLACED_MEMBER);
        // Guards against members that mistake the successor for the predecessor, because they never noticed its end.
        let missed = |fleet: &Fleet| {
            fleet.running().into_iter().all(|at| {
                fleet
                    .count_alive(at)
                    .is_ok_and(|alive| alive == MEMBERS - 1)
            })
        };
        self.wait("the others miss the predecessor", missed)?;
        self.report.successor.predecessor_snapshot =
            snapshots::newest(program, &directory).unwrap_or(0);
        same_export(self.programs.of(PRIMARY_MEMBER), program, &directory)
    }

    /// Starts the primary build on the state directory with all links cut, so that it knows only the stored state.
    fn successor_starts_alone(&mut self, version: &str) -> Result<(), Failure> {
        let rest: Vec<usize> = (0..MEMBERS)
            .filter(|member| *member != REPLACED_MEMBER)
            .collect();
        self.fleet.links.cut(&[REPLACED_MEMBER], &rest);
        let program = self.programs.of(PRIMARY_MEMBER);
        let started = self.fleet.start_process_from(REPLACED_MEMBER, program);
        started.map_err(|source| Failure::Io {
            step: "start of the successor",
            source,
        })?;
        let acts = |fleet: &Fleet| {
            fleet
                .active_version(REPLACED_MEMBER)
                .is_ok_and(|on| on == version)
        };
        self.wait("the successor acts on the recorded version", acts)?;
        let directory = self.fleet.state_directory(REPLACED_MEMBER);
        let predecessor = self.report.successor.predecessor_snapshot;
        let newer = |_: &Fleet| {
            has_learned(program, &directory)
                && snapshots::newest(program, &directory).is_some_and(|number| number > predecessor)
        };
        // The successor writes a snapshot of its own only after its first RPC, which has no tenant.
        let serves =
            |fleet: &Fleet| fleet.call(REPLACED_MEMBER, METHODS[1], None) == RpcOutcome::Ok;
        self.wait("the successor serves an RPC", serves)?;
        self.wait(
            "a snapshot of the successor holds what its predecessor learned",
            newer,
        )?;
        let successor = &mut self.report.successor;
        successor.member = REPLACED_MEMBER;
        version.clone_into(&mut successor.acted_on);
        successor.own_snapshot = snapshots::newest(program, &directory).unwrap_or(0);
        Ok(())
    }
}

fn all_see_all(fleet: &Fleet) -> bool {
    (0..MEMBERS).all(|member| {
        fleet
            .count_alive(member)
            .is_ok_and(|alive| alive == MEMBERS)
    })
}

/// Whether the member has admitted enough RPCs, and rejected one after the first admission.
fn admits_and_rejects(load: &LoadGenerator, member: usize) -> bool {
    let mut answers = load.answers();
    answers.retain(|answer| answer.process == member);
    let admitted = answers
        .iter()
        .filter(|answer| answer.outcome == RpcOutcome::Ok)
        .count();
    let after_first = answers
        .iter()
        .skip_while(|answer| answer.outcome != RpcOutcome::Ok);
    let rejected = after_first
        .into_iter()
        .any(|answer| matches!(answer.outcome, RpcOutcome::Rejected(_)));
    admitted >= MIN_ADMITTED && rejected
}

/// Whether `observer` shows a `count` of the store above zero for `reporter`.
fn shows_count(fleet: &Fleet, observer: usize, reporter: usize, count: &str) -> bool {
    let Ok(answer) = fleet.query(observer, &json!({"ask": "fleet_verdicts"})) else {
        return false;
    };
    let reporter = format!("n{reporter}");
    let rows = answer["verdicts"].as_array().into_iter().flatten();
    rows.filter(|row| row["server"] == reporter.as_str())
        .any(|row| row[count].as_u64().is_some_and(|value| value > 0))
}

/// Whether the newest snapshot contains demand of the tenant of the limit step.
fn has_learned(program: &Path, directory: &Path) -> bool {
    snapshots::export(program, directory)
        .is_some_and(|export| snapshots::has_learned(&export, LEARNED_TENANT))
}

/// Checks that both builds export the same from the newest snapshot.
fn same_export(primary: &Path, other: &Path, directory: &Path) -> Result<(), Failure> {
    let by_primary = snapshots::export(primary, directory);
    let by_other = snapshots::export(other, directory);
    if by_primary.is_some() && by_primary == by_other {
        return Ok(());
    }
    let text =
        |export: Option<Value>| export.map_or("nothing".to_owned(), |export| export.to_string());
    Err(Failure::SnapshotMisread {
        primary: text(by_primary),
        other: text(by_other),
    })
}
