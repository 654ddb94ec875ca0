//! A stand-in engine: cores that runs share, half of a run that calls before the call and half behind it; warming, a crowd past
//! which less gets done, heavy tails. Links may break at any time; notices are kept and sent again.
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Witness;
use super::lines::command;
use crate::world::World;

/// An answered RPC's run that still waits at its call ends after so long, as nobody feeds it any more.
const FED: Duration = Duration::from_secs(4);
/// Notices kept for links that come later; the server has long read what is older.
const KEPT: usize = 50_000;
/// Between two looks at the cores, while something runs and while nothing does.
const STEP: Duration = Duration::from_millis(1);
const IDLE: Duration = Duration::from_millis(20);
/// Runs known to have ended.
const ENDED: usize = 50_000;

/// What troubles do to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plight {
    pub slow: f64,
    pub paused: bool,
    /// Part of the runs that take so many times the work.
    pub tail: Option<(f64, f64)>,
}

impl Default for Plight {
    fn default() -> Plight {
        Plight {
            slow: 1.0,
            paused: false,
            tail: None,
        }
    }
}

/// What an engine is, whatever it runs.
#[derive(Clone, Copy, Debug)]
pub struct EngineTerms {
    pub cores: u32,
    /// Runs a core past which less gets done in total.
    pub crowd: f64,
    pub speed: f64,
    /// Just started: so slow, and warm after so long.
    pub cold: Option<(f64, Duration)>,
    /// Links end after so long.
    pub breaks: Option<Duration>,
    /// A run that waits for its call does so for good, also when its RPC is long over.
    pub never_ends: bool,
}

/// What runs on an engine, and who is told of it.
pub trait Work: Send {
    /// A run begins: its work in milliseconds of a core of speed 1, before its call and, where it makes one, behind it. None for a
    /// method that nobody knows.
    fn begins(&mut self, id: &str, method: &str, body: &[u8]) -> Option<(f64, Option<f64>)>;
    /// So many runs are on the cores.
    fn crowd(&mut self, _running: usize) {}
}

/// What a world says of its runs, and its witness.
struct OfWorld {
    world: World,
    server: usize,
    chance: SmallRng,
    plight: Arc<Mutex<Plight>>,
    witness: Arc<Witness>,
}

impl Work for OfWorld {
    fn begins(&mut self, id: &str, method: &str, _body: &[u8]) -> Option<(f64, Option<f64>)> {
        self.witness.began(id);
        let of = self.world.methods.iter().find(|of| of.name == method)?;
        let mut work = of.work_ms.draw(&mut self.chance);
        if let Some((part, size)) = super::lock(&self.plight).tail
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

    fn crowd(&mut self, running: usize) {
        self.witness.crowd(self.server, running);
    }
}

pub struct Engine {
    pub address: SocketAddr,
    pub plight: Arc<Mutex<Plight>>,
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
    /// The engine of server `server`; `cold`: it was just started.
    pub fn start(
        world: &World,
        server: usize,
        speed: f64,
        cold: bool,
        seed: u64,
        witness: Arc<Witness>,
    ) -> std::io::Result<Engine> {
        let plight = Arc::new(Mutex::new(Plight::default()));
        let (of, chance) = (&world.servers, SmallRng::seed_from_u64(seed));
        let terms = EngineTerms {
            cores: of.cores,
            crowd: of.crowd,
            speed,
            cold: cold.then(|| (of.cold_speed, Duration::from_secs_f64(of.warm_ms / 1000.0))),
            breaks: None,
            never_ends: false,
        };
        let work = OfWorld {
            world: world.clone(),
            server,
            chance,
            plight: plight.clone(),
            witness,
        };
        Engine::serve(TcpListener::bind("127.0.0.1:0")?, terms, work, plight)
    }

    /// An engine for whoever connects to `listener`, until it is dropped.
    pub fn serve(
        listener: TcpListener,
        terms: EngineTerms,
        work: impl Work + 'static,
        plight: Arc<Mutex<Plight>>,
    ) -> std::io::Result<Engine> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let mut state = State {
            terms,
            work: Box::new(work),
            began: Instant::now(),
            plight: plight.clone(),
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
                    Ok((stream, _)) => drop(state.link(stream, &end)),
                    Err(_) => {
                        std::thread::sleep(Duration::from_millis(1));
                        state.pass();
                    }
                }
            }
        });
        Ok(Engine {
            address,
            plight,
            stop,
            thread: Some(thread),
        })
    }
}

struct Job {
    id: String,
    body: Vec<u8>,
    /// Work left before the call, or to the end, in milliseconds of a core of speed 1.
    left: f64,
    /// Work behind the call that is still to come.
    behind: Option<f64>,
    /// Since when it waits for its call.
    waits: Option<Instant>,
    bare: bool,
}

struct State {
    terms: EngineTerms,
    work: Box<dyn Work>,
    /// When the engine was started.
    began: Instant,
    plight: Arc<Mutex<Plight>>,
    jobs: Vec<Job>,
    ended: VecDeque<String>,
    known: HashMap<String, ()>,
    notices: VecDeque<Vec<u8>>,
    /// Notices that are no longer kept.
    dropped: usize,
    last: Instant,
}

