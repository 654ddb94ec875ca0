//! The servers of an emulation: processes of the program `coralstep`, each with its engine or applications, and relays for what goes
//! wrong on the wire. They are in groups of their own, so that an interrupt of the terminal reaches the emulator alone, which then
//! ends them.
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::application::Application;
use super::engine::Engine;
use super::store::Store;
use super::wire::{Faults, Wire};
use super::{Terms, Witness, lock};
use crate::caller::{Protocol, Way};
use crate::world::{Effect, Kind, Trouble, World};

/// A server says where it listens within so long.
const LISTENS: Duration = Duration::from_secs(10);
/// What is past its stop by so much is killed, and said to be so.
const OVERDUE: Duration = Duration::from_secs(2);

/// What a server wrote before its end is read within so long.
const LAST_ANSWERS: Duration = Duration::from_millis(500);

struct Server {
    child: Child,
    /// In the checker's books; a successor has its own.
    place: usize,
    runs: Runs,
    /// Where callers go, the relay before it where there is one.
    address: SocketAddr,
    _wires: Vec<Wire>,
    /// Told to leave: when it must have stopped.
    stops: Option<Instant>,
    ways: Mutex<HashMap<usize, Way>>,
}

enum Runs {
    Engine(Engine),
    Applications(Vec<Application>),
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Fleet {
    world: World,
    terms: Terms,
    control: SocketAddr,
    store: Option<Store>,
    witness: Arc<Witness>,
    folder: Folder,
    speeds: Vec<f64>,
    servers: Vec<Option<Server>>,
    /// Those that leave while their successor is up already.
    leaving: Vec<Server>,
    /// Those that left, and when.
    left: Vec<(Instant, usize)>,
    names: Vec<String>,
    generation: Vec<u32>,
    /// Gateways don't reach it.
    cut_off: Vec<bool>,
    /// Servers that come back at a time.
    returns: Vec<(Instant, usize)>,
    /// Servers that are told to leave at a time.
    leaves: Vec<(Instant, usize)>,
    struck: HashMap<usize, Vec<usize>>,
    turns: Arc<AtomicU64>,
    executor: Rc<LocalExecutor<'static>>,
    chance: SmallRng,
}

/// Files of an emulation, gone with it.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings(world: &World) -> serde_json::Value {
    let ns = |ms: f64| (ms * 1e6) as u64;
    let classes: Vec<_> = world
        .methods
        .iter()
        .map(|method| {
            let effect = match method.effect {
                Effect::Idempotent => "repeatable",
                Effect::Tokened => "by_key",
                Effect::NonIdempotent => "once",
            };
            json!({"name": method.name, "idempotency": effect, "promise": ns(method.target_ms),
                "deadline": ns(method.deadline_ms), "worth": method.criticality, "late_worth": method.late,
                "window": ns(method.window_ms)})
        })
        .collect();
    let servers = &world.servers;
    let share = world
        .dependency
        .as_ref()
        .map(|of| of.capacity / servers.count as f64);
    json!({
        "classes": classes,
        "domain": {"cores": servers.cores, "depends_on": if share.is_some() { "shared" } else { "off" },
            "call_share": share.unwrap_or(0.0),
            "calls_by_class": world.methods.iter().map(|method| method.calls).collect::<Vec<_>>(),
            "class_skip_worth": world.methods.iter().map(|method| method.skip).collect::<Vec<_>>(),
            "memory_kb": servers.memory_kb, "run_factor": servers.run_factor, "key_kb": servers.key_kb,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "callers": world.gateways.count},
        "safety": {"drain_grace": ns(servers.grace_ms), "fall_multiple": servers.crowd,
            "cold_from": servers.cold_speed, "warm_after": ns(servers.warm_ms)},
        "group_size": servers.count, "goal": {"whole": 1}, "worth_by": "request"
    })
}

/// The operator's own file: callers by SCGI, and where RPCs run where not on an engine.
fn site(world: &World, scgi: bool, applications: &[SocketAddr]) -> serde_json::Value {
    let mut site = json!({});
    if scgi {
        let routes: Vec<_> = world
            .methods
            .iter()
            .map(|method| json!({"verb": "POST", "path": format!("/{}", method.name), "method": method.name}))
            .collect();
        site["scgi"] =
            json!({"listen": ["127.0.0.1:0"], "trusted": ["127.0.0.0/8"], "routes": routes});
    }
    if !applications.is_empty() {
        site["applications"] = json!({"addresses": applications, "each_most": 64});
    }
    site
}

fn signal(child: &Child, name: &str) -> Result<(), String> {
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-s", name, &pid]).status();
    sent.map_err(|why| format!("kill: {why}")).map(|_| ())
}

