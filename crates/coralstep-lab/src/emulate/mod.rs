//! A world on loopback sockets: the program `coralstep` itself in every server, with stand-ins for all that it speaks with, troubles
//! at their times and faults on the wire; the four rules are checked by what callers and engines saw. All that was started ends
//! with the emulation, also when it is interrupted.
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

use crate::caller::{Ask, Protocol, Said, Way};
use crate::record::{Loss, Record};
use crate::rules::{AnswerKind, Rules};
use crate::simulate::Day;
use crate::world::{Effect, Kind, World};
use fleet::Fleet;
use wire::Faults;

/// On the way to a server and back, with a busy machine in between: an answer is late only past that, in milliseconds.
const WAY_MS: u64 = 400;
/// A server that sent no report for so long is off the list.
const LEASE: Duration = Duration::from_secs(3);
/// An answered attempt is known for so long, in ticks: a run that begins then is one too many.
const KNOWN: u64 = 50_000;
/// Runs on the cores may be more than survived for a moment before the engine's reading of it counts.
const CROWD_EVERY: u64 = 200;

pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// What callers and engines saw, as the checker of the rules takes it.
pub struct Witness {
    start: Instant,
    rules: Mutex<Rules>,
    /// Tokens of what is open, and how long they count.
    tokens: Mutex<HashMap<u64, (u64, u64)>>,
}

impl Witness {
    fn new(rules: Rules) -> Witness {
        Witness {
            start: Instant::now(),
            rules: Mutex::new(rules),
            tokens: Mutex::default(),
        }
    }

    /// In ticks since the start.
    fn now(&self) -> u64 {
        (self.start.elapsed().as_micros() / 100) as u64
    }

    /// A run began, under the reference that the server gave.
    pub fn began(&self, reference: &str) {
        let Ok(attempt) = u64::from_str_radix(reference, 16) else {
            return;
        };
        let token = lock(&self.tokens).get(&attempt).copied();
        let mut rules = lock(&self.rules);
        let now = self.now();
        // One whose caller has let go of it is nobody's.
        if rules.is_open(attempt) {
            rules.record_start(
                now,
                attempt,
                token.map(|(token, window)| (token, now + window)),
            );
        }
    }

    /// So many runs are on a server's cores.
    pub fn crowd(&self, server: usize, running: usize) {
        let now = self.now();
        if now % CROWD_EVERY < 20 {
            lock(&self.rules).record_usage(now, server, 0.0, running);
        }
    }
}

#[derive(Clone, Debug)]
pub struct Terms {
    /// The program.
    pub program: PathBuf,
    pub protocol: Protocol,
    /// SCGI applications run the RPCs in place of an engine.
    pub applications: bool,
    pub faults: Faults,
    pub seed: u64,
}

/// The control plane's list: who reported, when, and whether it is ready.
struct Control {
    address: SocketAddr,
    seen: Arc<Mutex<HashMap<String, (Instant, bool)>>>,
    /// Reports from these are lost.
    deaf: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Control {
    fn start() -> std::io::Result<Control> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let address = socket.local_addr()?;
        let (seen, deaf, stop) = (
            Arc::default(),
            Arc::default(),
            Arc::new(AtomicBool::new(false)),
        );
        let control = Control {
            address,
            seen: Arc::clone(&seen),
            deaf: Arc::clone(&deaf),
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
                    && !lock(&deaf).iter().any(|deaf| deaf == name)
                {
                    lock(&seen).insert(name.to_owned(), (Instant::now(), state == "Ready"));
                }
            }
        });
        Ok(control)
    }

    fn lists(&self, name: &str) -> bool {
        lock(&self.seen)
            .get(name)
            .is_some_and(|(at, ready)| *ready && at.elapsed() < LEASE)
    }
}

struct Played {
    day: Day,
    took: Histogram<u64>,
    asked: f64,
    good: f64,
    open: u64,
    record: Record,
    stray: u64,
}

/// All that requests share.
struct Callers {
    world: World,
    terms: Terms,
    fleet: RefCell<Fleet>,
    control: Control,
    witness: Arc<Witness>,
    played: RefCell<Played>,
    chance: RefCell<SmallRng>,
    heeds: Vec<bool>,
    away: RefCell<HashMap<(usize, usize), Instant>>,
    attempts: RefCell<u64>,
    /// Part of the requests that a hot caller sends, and the server it sends them to.
    hot: Cell<Option<(f64, usize)>>,
    /// Tokens are counted from here.
    first: u64,
    /// Answered attempts, for which a late run would still be a breach.
    done: RefCell<std::collections::VecDeque<(u64, u64)>>,
}

