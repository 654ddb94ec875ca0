//! Emulates a world on loopback sockets: real `coralstep` processes with fakes of everything they communicate with, scheduled troubles
//! and network faults. The rules are checked from what callers and engines observe. All processes stop with the emulation, also when
//! it is interrupted.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Gamma};

pub mod application;
pub mod engine;
pub mod fleet;
pub mod lines;
pub mod store;
pub mod wire;

use crate::caller::{Connection, OutgoingRpc, Protocol, RpcOutcome};
use crate::record::{Loss, Record};
use crate::rules::{AnswerKind, Rules};
use crate::simulate::Day;
use crate::world::{Effect, Kind, World};
use fleet::Fleet;
use wire::Faults;

/// Allowance for the round trip on a busy machine, in milliseconds; an answer is late only beyond it.
const ROUND_TRIP_ALLOWANCE_MS: u64 = 400;
/// Time without a report after which a server drops off the endpoint list.
const ENDPOINT_LEASE: Duration = Duration::from_secs(3);
/// Time for which an answered attempt is remembered, in ticks, to detect a run that starts after the answer.
const ANSWERED_RETENTION: u64 = 50_000;
/// Period of the samples of an engine's running count, in ticks. A server survives too many runs for a short time, so sparse samples
/// suffice.
const RUNNING_SAMPLE_PERIOD: u64 = 200;

pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Passes what callers and engines observe to the rule checker.
pub struct RuleObserver {
    start: Instant,
    rules: Mutex<Rules>,
    /// Idempotency keys of open attempts, with their retry window.
    tokens: Mutex<HashMap<u64, (u64, u64)>>,
}

impl RuleObserver {
    fn new(rules: Rules) -> RuleObserver {
        RuleObserver {
            start: Instant::now(),
            rules: Mutex::new(rules),
            tokens: Mutex::default(),
        }
    }

    /// Returns the time since the start in ticks.
    fn now(&self) -> u64 {
        (self.start.elapsed().as_micros() / 100) as u64
    }

    /// Records the start of a run under the id given by the server.
    pub fn record_run_start(&self, id: &str) {
        let Ok(attempt) = u64::from_str_radix(id, 16) else {
            return;
        };
        let token = lock(&self.tokens).get(&attempt).copied();
        let mut rules = lock(&self.rules);
        let now = self.now();
        // Ignores an attempt that was already released.
        if rules.is_open(attempt) {
            rules.record_start(
                now,
                attempt,
                token.map(|(token, window)| (token, now + window)),
            );
        }
    }

    /// Records the number of runs on a server's cores.
    pub fn record_running(&self, server: usize, running: usize) {
        let now = self.now();
        if now % RUNNING_SAMPLE_PERIOD < 20 {
            lock(&self.rules).record_usage(now, server, 0.0, running);
        }
    }
}

#[derive(Clone, Debug)]
pub struct EmulationOptions {
    /// Path of the `coralstep` program.
    pub program: PathBuf,
    pub protocol: Protocol,
    /// Whether SCGI applications run the RPCs instead of an engine.
    pub applications: bool,
    pub faults: Faults,
    pub seed: u64,
}

/// The control plane's endpoint list: last report of each server and whether it is ready.
struct ControlPlane {
    address: SocketAddr,
    seen: Arc<Mutex<HashMap<String, (Instant, bool)>>>,
    /// Servers whose reports are dropped.
    dropped: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl ControlPlane {
    fn start() -> std::io::Result<ControlPlane> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let address = socket.local_addr()?;
        let (seen, dropped, stop) = (
            Arc::default(),
            Arc::default(),
            Arc::new(AtomicBool::new(false)),
        );
        let control = ControlPlane {
            address,
            seen: Arc::clone(&seen),
            dropped: Arc::clone(&dropped),
            stop: stop.clone(),
        };
        std::thread::spawn(move || {
            let mut bytes = [0; 512];
            while !stop.load(Ordering::SeqCst) {
                let Ok(count) = socket.recv(&mut bytes) else {
                    continue;
                };
                let Ok(text) = std::str::from_utf8(&bytes[..count]) else {
                    continue;
                };
                if let ["lease", name, state] = text.split(' ').collect::<Vec<_>>()[..]
                    && !lock(&dropped).iter().any(|dropped| dropped == name)
                {
                    lock(&seen).insert(name.to_owned(), (Instant::now(), state == "Ready"));
                }
            }
        });
        Ok(control)
    }

