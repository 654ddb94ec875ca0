//! A fake engine: runs share its cores, and a run with a call does half of its work before and half after the call. It simulates
//! warm-up, lower throughput under too many runs, and heavy tails. Connections may break at any time; notices are kept and sent again.
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::RuleObserver;
use super::lines::parse_command;
use crate::world::World;

/// Time after which a run that waits for its call result ends: the server sends none to a run whose RPC is already answered.
const CALL_RESULT_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of notices kept for later connections; the server has long read older ones.
const MAX_KEPT_NOTICES: usize = 50_000;
/// Interval between two updates of the cores while something runs.
const STEP: Duration = Duration::from_millis(1);
/// Interval between two updates of the cores while nothing runs.
const IDLE_STEP: Duration = Duration::from_millis(20);
/// Number of ended runs that are remembered.
const MAX_KNOWN_ENDED: usize = 50_000;

/// Faults injected into an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFaults {
    pub slow: f64,
    pub paused: bool,
    /// Fraction of the runs with more work, and the factor by which their work grows.
    pub tail: Option<(f64, f64)>,
}

impl Default for EngineFaults {
    fn default() -> EngineFaults {
        EngineFaults {
            slow: 1.0,
            paused: false,
            tail: None,
        }
    }
}

/// Configuration of an engine, independent of its workload.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    pub cores: u32,
    /// Runs per core above which total throughput falls.
    pub crowd: f64,
    pub speed: f64,
    /// For a fresh engine: its initial speed as a fraction, and its warm-up time.
    pub cold: Option<(f64, Duration)>,
    /// Time after which each connection is closed.
    pub breaks: Option<Duration>,
    /// Whether a run waits for its call result without a timeout, even if its RPC is already answered.
    pub never_ends: bool,
}

/// Defines the work of runs and observes them.
pub trait Workload: Send {
    /// Handles the start of a run. Returns its work in milliseconds of a core of speed 1, before its call and, if it makes one, after
    /// it; `None` for an unknown method.
    fn start_run(&mut self, id: &str, method: &str, body: &[u8]) -> Option<(f64, Option<f64>)>;
    /// Reports the number of runs on the cores.
    fn report_running(&mut self, _running: usize) {}
}

/// The workload of a world; reports runs to the observer.
struct WorldWorkload {
    world: World,
    server: usize,
    chance: SmallRng,
    faults: Arc<Mutex<EngineFaults>>,
    observer: Arc<RuleObserver>,
}

impl Workload for WorldWorkload {
    fn start_run(&mut self, id: &str, method: &str, _body: &[u8]) -> Option<(f64, Option<f64>)> {
        self.observer.record_run_start(id);
        let of = self.world.methods.iter().find(|of| of.name == method)?;
        let mut work = of.work_ms.draw(&mut self.chance);
        if let Some((part, size)) = super::lock(&self.faults).tail
            && self.chance.random_range(0.0..1.0) < part
        {
            work *= size;
        }
        Some(if of.calls {
            (work / 2.0, Some(work / 2.0))
        } else {
            (work, None)
        })
    }

    fn report_running(&mut self, running: usize) {
        self.observer.record_running(self.server, running);
    }
}

pub struct Engine {
    pub address: SocketAddr,
    pub faults: Arc<Mutex<EngineFaults>>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().map(std::thread::JoinHandle::join);
    }
}

impl Engine {
    /// Starts the engine of a server, in its warm-up if `cold`.
    pub fn start(
        world: &World,
        server: usize,
        speed: f64,
        cold: bool,
        seed: u64,
        observer: Arc<RuleObserver>,
    ) -> std::io::Result<Engine> {
        let faults = Arc::new(Mutex::new(EngineFaults::default()));
        let (of, chance) = (&world.servers, SmallRng::seed_from_u64(seed));
        let config = EngineConfig {
            cores: of.cores,
            crowd: of.crowd,
            speed,
            cold: cold.then(|| (of.cold_speed, Duration::from_secs_f64(of.warm_ms / 1000.0))),
            breaks: None,
            never_ends: false,
        };
        let work = WorldWorkload {
            world: world.clone(),
            server,
            chance,
            faults: faults.clone(),
            observer,
        };
        Engine::serve(TcpListener::bind("127.0.0.1:0")?, config, work, faults)
    }