/// The world as sockets can play it: engines can't go on without a call that a run asks for, so none is left out.
pub fn playable(world: &World) -> World {
    let mut world = world.clone();
    world
        .methods
        .iter_mut()
        .for_each(|method| method.skip = 0.0);
    world
}

/// Plays a world on sockets in real time; `interrupted` ends it early, `show` is told of each second.
pub fn emulate(
    world: &World,
    terms: &Terms,
    interrupted: &Arc<AtomicBool>,
    mut show: impl FnMut(u64, &Day),
) -> Result<(Day, Record), String> {
    let told = |why: std::io::Error| why.to_string();
    let world = &playable(world);
    let mut chance = SmallRng::seed_from_u64(terms.seed);
    let heeds = (0..world.gateways.count)
        .map(|_| chance.random_range(0.0..1.0) < world.gateways.heed)
        .collect();
    let crowd = world.servers.crowd * f64::from(world.servers.cores);
    // The program's own memory is not its booked memory: only the crowd is looked at.
    let rules = Rules::new(world.servers.count, world.servers.memory_kb, crowd);
    let witness = Arc::new(Witness::new(rules));
    let control = Control::start().map_err(told)?;
    let fleet = Fleet::start(world, terms, control.address, &witness, &mut chance)?;
    let executor = fleet.executor();
    let callers = Rc::new(Callers {
        world: world.clone(),
        terms: terms.clone(),
        fleet: RefCell::new(fleet),
        control,
        witness: witness.clone(),
        played: RefCell::new(Played {
            day: Day::new(world, terms.seed),
            // A tick to a billion, three digits: what is created so can't fail.
            took: Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("sound bounds"),
            asked: 0.0,
            good: 0.0,
            open: 0,
            record: Record::new(world),
            stray: 0,
        }),
        chance: RefCell::new(SmallRng::seed_from_u64(terms.seed ^ 1)),
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
            .filter(|at| callers.control.lists(&fleet.names()[*at]))
            .count()
    };
    let ready = Instant::now() + Duration::from_secs(15);
    while listed(&callers) < world.servers.count {
        if Instant::now() > ready || interrupted.load(Ordering::SeqCst) {
            return Err("the servers did not all get ready within 15 s".to_owned());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let result = block_on(executor.run(day(&callers, &executor, interrupted, &mut show)));
    // Guards against servers that outlive a day that was interrupted.
    callers.fleet.borrow_mut().end();
    result?;
    let turns = callers.fleet.borrow().turns();
    let played = &mut *callers.played.borrow_mut();
    let mut rules = lock(&witness.rules);
    let now = witness.now();
    rules.finish(now);
    let ms = |quantile: f64| played.took.value_at_quantile(quantile) as f64 / 10.0;
    let mut day = played.day.clone();
    if !played.took.is_empty() {
        (day.p50_ms, day.p99_ms) = (ms(0.5), ms(0.99));
    }
    day.open = played.open;
    day.kept = if played.asked > 0.0 {
        played.good / played.asked
    } else {
        1.0
    };
    day.breaker_turns = turns;
    day.breaches = rules.count;
    day.told = rules.breaches.iter().map(ToString::to_string).collect();
    let record = std::mem::replace(&mut played.record, Record::new(world));
    Ok((day, record))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

async fn day(
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
    // Of mean 1; what `check` lets through has one.
    let gaps = Gamma::new(world.gap_shape, 1.0 / world.gap_shape).map_err(|why| why.to_string())?;
    loop {
        let gap = gaps.sample(&mut *callers.chance.borrow_mut()) / (world.rate() * jump).max(1e-9);
        due += gap;
        // Troubles and the deploys of servers come at their times, with or without requests.
        loop {
            let now = start.elapsed().as_secs_f64();
            if interrupted.load(Ordering::SeqCst) {
                return Err("interrupted".to_owned());
            }
            while let Some((_, at, begins)) = troubles.next_if(|(time, ..)| *time <= now) {
                trouble(callers, at, begins, &mut jump)?;
            }
            callers.fleet.borrow_mut().tend(&callers.witness)?;
            if now as u64 > second {
                second = now as u64;
                show(second, &callers.played.borrow().day);
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
            .spawn(request(callers.clone(), method, at))
            .detach();
    }
    // What is open has until its deadline.
    let most = world
        .methods
        .iter()
        .map(|method| method.deadline_ms)
        .fold(0.0, f64::max)
        + WAY_MS as f64;
    let ends = Instant::now() + Duration::from_secs_f64(most / 1000.0);
    while callers.played.borrow().open > 0
        && Instant::now() < ends
        && !interrupted.load(Ordering::SeqCst)
    {
        callers.fleet.borrow_mut().tend(&callers.witness)?;
        Timer::after(Duration::from_millis(10)).await;
    }
    Ok(())
}

fn trouble(callers: &Callers, at: usize, begins: bool, jump: &mut f64) -> Result<(), String> {
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
            let struck = fleet.struck(at, trouble.part, begins);
            let names = fleet.names();
            *lock(&callers.control.deaf) = if begins {
                struck.iter().map(|at| names[*at].clone()).collect()
            } else {
                Vec::new()
            };
        }
        _ => {
            let paused = fleet.trouble(at, trouble, begins, &callers.witness)?;
            let mut rules = lock(&callers.witness.rules);
            paused
                .into_iter()
                .for_each(|at| rules.postpone_deadlines(at, (trouble.for_s * 10_000.0) as u64));
        }
    }
    Ok(())
}

/// One request with all its tries.
async fn request(callers: Rc<Callers>, method: usize, due: Instant) {
    let world = &callers.world;
    let of = &world.methods[method];
    let gateway = callers
        .chance
        .borrow_mut()
        .random_range(0..world.gateways.count);
    let first = {
        let played = &mut *callers.played.borrow_mut();
        played.day.requests += 1;
        played.open += 1;
        played.asked += of.criticality;
        played
            .record
            .asked(callers.witness.now(), method, of.criticality);
        // Tokens of two emulations must not meet.
        callers.first + played.day.requests
    };
    let subject = subject(&callers);
    let until = due + Duration::from_secs_f64(of.deadline_ms / 1000.0);
    let mut tries = 0;
    let last = loop {
        tries += 1;
        let (server, said) = attempt(
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
        let again = match &said {
            Some(Said::Ok(_)) => {
                let bare = matches!(&said, Some(Said::Ok(body)) if body.starts_with(b"bare"));
                let took = due.elapsed().as_secs_f64() * 1000.0;
                let played = &mut *callers.played.borrow_mut();
                let part = if bare { of.skip } else { 1.0 };
                let in_time = if took <= of.target_ms { 1.0 } else { of.late };
                let worth =
                    of.criticality * part * if took <= of.deadline_ms { in_time } else { 0.0 };
                played.good += worth;
                played.took.saturating_record(((took * 10.0) as u64).max(1));
                played.record.ok(
                    callers.witness.now(),
                    server,
                    method,
                    took,
                    worth,
                    of.criticality,
                );
                played.day.ok += 1;
                break None;
            }
            Some(Said::PushedBack { after, nowhere }) => {
                if callers.heeds[gateway] && !after.is_zero() {
                    callers
                        .away
                        .borrow_mut()
                        .insert((gateway, server), Instant::now() + *after);
                }
                !nowhere
            }
            // Whether it ran is not known: only what may run twice comes again.
            Some(_) => of.effect != Effect::NonIdempotent,
            // It never left.
            None => true,
        };
        let pause = Duration::from_secs_f64(world.gateways.pause_ms / 1000.0);
        if !again || tries > world.gateways.retries || Instant::now() + pause >= until {
            break Some((server, said));
        }
        Timer::after(pause).await;
    };
    let played = &mut *callers.played.borrow_mut();
    played.open -= 1;
    if let Some((server, said)) = last {
        let (count, loss) = match said {
            Some(Said::PushedBack { .. }) => (&mut played.day.pushed_back, Loss::Hold),
            Some(Said::Aborted) => (&mut played.day.aborted, Loss::Late),
            _ => (&mut played.day.unreached, Loss::Unreached),
        };
        *count += 1;
        played
            .record
            .lost(callers.witness.now(), server, method, loss, of.criticality);
    }
}

/// The server that is asked first where that is not by chance.
fn subject(callers: &Callers) -> Option<usize> {
    let chance = &mut *callers.chance.borrow_mut();
    if let Some((part, server)) = callers.hot.get()
        && chance.random_range(0.0..1.0) < part
    {
        return Some(server);
    }
    let by_subject = chance.random_range(0.0..1.0) < callers.world.gateways.by_subject;
    by_subject.then(|| chance.random_range(0..callers.world.servers.count))
}

/// A try at a server that is on the list, where a few looks find one; what it said, where it was reached.
#[allow(clippy::too_many_arguments)]
async fn attempt(
    callers: &Rc<Callers>,
    gateway: usize,
    method: usize,
    due: Instant,
    until: Instant,
    first: u64,
    retry: bool,
    subject: Option<usize>,
) -> (usize, Option<Said>) {
    let of = &callers.world.methods[method];
    let (server, way) = choose(callers, gateway, if retry { None } else { subject });
    let Some((way, place)) = way else {
        return (server, None);
    };
    let attempt = {
        let mut attempts = callers.attempts.borrow_mut();
        *attempts += 1;
        *attempts
    };
    callers.played.borrow_mut().day.attempts += 1;
    let now = callers.witness.now();
    let due_at = now + (of.deadline_ms as u64 + WAY_MS) * 10;
    lock(&callers.witness.rules).record_arrival(
        now,
        attempt,
        place,
        due_at,
        of.effect != Effect::Idempotent,
    );
    if of.effect == Effect::Tokened {
        lock(&callers.witness.tokens).insert(attempt, (first, (of.window_ms * 10.0) as u64));
    }
    let ask = Ask {
        method: of.name.clone(),
        reference: attempt,
        token: (of.effect == Effect::Tokened).then_some(first),
        tenant: String::new(),
        since_ms: now_ms() - due.elapsed().as_millis() as u64,
        room_kb: callers.world.servers.held_kb.max(0.001),
        retry,
        body: format!("{attempt:016x}").into_bytes(),
    };
    let said = way.ask(&ask, until + Duration::from_millis(WAY_MS)).await;
    let now = callers.witness.now();
    let mut rules = lock(&callers.witness.rules);
    let told = match &said {
        Said::Ok(_) => Some(AnswerKind::Ok),
        Said::PushedBack { .. } => Some(AnswerKind::PushedBack),
        Said::Aborted => Some(AnswerKind::Aborted),
        Said::Refused => Some(AnswerKind::Aborted),
        Said::Broken | Said::TimedOut => None,
    };
    let wire = callers.terms.faults != Faults::default();
    match told {
        // A crash took it off the books though its answer was on the way.
        Some(told) if rules.is_open(attempt) => {
            rules.record_answer(now, attempt, told);
            if let Said::PushedBack { after, nowhere } = &said {
                rules.record_retry_advice(
                    now,
                    place,
                    after.as_millis() as u64 * 10,
                    *nowhere,
                    retry,
                );
            }
        }
        Some(_) => {}
        // A connection that broke, or a wire that swallows: the caller is known to be gone.
        None if said == Said::Broken || wire => {
            rules.record_caller_gone(attempt);
            callers.played.borrow_mut().stray += 1;
        }
        None => {}
    }
    let mut done = callers.done.borrow_mut();
    done.push_back((now, attempt));
    while let Some((_, attempt)) = done.pop_front_if(|(at, _)| *at + KNOWN < now) {
        rules.record_release(now, attempt);
        lock(&callers.witness.tokens).remove(&attempt);
    }
    drop(rules);
    (server, Some(said))
}

fn choose(
    callers: &Callers,
    gateway: usize,
    subject: Option<usize>,
) -> (usize, Option<(Way, usize)>) {
    let fleet = callers.fleet.borrow();
    if let Some(subject) = subject {
        return (subject, fleet.way(subject, gateway));
    }
    let (names, mut chosen) = (fleet.names(), 0);
    for _ in 0..8 {
        chosen = callers.chance.borrow_mut().random_range(0..names.len());
        let away = callers
            .away
            .borrow()
            .get(&(gateway, chosen))
            .is_some_and(|until| *until > Instant::now());
        if callers.control.lists(&names[chosen]) && !away {
            break;
        }
    }
    (chosen, fleet.way(chosen, gateway))
}