    fn is_listed(&self, name: &str) -> bool {
        lock(&self.seen)
            .get(name)
            .is_some_and(|(at, ready)| *ready && at.elapsed() < ENDPOINT_LEASE)
    }
}

/// Results of the requests so far.
struct Results {
    day: Day,
    took: Histogram<u64>,
    asked: f64,
    good: f64,
    open: u64,
    record: Record,
    stray: u64,
}

/// State shared by all requests.
struct Callers {
    world: World,
    options: EmulationOptions,
    fleet: RefCell<Fleet>,
    control: ControlPlane,
    observer: Arc<RuleObserver>,
    results: RefCell<Results>,
    chance: RefCell<SmallRng>,
    heeds: Vec<bool>,
    away: RefCell<HashMap<(usize, usize), Instant>>,
    attempts: RefCell<u64>,
    /// Fraction of the requests that a hot caller sends, and the server it sends them to.
    hot: Cell<Option<(f64, usize)>>,
    /// First idempotency key.
    first: u64,
    /// Answered attempts, kept because a late run of one is still a breach.
    done: RefCell<std::collections::VecDeque<(u64, u64)>>,
}

/// Returns the world with `skip` set to 0: engines can't continue a run without its call, so an emulation skips none.
pub fn without_skipped_calls(world: &World) -> World {
    let mut world = world.clone();
    world
        .methods
        .iter_mut()
        .for_each(|method| method.skip = 0.0);
    world
}