    /// Starts an engine that serves connections to `listener` until it is dropped.
    pub fn serve(
        listener: TcpListener,
        config: EngineConfig,
        work: impl Workload + 'static,
        faults: Arc<Mutex<EngineFaults>>,
    ) -> std::io::Result<Engine> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let mut state = State {
            config,
            work: Box::new(work),
            began: Instant::now(),
            faults: faults.clone(),
            jobs: Vec::new(),
            ended: VecDeque::new(),
            known: HashMap::new(),
            notices: VecDeque::new(),
            dropped: 0,
            last: Instant::now(),
        };
        let end = stop.clone();
        let thread = std::thread::spawn(move || {
            while !end.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => drop(state.serve_connection(stream, &end)),
                    Err(_) => {
                        std::thread::sleep(Duration::from_millis(1));
                        state.advance();
                    }
                }
            }
        });
        Ok(Engine {
            address,
            faults,
            stop,
            thread: Some(thread),
        })
    }
}

struct Job {
    id: String,
    body: Vec<u8>,
    /// Remaining work before the call or the end, in milliseconds of a core of speed 1.
    left: f64,
    /// Work after the call, if the call is still to be made.
    behind: Option<f64>,
    /// Time since which it has been waiting for its call result.
    waits: Option<Instant>,
    bare: bool,
}

struct State {
    config: EngineConfig,
    work: Box<dyn Workload>,
    /// Start time of the engine.
    began: Instant,
    faults: Arc<Mutex<EngineFaults>>,
    jobs: Vec<Job>,
    ended: VecDeque<String>,
    known: HashMap<String, ()>,
    notices: VecDeque<Vec<u8>>,
    /// Number of notices that are no longer kept.
    dropped: usize,
    last: Instant,
}

impl State {
    fn add_notice(&mut self, head: &str, rest: &str, body: &[u8]) {
        let number = self.dropped + self.notices.len() + 1;
        let line = format!("{head} {number} {rest} {}\r\n", body.len());
        self.notices
            .push_back([line.as_bytes(), body, b"\r\n"].concat());
        if self.notices.len() > MAX_KEPT_NOTICES {
            self.notices.pop_front();
            self.dropped += 1;
        }
    }

    /// Advances the runs on the cores to the present time.
    fn advance(&mut self) {
        let now = Instant::now();
        let ms = (now - std::mem::replace(&mut self.last, now)).as_secs_f64() * 1000.0;
        let (faults, config) = (*super::lock(&self.faults), self.config);
        if faults.paused {
            return;
        }
        let warm = config.cold.map_or(1.0, |(speed, after)| {
            let part = self.began.elapsed().as_secs_f64() / after.as_secs_f64().max(0.001);
            (speed + (1.0 - speed) * part).min(1.0)
        });
        let running = self
            .jobs
            .iter()
            .filter(|job| job.waits.is_none())
            .count()
            .max(1) as f64;
        let cores = f64::from(config.cores);
        let crowd = (config.crowd * cores / running).min(1.0);
        let each = ms * config.speed * warm / faults.slow * (cores / running).min(1.0) * crowd;
        let (mut over, mut calls) = (Vec::new(), Vec::new());
        for job in &mut self.jobs {
            match job.waits {
                Some(since) if since.elapsed() > CALL_RESULT_TIMEOUT && !config.never_ends => {
                    over.push((job.id.clone(), "cut", Vec::new()))
                }
                Some(_) => {}
                None => {
                    job.left -= each;
                    if job.left > 0.0 {
                        continue;
                    }
                    if let Some(behind) = job.behind.take() {
                        (job.left, job.waits) = (behind, Some(now));
                        calls.push(job.id.clone());
                    } else {
                        let did: &[u8] = if job.bare { b"bare " } else { b"did " };
                        over.push((job.id.clone(), "good", [did, &job.body[..]].concat()));
                    }
                }
            }
        }
        calls
            .into_iter()
            .for_each(|id| self.add_notice("NEED", &id, b"q"));
        over.into_iter()
            .for_each(|(id, end, result)| self.end_run(&id, end, &result));
    }