impl Fleet {
    pub fn start(
        world: &World,
        terms: &Terms,
        control: SocketAddr,
        witness: &Arc<Witness>,
        chance: &mut SmallRng,
    ) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!(
            "coralstep-lab-{}-{:x}",
            std::process::id(),
            terms.seed
        ));
        std::fs::create_dir_all(&folder).map_err(|why| format!("{}: {why}", folder.display()))?;
        let folder = Folder(folder);
        let store = world
            .dependency
            .as_ref()
            .map(|of| Store::start(of, terms.seed))
            .transpose();
        let count = world.servers.count;
        let [least, most] = world.servers.speed;
        let speeds = (0..count)
            .map(|_| {
                if least < most {
                    chance.random_range(least..most)
                } else {
                    least
                }
            })
            .collect();
        let mut fleet = Fleet {
            world: world.clone(),
            terms: terms.clone(),
            control,
            store: store.map_err(|why| format!("store: {why}"))?,
            witness: witness.clone(),
            folder,
            speeds,
            servers: (0..count).map(|_| None).collect(),
            leaving: Vec::new(),
            left: Vec::new(),
            names: (0..count).map(|at| format!("s{at}")).collect(),
            generation: vec![0; count],
            cut_off: vec![false; count],
            returns: Vec::new(),
            leaves: Vec::new(),
            struck: HashMap::new(),
            turns: Arc::default(),
            executor: Rc::new(LocalExecutor::new()),
            chance: SmallRng::seed_from_u64(terms.seed ^ 2),
        };
        for at in 0..count {
            fleet.boot(at, false)?;
        }
        Ok(fleet)
    }

    /// Runs the tasks of the ways to the servers; awaited beside the callers.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    pub fn names(&self) -> Vec<String> {
        self.names.clone()
    }

    /// Changes of state that the servers' breakers logged.
    pub fn turns(&self) -> u64 {
        self.turns.load(Ordering::SeqCst)
    }

    /// A gateway's way to a server, where there is one, and its place in the checker's books.
    pub fn way(&self, at: usize, gateway: usize) -> Option<(Way, usize)> {
        let server = self.servers[at].as_ref().filter(|_| !self.cut_off[at])?;
        let mut ways = lock(&server.ways);
        let way = ways.entry(gateway);
        let way =
            way.or_insert_with(|| Way::new(self.terms.protocol, server.address, &self.executor));
        Some((way.clone(), server.place))
    }

    fn relay(
        &self,
        to: SocketAddr,
        faults: Faults,
        wires: &mut Vec<Wire>,
    ) -> Result<SocketAddr, String> {
        if faults == Faults::default() {
            return Ok(to);
        }
        let wire = Wire::to(to, self.terms.seed + wires.len() as u64)
            .map_err(|why| format!("relay: {why}"))?;
        *lock(&wire.faults) = faults;
        let address = wire.address;
        wires.push(wire);
        Ok(address)
    }

    fn boot(&mut self, at: usize, cold: bool) -> Result<(), String> {
        self.generation[at] += 1;
        let generation = self.generation[at];
        let seed = self
            .terms
            .seed
            .wrapping_mul(31)
            .wrapping_add((at as u64) << 16 | u64::from(generation));
        let name = format!("s{at}g{generation}");
        let faults = self.terms.faults;
        let place = lock(&self.witness.rules).add_server();
        let mut wires = Vec::new();
        let witness = self.witness.clone();
        let fault = |what: &str, why: std::io::Error| format!("{what}: {why}");
        let runs = if self.terms.applications {
            let began = move |body: &[u8]| witness.began(&String::from_utf8_lossy(body));
            let began: Arc<super::application::Began> = Arc::new(began);
            let count = self.world.applications.as_ref().map_or(2, |of| of.count);
            let applications = (0..count as u64)
                .map(|number| Application::start(&self.world, seed + number, began.clone()))
                .collect::<std::io::Result<Vec<_>>>();
            Runs::Applications(applications.map_err(|why| fault("application", why))?)
        } else {
            let engine = Engine::start(&self.world, place, self.speeds[at], cold, seed, witness);
            Runs::Engine(engine.map_err(|why| fault("engine", why))?)
        };
        let engine = match &runs {
            Runs::Engine(engine) => {
                Some(self.relay(engine.address, faults.honest(), &mut wires)?)
            }
            Runs::Applications(_) => None,
        };
        // What changes bytes is played where no checker could blame the server for it: between server and store.
        let store = self.store.as_ref().map(|store| store.address);
        let store = store
            .map(|store| self.relay(store, faults, &mut wires))
            .transpose()?;
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "engine": engine, "control": self.control, "store": store,
            "seed": format!("{seed:016x}"), "stop_ms": self.world.servers.stop_ms as u64,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings(&self.world)
        });
        let applications: Vec<SocketAddr> = match &runs {
            Runs::Applications(all) => all.iter().map(|application| application.address).collect(),
            Runs::Engine(_) => Vec::new(),
        };
        let scgi = self.terms.protocol == Protocol::Scgi;
        let (config_file, site_file) = (
            self.folder.0.join(format!("{name}.json")),
            self.folder.0.join(format!("{name}.site.json")),
        );
        write(&config_file, &config)?;
        write(&site_file, &site(&self.world, scgi, &applications))?;
        let mut child = Command::new(&self.terms.program)
            .arg("serve")
            .arg("--config")
            .arg(&config_file)
            .arg("--site")
            .arg(&site_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .process_group(0)
            .spawn()
            .map_err(|why| format!("{}: {why}", self.terms.program.display()))?;
        let stderr = child.stderr.take().ok_or("no log of the program")?;
        let (sender, listens) = channel();
        let (turns, log) = (
            self.turns.clone(),
            self.folder.0.join(format!("{name}.log")),
        );
        std::thread::spawn(move || follow(BufReader::new(stderr), &sender, &turns, &log));
        let ended = |mut child: Child, what: &str| {
            let _ = (child.kill(), child.wait());
            format!("{name}: {what}")
        };
        let address = match where_to(&listens, scgi) {
            Ok(address) => address,
            Err(why) => return Err(ended(child, &why)),
        };
        let address = self.relay(address, faults.honest(), &mut wires)?;
        self.names[at] = name;
        self.servers[at] = Some(Server {
            child,
            place,
            runs,
            address,
            _wires: wires,
            stops: None,
            ways: Mutex::default(),
        });
        Ok(())
    }

    /// The servers that a trouble strikes: chosen by chance as it begins, the same when it ends.
    pub fn struck(&mut self, trouble: usize, part: f64, begins: bool) -> Vec<usize> {
        let count = self.servers.len();
        if begins {
            let mut all: Vec<usize> = (0..count).collect();
            let struck =
                ((count as f64 * part).round() as usize).clamp(usize::from(part > 0.0), count);
            for place in 0..struck {
                let other = self.chance.random_range(place..count);
                all.swap(place, other);
            }
            all.truncate(struck);
            self.struck.insert(trouble, all);
        }
        self.struck.get(&trouble).cloned().unwrap_or_default()
    }

    /// Begins or ends a trouble of servers or of the store. Gives back those that are paused by it.
    pub fn trouble(
        &mut self,
        number: usize,
        trouble: &Trouble,
        begins: bool,
        witness: &Witness,
    ) -> Result<Vec<usize>, String> {
        let struck = self.struck(number, trouble.part, begins);
        let (size, part) = (trouble.size, trouble.part);
        let span = Duration::from_secs_f64(trouble.for_s);
        if let Some(store) = &self.store {
            store.now(|plight| match trouble.kind {
                Kind::DependencySlow => plight.slow = if begins { size } else { 1.0 },
                Kind::DependencyHangs => plight.hangs = begins,
                Kind::DependencyDead => plight.dead = begins,
                _ => {}
            });
        }
        if trouble.kind == Kind::ApplicationsHang {
            for server in self.servers.iter().flatten() {
                if let Runs::Applications(all) = &server.runs {
                    let most = (all.len() as f64 * part).round() as usize;
                    all.iter()
                        .take(most)
                        .for_each(|one| one.hangs.store(begins, Ordering::SeqCst));
                }
            }
        }
        if trouble.kind == Kind::HeavyTail {
            // Its part is one of the runs, on every server.
            let tail = begins.then_some((part, size));
            (0..self.servers.len()).for_each(|at| self.plight(at, |plight| plight.tail = tail));
        }
        let mut paused = Vec::new();
        for (place, at) in struck.iter().copied().enumerate() {
            match trouble.kind {
                Kind::Slow => {
                    self.plight(at, |plight| plight.slow = if begins { size } else { 1.0 })
                }
                Kind::Pause => {
                    self.plight(at, |plight| plight.paused = begins);
                    if let Some(server) = &self.servers[at] {
                        signal(&server.child, if begins { "STOP" } else { "CONT" })?;
                        paused.extend(begins.then_some(server.place));
                    }
                }
                Kind::Partition => self.cut_off[at] = begins,
                Kind::Crash if begins => {
                    // Dropping it kills it and all that it spoke with.
                    if let Some(server) = self.servers[at].take() {
                        lock(&witness.rules).record_stop(witness.now(), server.place, true);
                    }
                    self.returns.push((Instant::now() + span, at));
                }
                Kind::Deploy if begins => {
                    let after = span.mul_f64(place as f64 / struck.len().max(1) as f64);
                    self.leaves.push((Instant::now() + after, at));
                }
                _ => {}
            }
        }
        Ok(paused)
    }

    fn plight(&self, at: usize, change: impl FnOnce(&mut super::engine::Plight)) {
        if let Some(Runs::Engine(engine)) = self.servers[at].as_ref().map(|server| &server.runs) {
            change(&mut lock(&engine.plight));
        }
    }

    /// Sees to what is due: servers that leave, that come back, and those that died by themselves.
    pub fn tend(&mut self, witness: &Witness) -> Result<(), String> {
        let now = Instant::now();
        let due = |list: &mut Vec<(Instant, usize)>| {
            let (due, rest) = list.drain(..).partition(|(at, _)| *at <= now);
            *list = rest;
            let due: Vec<(Instant, usize)> = due;
            due.into_iter().map(|(_, at)| at).collect::<Vec<_>>()
        };
        for at in due(&mut self.leaves) {
            let Some(mut server) = self.servers[at].take() else {
                continue;
            };
            signal(&server.child, "TERM")?;
            let grace = (self.world.servers.grace_ms * 10.0) as u64;
            lock(&witness.rules).record_drain_notice(server.place, witness.now() + grace);
            server.stops = Some(now + Duration::from_secs_f64(self.world.servers.stop_ms / 1000.0));
            self.leaving.push(server);
            self.boot(at, true)?;
        }
        for at in due(&mut self.returns) {
            self.boot(at, true)?;
        }
        for at in 0..self.servers.len() {
            let Some(server) = self.servers[at].as_mut() else {
                continue;
            };
            if matches!(server.child.try_wait(), Ok(Some(_))) {
                // Guards against a server that dies under the emulator: the day goes on without it, as with a crash, and says so.
                let place = server.place;
                self.servers[at] = None;
                lock(&witness.rules).record_self_inflicted_crash(witness.now(), place);
                self.returns.push((now + Duration::from_secs(1), at));
            }
        }
        for server in &mut self.leaving {
            let over = matches!(server.child.try_wait(), Ok(Some(_)));
            if !over && server.stops.is_some_and(|stops| now > stops + OVERDUE) {
                lock(&witness.rules).record_overdue_stop(witness.now());
                let _ = server.child.kill();
            }
        }
        self.leaving.retain_mut(|server| {
            let left = matches!(server.child.try_wait(), Ok(Some(_)));
            if left {
                self.left.push((now, server.place));
            }
            !left
        });
        // The last answers are on their way for a moment.
        while let Some((_, place)) = self.left.pop_if(|(at, _)| at.elapsed() > LAST_ANSWERS) {
            lock(&witness.rules).record_stop(witness.now(), place, false);
        }
        Ok(())
    }

    /// Ends all, at once.
    pub fn end(&mut self) {
        self.servers.iter_mut().for_each(|server| *server = None);
        self.leaving.clear();
        // The tasks of callers hold the fleet, which held their executor: neither would ever go.
        self.executor = Rc::new(LocalExecutor::new());
        self.store = None;
    }
}