/// Runs a world on sockets in real time. `interrupted` ends it early; `show` is called once a second.
pub fn emulate(
    world: &World,
    options: &EmulationOptions,
    interrupted: &Arc<AtomicBool>,
    mut show: impl FnMut(u64, &Day),
) -> Result<(Day, Record), String> {
    let message = |why: std::io::Error| why.to_string();
    let world = &without_skipped_calls(world);
    let mut chance = SmallRng::seed_from_u64(options.seed);
    let heeds = (0..world.gateways.count)
        .map(|_| chance.random_range(0.0..1.0) < world.gateways.heed)
        .collect();
    let crowd = world.servers.crowd * f64::from(world.servers.cores);
    // The process's real memory isn't the memory that it accounts for, so only the number of concurrent runs is checked.
    let rules = Rules::new(world.servers.count, world.servers.memory_kb, crowd);
    let observer = Arc::new(RuleObserver::new(rules));
    let control = ControlPlane::start().map_err(message)?;
    let fleet = Fleet::start(world, options, control.address, &observer, &mut chance)?;
    let executor = fleet.executor();
    let callers = Rc::new(Callers {
        world: world.clone(),
        options: options.clone(),
        fleet: RefCell::new(fleet),
        control,
        observer: observer.clone(),
        results: RefCell::new(Results {
            day: Day::new(world, options.seed),
            // One to 10^9 ticks with three significant digits: these constant bounds are valid.
            took: Histogram::new_with_bounds(1, 1_000_000_000, 3)
                .expect("histogram bounds are valid"),
            asked: 0.0,
            good: 0.0,
            open: 0,
            record: Record::new(world),
            stray: 0,
        }),
        chance: RefCell::new(SmallRng::seed_from_u64(options.seed ^ 1)),
        heeds,
        away: RefCell::default(),
        attempts: RefCell::new(now_ms() << 20),
        hot: Cell::new(None),
        first: now_ms() << 20,
        done: RefCell::default(),
    });
    let listed = |callers: &Callers| {
        let fleet = callers.fleet.borrow();
        (0..world.servers.count)
            .filter(|at| callers.control.is_listed(&fleet.names()[*at]))
            .count()
    };
    let ready = Instant::now() + Duration::from_secs(15);
    while listed(&callers) < world.servers.count {
        if Instant::now() > ready || interrupted.load(Ordering::SeqCst) {
            return Err("not all servers became ready within 15 s".to_owned());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let result = block_on(executor.run(run_world(&callers, &executor, interrupted, &mut show)));
    // Guards against servers that outlive an interrupted emulation.
    callers.fleet.borrow_mut().stop_all();
    result?;
    let turns = callers.fleet.borrow().breaker_transitions();
    let results = &mut *callers.results.borrow_mut();
    let mut rules = lock(&observer.rules);
    let now = observer.now();
    rules.finish(now);
    let ms = |quantile: f64| results.took.value_at_quantile(quantile) as f64 / 10.0;
    let mut day = results.day.clone();
    if !results.took.is_empty() {
        (day.p50_ms, day.p99_ms) = (ms(0.5), ms(0.99));
    }
    day.open = results.open;
    day.kept = if results.asked > 0.0 {
        results.good / results.asked
    } else {
        1.0
    };
    day.breaker_turns = turns;
    day.breaches = rules.count;
    day.told = rules.breaches.iter().map(ToString::to_string).collect();
    let record = std::mem::replace(&mut results.record, Record::new(world));
    Ok((day, record))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

async fn run_world(
    callers: &Rc<Callers>,
    executor: &Rc<LocalExecutor<'static>>,
    interrupted: &Arc<AtomicBool>,
    show: &mut impl FnMut(u64, &Day),
) -> Result<(), String> {
    let (world, start) = (&callers.world, Instant::now());
    let mut troubles: Vec<(f64, usize, bool)> = Vec::new();
    for (at, trouble) in world.troubles.iter().enumerate() {
        if trouble.at_s + trouble.for_s > 0.0 {
            troubles.push((trouble.at_s.max(0.0), at, true));
            troubles.push((trouble.at_s + trouble.for_s, at, false));
        }
    }
    troubles.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut troubles = troubles.into_iter().peekable();
    let (mut due, mut jump, mut second) = (0.0, 1.0, 0);
    let shares: f64 = world.methods.iter().map(|method| method.share).sum();
    // Mean 1, which keeps the world's rate; `World::check` admits only valid shapes.
    let gaps = Gamma::new(world.gap_shape, 1.0 / world.gap_shape).map_err(|why| why.to_string())?;
    loop {
        let gap = gaps.sample(&mut *callers.chance.borrow_mut()) / (world.rate() * jump).max(1e-9);
        due += gap;
        // Troubles and deploys happen on time even if no request is due.
        loop {
            let now = start.elapsed().as_secs_f64();
            if interrupted.load(Ordering::SeqCst) {
                return Err("interrupted".to_owned());
            }
            while let Some((_, at, begins)) = troubles.next_if(|(time, ..)| *time <= now) {
                apply_trouble(callers, at, begins, &mut jump)?;
            }
            callers
                .fleet
                .borrow_mut()
                .handle_due_events(&callers.observer)?;
            if now as u64 > second {
                second = now as u64;
                show(second, &callers.results.borrow().day);
            }
            if now >= due.min(world.seconds) {
                break;
            }
            let wait = (due.min(world.seconds) - now).min(0.02);
            Timer::after(Duration::from_secs_f64(wait)).await;
        }
        if due >= world.seconds {
            break;
        }
        let mut part = callers.chance.borrow_mut().random_range(0.0..shares);
        let method = world.methods.iter().position(|method| {
            part -= method.share;
            part < 0.0
        });
        let method = method.unwrap_or(world.methods.len() - 1);
        let at = start + Duration::from_secs_f64(due);
        executor
            .spawn(send_request(callers.clone(), method, at))
            .detach();
    }
    // Waits for open requests until their deadlines.
    let most = world
        .methods
        .iter()
        .map(|method| method.deadline_ms)
        .fold(0.0, f64::max)
        + ROUND_TRIP_ALLOWANCE_MS as f64;
    let ends = Instant::now() + Duration::from_secs_f64(most / 1000.0);
    while callers.results.borrow().open > 0
        && Instant::now() < ends
        && !interrupted.load(Ordering::SeqCst)
    {
        callers
            .fleet
            .borrow_mut()
            .handle_due_events(&callers.observer)?;
        Timer::after(Duration::from_millis(10)).await;
    }
    Ok(())
}

fn apply_trouble(callers: &Callers, at: usize, begins: bool, jump: &mut f64) -> Result<(), String> {
    let trouble = &callers.world.troubles[at];
    let mut fleet = callers.fleet.borrow_mut();
    match trouble.kind {
        Kind::Jump => *jump = if begins { trouble.size } else { 1.0 },
        Kind::HotCaller => {
            let server = callers
                .chance
                .borrow_mut()
                .random_range(0..callers.world.servers.count);
            callers.hot.set(begins.then_some((trouble.part, server)));
        }
        Kind::LostReports => {
            let affected = fleet.affected_servers(at, trouble.part, begins);
            let names = fleet.names();
            *lock(&callers.control.dropped) = if begins {
                affected.iter().map(|at| names[*at].clone()).collect()
            } else {
                Vec::new()
            };
        }
        _ => {
            let paused = fleet.apply_trouble(at, trouble, begins, &callers.observer)?;
            let mut rules = lock(&callers.observer.rules);
            paused
                .into_iter()
                .for_each(|at| rules.postpone_deadlines(at, (trouble.for_s * 10_000.0) as u64));
        }
    }
    Ok(())
}

/// Sends one request with all its attempts.
async fn send_request(callers: Rc<Callers>, method: usize, due: Instant) {
    let world = &callers.world;
    let of = &world.methods[method];
    let gateway = callers
        .chance
        .borrow_mut()
        .random_range(0..world.gateways.count);
    let first = {
        let results = &mut *callers.results.borrow_mut();
        results.day.requests += 1;
        results.open += 1;
        results.asked += of.criticality;
        results
            .record
            .record_request(callers.observer.now(), method, of.criticality);
        // Starting at the time of day keeps the keys of two emulations apart.
        callers.first + results.day.requests
    };
    let subject = choose_subject_server(&callers);
    let until = due + Duration::from_secs_f64(of.deadline_ms / 1000.0);
    let mut tries = 0;
    let last = loop {
        tries += 1;
        let (server, outcome) = send_attempt(
            &callers,
            gateway,
            method,
            due,
            until,
            first,
            tries > 1,
            subject,
        )
        .await;
        let again = match &outcome {
            Some(RpcOutcome::Ok(_)) => {
                let bare =
                    matches!(&outcome, Some(RpcOutcome::Ok(body)) if body.starts_with(b"bare"));
                let took = due.elapsed().as_secs_f64() * 1000.0;
                let results = &mut *callers.results.borrow_mut();
                let part = if bare { of.skip } else { 1.0 };
                let in_time = if took <= of.target_ms { 1.0 } else { of.late };
                let worth =
                    of.criticality * part * if took <= of.deadline_ms { in_time } else { 0.0 };
                results.good += worth;
                results
                    .took
                    .saturating_record(((took * 10.0) as u64).max(1));
                results.record.record_success(
                    callers.observer.now(),
                    server,
                    method,
                    took,
                    worth,
                    of.criticality,
                );
                results.day.ok += 1;
                break None;
            }
            Some(RpcOutcome::PushedBack { after, nowhere }) => {
                if callers.heeds[gateway] && !after.is_zero() {
                    callers
                        .away
                        .borrow_mut()
                        .insert((gateway, server), Instant::now() + *after);
                }
                !nowhere
            }
            // It may have run, so only a method that may run twice is retried.
            Some(_) => of.effect != Effect::NonIdempotent,
            // It was never sent.
            None => true,
        };
        let pause = Duration::from_secs_f64(world.gateways.pause_ms / 1000.0);
        if !again || tries > world.gateways.retries || Instant::now() + pause >= until {
            break Some((server, outcome));
        }
        Timer::after(pause).await;
    };
    let results = &mut *callers.results.borrow_mut();
    results.open -= 1;
    if let Some((server, outcome)) = last {
        let (count, loss) = match outcome {
            Some(RpcOutcome::PushedBack { .. }) => (&mut results.day.pushed_back, Loss::Hold),
            Some(RpcOutcome::Aborted) => (&mut results.day.aborted, Loss::Late),
            _ => (&mut results.day.unreached, Loss::Unreached),
        };
        *count += 1;
        results
            .record
            .record_loss(callers.observer.now(), server, method, loss, of.criticality);
    }
}

/// Draws the server of the first attempt if it isn't chosen at random.
fn choose_subject_server(callers: &Callers) -> Option<usize> {
    let chance = &mut *callers.chance.borrow_mut();
    if let Some((part, server)) = callers.hot.get()
        && chance.random_range(0.0..1.0) < part
    {
        return Some(server);
    }
    let by_subject = chance.random_range(0.0..1.0) < callers.world.gateways.by_subject;
    by_subject.then(|| chance.random_range(0..callers.world.servers.count))
}

/// Sends an attempt to a listed server, or to the last of eight draws if none is listed. Returns the server and the outcome, or
/// `None` for the outcome if the server is unreachable.
#[allow(clippy::too_many_arguments)]
async fn send_attempt(
    callers: &Rc<Callers>,
    gateway: usize,
    method: usize,
    due: Instant,
    until: Instant,
    first: u64,
    retry: bool,
    subject: Option<usize>,
) -> (usize, Option<RpcOutcome>) {
    let of = &callers.world.methods[method];
    let (server, connection) = choose_server(callers, gateway, if retry { None } else { subject });
    let Some((connection, rules_index)) = connection else {
        return (server, None);
    };
    let attempt = {
        let mut attempts = callers.attempts.borrow_mut();
        *attempts += 1;
        *attempts
    };
    callers.results.borrow_mut().day.attempts += 1;
    let now = callers.observer.now();
    let due_at = now + (of.deadline_ms as u64 + ROUND_TRIP_ALLOWANCE_MS) * 10;
    lock(&callers.observer.rules).record_arrival(
        now,
        attempt,
        rules_index,
        due_at,
        of.effect != Effect::Idempotent,
    );
    if of.effect == Effect::Tokened {
        lock(&callers.observer.tokens).insert(attempt, (first, (of.window_ms * 10.0) as u64));
    }
    let rpc = OutgoingRpc {
        method: of.name.clone(),
        reference: attempt,
        token: (of.effect == Effect::Tokened).then_some(first),
        tenant: String::new(),
        since_ms: now_ms() - due.elapsed().as_millis() as u64,
        room_kb: callers.world.servers.held_kb.max(0.001),
        retry,
        body: format!("{attempt:016x}").into_bytes(),
    };
    let outcome = connection
        .send(&rpc, until + Duration::from_millis(ROUND_TRIP_ALLOWANCE_MS))
        .await;
    let now = callers.observer.now();
    let mut rules = lock(&callers.observer.rules);
    let answer = match &outcome {
        RpcOutcome::Ok(_) => Some(AnswerKind::Ok),
        RpcOutcome::PushedBack { .. } => Some(AnswerKind::PushedBack),
        RpcOutcome::Aborted => Some(AnswerKind::Aborted),
        RpcOutcome::Refused => Some(AnswerKind::Aborted),
        RpcOutcome::Broken | RpcOutcome::TimedOut => None,
    };
    let wire = callers.options.faults != Faults::default();
    match answer {
        // A crash may have released the attempt while its answer was in transit.
        Some(answer) if rules.is_open(attempt) => {
            rules.record_answer(now, attempt, answer);
            if let RpcOutcome::PushedBack { after, nowhere } = &outcome {
                rules.record_retry_advice(
                    now,
                    rules_index,
                    after.as_millis() as u64 * 10,
                    *nowhere,
                    retry,
                );
            }
        }
        Some(_) => {}
        // The connection broke or an injected fault dropped the answer: the caller counts as gone.
        None if outcome == RpcOutcome::Broken || wire => {
            rules.record_caller_gone(attempt);
            callers.results.borrow_mut().stray += 1;
        }
        None => {}
    }
    let mut done = callers.done.borrow_mut();
    done.push_back((now, attempt));
    while let Some((_, attempt)) = done.pop_front_if(|(at, _)| *at + ANSWERED_RETENTION < now) {
        rules.record_release(now, attempt);
        lock(&callers.observer.tokens).remove(&attempt);
    }
    drop(rules);
    (server, Some(outcome))
}

fn choose_server(
    callers: &Callers,
    gateway: usize,
    subject: Option<usize>,
) -> (usize, Option<(Connection, usize)>) {
    let fleet = callers.fleet.borrow();
    if let Some(subject) = subject {
        return (subject, fleet.connection(subject, gateway));
    }
    let (names, mut chosen) = (fleet.names(), 0);
    for _ in 0..8 {
        chosen = callers.chance.borrow_mut().random_range(0..names.len());
        let away = callers
            .away
            .borrow()
            .get(&(gateway, chosen))
            .is_some_and(|until| *until > Instant::now());
        if callers.control.is_listed(&names[chosen]) && !away {
            break;
        }
    }
    (chosen, fleet.connection(chosen, gateway))
}