    fn end_run(&mut self, id: &str, end: &str, result: &[u8]) {
        self.jobs.retain(|job| job.id != id);
        self.known.insert(id.to_owned(), ());
        self.ended.push_back(id.to_owned());
        if self.ended.len() > MAX_KNOWN_ENDED
            && let Some(oldest) = self.ended.pop_front()
        {
            self.known.remove(&oldest);
        }
        self.add_notice("DONE", &format!("{id} {end} 7"), result);
    }

    /// Serves one connection until it ends.
    fn serve_connection(
        &mut self,
        mut stream: TcpStream,
        stop: &AtomicBool,
    ) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(STEP))?;
        let mut idle = false;
        stream.set_write_timeout(Some(Duration::from_secs(1)))?;
        let (mut bytes, mut sent, since) = (Vec::new(), None, Instant::now());
        let breaks = self.config.breaks;
        while !stop.load(Ordering::SeqCst) && breaks.is_none_or(|breaks| since.elapsed() < breaks) {
            let mut more = [0; 4096];
            match stream.read(&mut more) {
                Ok(0) => return Ok(()),
                Ok(count) => bytes.extend_from_slice(&more[..count]),
                Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(why) => return Err(why),
            }
            while let Some((line, body, used)) = parse_command(&bytes)? {
                bytes.drain(..used);
                let words: Vec<&str> = line.split(' ').collect();
                match words[..] {
                    ["ATTACH", number] => {
                        sent = number.parse::<usize>().ok();
                        let hello = match self.config.cold {
                            Some(_) => {
                                format!("HELLO new {}\r\n", self.began.elapsed().as_millis())
                            }
                            None => "HELLO old 3600000\r\n".to_owned(),
                        };
                        stream.write_all(hello.as_bytes())?;
                    }
                    ["STAT", tag] => {
                        // All notices so far must precede the answer.
                        self.send_notices(&mut stream, &mut sent)?;
                        let running = self.jobs.iter().filter(|job| job.waits.is_none()).count();
                        let busy = (running as f64 / f64::from(self.config.cores)).min(1.0);
                        stream.write_all(
                            format!("STATS {tag} {busy} {running} 0.1 3\r\n").as_bytes(),
                        )?;
                    }
                    ["RUN", id, method, _] => self.run(id, method, body),
                    ["FEED", id, _] => {
                        let bare = body != b"ok";
                        for job in self.jobs.iter_mut().filter(|job| job.id == id) {
                            (job.waits, job.bare) = (None, bare);
                        }
                    }
                    ["HALT", id] => {
                        if self.jobs.iter().any(|job| job.id == id) {
                            self.end_run(id, "cut", b"");
                        }
                    }
                    _ => return Err(std::io::Error::other(format!("unknown command {line}"))),
                }
            }
            self.advance();
            self.send_notices(&mut stream, &mut sent)?;
            // Guards against hundreds of engines that exhaust the machine's CPU by polling while idle.
            if idle != self.jobs.is_empty() {
                idle = !idle;
                stream.set_read_timeout(Some(if idle { IDLE_STEP } else { STEP }))?;
            }
            let running = self.jobs.iter().filter(|job| job.waits.is_none()).count();
            self.work.report_running(running);
        }
        Ok(())
    }

    fn run(&mut self, id: &str, method: &str, body: Vec<u8>) {
        if self.jobs.iter().any(|job| job.id == id) {
            return;
        }
        if self.known.contains_key(id) {
            return self.add_notice("DONE", &format!("{id} gone 0"), b"");
        }
        let Some((left, behind)) = self.work.start_run(id, method, &body) else {
            return self.add_notice("DONE", &format!("{id} bad 0"), b"");
        };
        self.jobs.push(Job {
            id: id.to_owned(),
            body,
            left,
            behind,
            waits: None,
            bare: false,
        });
    }

    fn send_notices(
        &self,
        stream: &mut TcpStream,
        sent: &mut Option<usize>,
    ) -> std::io::Result<()> {
        let Some(sent) = sent else { return Ok(()) };
        let from = sent.saturating_sub(self.dropped).min(self.notices.len());
        let rest: Vec<u8> = self.notices.range(from..).flatten().copied().collect();
        *sent = self.dropped + self.notices.len();
        if rest.is_empty() {
            Ok(())
        } else {
            stream.write_all(&rest)
        }
    }
}