impl State {
    fn notice(&mut self, head: &str, rest: &str, body: &[u8]) {
        let number = self.dropped + self.notices.len() + 1;
        let line = format!("{head} {number} {rest} {}\r\n", body.len());
        self.notices
            .push_back([line.as_bytes(), body, b"\r\n"].concat());
        if self.notices.len() > KEPT {
            self.notices.pop_front();
            self.dropped += 1;
        }
    }

    /// Time passes on the cores.
    fn pass(&mut self) {
        let now = Instant::now();
        let ms = (now - std::mem::replace(&mut self.last, now)).as_secs_f64() * 1000.0;
        let (plight, terms) = (*super::lock(&self.plight), self.terms);
        if plight.paused {
            return;
        }
        let warm = terms.cold.map_or(1.0, |(speed, after)| {
            let part = self.began.elapsed().as_secs_f64() / after.as_secs_f64().max(0.001);
            (speed + (1.0 - speed) * part).min(1.0)
        });
        let running = self
            .jobs
            .iter()
            .filter(|job| job.waits.is_none())
            .count()
            .max(1) as f64;
        let cores = f64::from(terms.cores);
        let crowd = (terms.crowd * cores / running).min(1.0);
        let each = ms * terms.speed * warm / plight.slow * (cores / running).min(1.0) * crowd;
        let (mut over, mut calls) = (Vec::new(), Vec::new());
        for job in &mut self.jobs {
            match job.waits {
                Some(since) if since.elapsed() > FED && !terms.never_ends => {
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
            .for_each(|id| self.notice("NEED", &id, b"q"));
        over.into_iter()
            .for_each(|(id, end, result)| self.over(&id, end, &result));
    }

    fn over(&mut self, id: &str, end: &str, result: &[u8]) {
        self.jobs.retain(|job| job.id != id);
        self.known.insert(id.to_owned(), ());
        self.ended.push_back(id.to_owned());
        if self.ended.len() > ENDED
            && let Some(oldest) = self.ended.pop_front()
        {
            self.known.remove(&oldest);
        }
        self.notice("DONE", &format!("{id} {end} 7"), result);
    }

    /// One link, until it ends.
    fn link(&mut self, mut stream: TcpStream, stop: &AtomicBool) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(STEP))?;
        let mut idle = false;
        stream.set_write_timeout(Some(Duration::from_secs(1)))?;
        let (mut bytes, mut sent, since) = (Vec::new(), None, Instant::now());
        let breaks = self.terms.breaks;
        while !stop.load(Ordering::SeqCst) && breaks.is_none_or(|breaks| since.elapsed() < breaks) {
            let mut more = [0; 4096];
            match stream.read(&mut more) {
                Ok(0) => return Ok(()),
                Ok(count) => bytes.extend_from_slice(&more[..count]),
                Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(why) => return Err(why),
            }
            while let Some((line, body, used)) = command(&bytes)? {
                bytes.drain(..used);
                let words: Vec<&str> = line.split(' ').collect();
                match words[..] {
                    ["ATTACH", number] => {
                        sent = number.parse::<usize>().ok();
                        let hello = match self.terms.cold {
                            Some(_) => {
                                format!("HELLO new {}\r\n", self.began.elapsed().as_millis())
                            }
                            None => "HELLO old 3600000\r\n".to_owned(),
                        };
                        stream.write_all(hello.as_bytes())?;
                    }
                    ["STAT", tag] => {
                        // All notices so far go before the answer.
                        self.send(&mut stream, &mut sent)?;
                        let running = self.jobs.iter().filter(|job| job.waits.is_none()).count();
                        let busy = (running as f64 / f64::from(self.terms.cores)).min(1.0);
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
                            self.over(id, "cut", b"");
                        }
                    }
                    _ => return Err(std::io::Error::other(format!("unknown command {line}"))),
                }
            }
            self.pass();
            self.send(&mut stream, &mut sent)?;
            // Guards against hundreds of engines that use the machine up by looking whether there is anything to do.
            if idle != self.jobs.is_empty() {
                idle = !idle;
                stream.set_read_timeout(Some(if idle { IDLE } else { STEP }))?;
            }
            let running = self.jobs.iter().filter(|job| job.waits.is_none()).count();
            self.work.crowd(running);
        }
        Ok(())
    }

    fn run(&mut self, id: &str, method: &str, body: Vec<u8>) {
        if self.jobs.iter().any(|job| job.id == id) {
            return;
        }
        if self.known.contains_key(id) {
            return self.notice("DONE", &format!("{id} gone 0"), b"");
        }
        let Some((left, behind)) = self.work.begins(id, method, &body) else {
            return self.notice("DONE", &format!("{id} bad 0"), b"");
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

    fn send(&self, stream: &mut TcpStream, sent: &mut Option<usize>) -> std::io::Result<()> {
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