fn write(path: &Path, what: &serde_json::Value) -> Result<(), String> {
    std::fs::write(path, what.to_string()).map_err(|why| format!("{}: {why}", path.display()))
}

/// Reads a server's log to its end: where it listens, turns of its breaker. Kept in a file of a bounded length.
fn follow(
    log: impl BufRead,
    listens: &std::sync::mpsc::Sender<String>,
    turns: &AtomicU64,
    file: &Path,
) {
    use std::io::Write;
    const KEPT: usize = 4 << 20;
    let (mut file, mut kept) = (std::fs::File::create(file).ok(), 0);
    for line in log.lines().map_while(Result::ok) {
        // What it says before it listens tells why it doesn't.
        let _ = listens.send(line.clone());
        if line.contains("circuit breaker changed state") {
            turns.fetch_add(1, Ordering::SeqCst);
        }
        kept += line.len();
        if let Some(file) = file.as_mut().filter(|_| kept < KEPT) {
            let _ = writeln!(file, "{line}");
        }
    }
}

fn where_to(lines: &Receiver<String>, scgi: bool) -> Result<SocketAddr, String> {
    let mut last = "nothing".to_owned();
    loop {
        let line = lines.recv_timeout(LISTENS);
        let line =
            line.map_err(|_| format!("never said where it listens; its last word: {last}"))?;
        last.clone_from(&line);
        if !line.contains(" listens on ") {
            continue;
        }
        let rest = line.split(" listens on ").nth(1).unwrap_or_default();
        let (address, of_scgi) = match rest.strip_suffix(" for SCGI") {
            Some(address) => (address, true),
            None => (rest, false),
        };
        if of_scgi == scgi {
            return address
                .trim()
                .parse()
                .map_err(|_| format!("listens nowhere: {line}"));
        }
    }
}
