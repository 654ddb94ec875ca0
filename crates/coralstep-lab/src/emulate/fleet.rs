//! The servers of an emulation: `coralstep` processes, each with its engine or applications, and relays that inject network faults.
//! Each runs in its own process group, so that a Ctrl-C in the terminal reaches only the emulator, which then stops them.
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
use super::wire::{Faults, FaultyRelay};
use super::{EmulationOptions, RuleObserver, lock};
use crate::caller::{Connection, Protocol};
use crate::world::{Effect, Kind, Trouble, World};

/// Time within which a started server must log its listen address.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after its stop time at which a draining server is killed and reported as a breach.
const STOP_ALLOWANCE: Duration = Duration::from_secs(2);

/// Time within which the last answers of an exited server are read.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(500);

struct Server {
    child: Child,
    /// Index in the rule checker; a successor has another one.
    rules_index: usize,
    backend: Backend,
    /// Address for callers: that of the relay, if there is one.
    address: SocketAddr,
    _relays: Vec<FaultyRelay>,
    /// For a draining server, the time by which it must stop.
    stops: Option<Instant>,
    connections: Mutex<HashMap<usize, Connection>>,
}

enum Backend {
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
    options: EmulationOptions,
    control: SocketAddr,
    store: Option<Store>,
    observer: Arc<RuleObserver>,
    folder: TempFolder,
    speeds: Vec<f64>,
    servers: Vec<Option<Server>>,
    /// Draining servers whose successor is already running.
    leaving: Vec<Server>,
    /// Exited servers, with the time of the exit.
    left: Vec<(Instant, usize)>,
    names: Vec<String>,
    generation: Vec<u32>,
    /// Whether gateways can't reach the server.
    cut_off: Vec<bool>,
    /// Servers to restart, with the time.
    returns: Vec<(Instant, usize)>,
    /// Servers to drain, with the time.
    leaves: Vec<(Instant, usize)>,
    affected: HashMap<usize, Vec<usize>>,
    transitions: Arc<AtomicU64>,
    executor: Rc<LocalExecutor<'static>>,
    chance: SmallRng,
}

/// Temporary files of an emulation, deleted on drop.
struct TempFolder(PathBuf);

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the settings of a server for a world.
fn server_settings(world: &World) -> serde_json::Value {
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

/// Returns the operator's site file: the SCGI listener, and the applications that run the RPCs in place of an engine.
fn site_config(world: &World, scgi: bool, applications: &[SocketAddr]) -> serde_json::Value {
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

fn send_signal(child: &Child, name: &str) -> Result<(), String> {
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-s", name, &pid]).status();
    sent.map_err(|why| format!("kill: {why}")).map(|_| ())
}

impl Fleet {
    pub fn start(
        world: &World,
        options: &EmulationOptions,
        control: SocketAddr,
        observer: &Arc<RuleObserver>,
        chance: &mut SmallRng,
    ) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!(
            "coralstep-lab-{}-{:x}",
            std::process::id(),
            options.seed
        ));
        std::fs::create_dir_all(&folder).map_err(|why| format!("{}: {why}", folder.display()))?;
        let folder = TempFolder(folder);
        let store = world
            .dependency
            .as_ref()
            .map(|of| Store::start(of, options.seed))
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
            options: options.clone(),
            control,
            store: store.map_err(|why| format!("store: {why}"))?,
            observer: observer.clone(),
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
            affected: HashMap::new(),
            transitions: Arc::default(),
            executor: Rc::new(LocalExecutor::new()),
            chance: SmallRng::seed_from_u64(options.seed ^ 2),
        };
        for at in 0..count {
            fleet.start_server(at, false)?;
        }
        Ok(fleet)
    }

    /// Returns the executor for the callers and for the tasks of their connections.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    pub fn names(&self) -> Vec<String> {
        self.names.clone()
    }

    /// Returns the number of state changes logged by the servers' breakers.
    pub fn breaker_transitions(&self) -> u64 {
        self.transitions.load(Ordering::SeqCst)
    }

    /// Returns a gateway's connection to a server and the server's index in the rule checker, or `None` if it is unreachable.
    pub fn connection(&self, at: usize, gateway: usize) -> Option<(Connection, usize)> {
        let server = self.servers[at].as_ref().filter(|_| !self.cut_off[at])?;
        let mut connections = lock(&server.connections);
        let connection = connections.entry(gateway);
        let connection = connection.or_insert_with(|| {
            Connection::new(self.options.protocol, server.address, &self.executor)
        });
        Some((connection.clone(), server.rules_index))
    }

    fn relay(
        &self,
        to: SocketAddr,
        faults: Faults,
        relays: &mut Vec<FaultyRelay>,
    ) -> Result<SocketAddr, String> {
        if faults == Faults::default() {
            return Ok(to);
        }
        let relay = FaultyRelay::start(to, self.options.seed + relays.len() as u64)
            .map_err(|why| format!("relay: {why}"))?;
        *lock(&relay.faults) = faults;
        let address = relay.address;
        relays.push(relay);
        Ok(address)
    }

    fn start_server(&mut self, at: usize, cold: bool) -> Result<(), String> {
        self.generation[at] += 1;
        let generation = self.generation[at];
        let seed = self
            .options
            .seed
            .wrapping_mul(31)
            .wrapping_add((at as u64) << 16 | u64::from(generation));
        let name = format!("s{at}g{generation}");
        let faults = self.options.faults;
        let rules_index = lock(&self.observer.rules).add_server();
        let mut relays = Vec::new();
        let observer = self.observer.clone();
        let fault = |what: &str, why: std::io::Error| format!("{what}: {why}");
        let backend = if self.options.applications {
            let run_started =
                move |body: &[u8]| observer.record_run_start(&String::from_utf8_lossy(body));
            let run_started: Arc<super::application::RunStarted> = Arc::new(run_started);
            let count = self.world.applications.as_ref().map_or(2, |of| of.count);
            let applications = (0..count as u64)
                .map(|number| Application::start(&self.world, seed + number, run_started.clone()))
                .collect::<std::io::Result<Vec<_>>>();
            Backend::Applications(applications.map_err(|why| fault("application", why))?)
        } else {
            let engine = Engine::start(
                &self.world,
                rules_index,
                self.speeds[at],
                cold,
                seed,
                observer,
            );
            Backend::Engine(engine.map_err(|why| fault("engine", why))?)
        };
        let engine = match &backend {
            Backend::Engine(engine) => {
                Some(self.relay(engine.address, faults.without_corruption(), &mut relays)?)
            }
            Backend::Applications(_) => None,
        };
        // Faults that change bytes are injected only between server and store, where the checker can't blame the server for them.
        let store = self.store.as_ref().map(|store| store.address);
        let store = store
            .map(|store| self.relay(store, faults, &mut relays))
            .transpose()?;
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "engine": engine, "control": self.control, "store": store,
            "seed": format!("{seed:016x}"), "stop_ms": self.world.servers.stop_ms as u64,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": server_settings(&self.world)
        });
        let applications: Vec<SocketAddr> = match &backend {
            Backend::Applications(all) => {
                all.iter().map(|application| application.address).collect()
            }
            Backend::Engine(_) => Vec::new(),
        };
        let scgi = self.options.protocol == Protocol::Scgi;
        let (config_file, site_file) = (
            self.folder.0.join(format!("{name}.json")),
            self.folder.0.join(format!("{name}.site.json")),
        );
        write_json(&config_file, &config)?;
        write_json(&site_file, &site_config(&self.world, scgi, &applications))?;
        let mut child = Command::new(&self.options.program)
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
            .map_err(|why| format!("{}: {why}", self.options.program.display()))?;
        let stderr = child.stderr.take().ok_or("the program has no stderr")?;
        let (sender, listens) = channel();
        let (transitions, log) = (
            self.transitions.clone(),
            self.folder.0.join(format!("{name}.log")),
        );
        std::thread::spawn(move || follow_log(BufReader::new(stderr), &sender, &transitions, &log));
        let ended = |mut child: Child, what: &str| {
            let _ = (child.kill(), child.wait());
            format!("{name}: {what}")
        };
        let address = match wait_for_listener(&listens, scgi) {
            Ok(address) => address,
            Err(why) => return Err(ended(child, &why)),
        };
        let address = self.relay(address, faults.without_corruption(), &mut relays)?;
        self.names[at] = name;
        self.servers[at] = Some(Server {
            child,
            rules_index,
            backend,
            address,
            _relays: relays,
            stops: None,
            connections: Mutex::default(),
        });
        Ok(())
    }

    /// Returns the servers that a trouble affects: drawn at its start, the same at its end.
    pub fn affected_servers(&mut self, trouble: usize, part: f64, begins: bool) -> Vec<usize> {
        let count = self.servers.len();
        if begins {
            let mut all: Vec<usize> = (0..count).collect();
            let affected =
                ((count as f64 * part).round() as usize).clamp(usize::from(part > 0.0), count);
            for place in 0..affected {
                let other = self.chance.random_range(place..count);
                all.swap(place, other);
            }
            all.truncate(affected);
            self.affected.insert(trouble, all);
        }
        self.affected.get(&trouble).cloned().unwrap_or_default()
    }

    /// Starts or ends a trouble of servers or of the store. Returns the servers that it pauses, as indices in the rule checker.
    pub fn apply_trouble(
        &mut self,
        number: usize,
        trouble: &Trouble,
        begins: bool,
        observer: &RuleObserver,
    ) -> Result<Vec<usize>, String> {
        let affected = self.affected_servers(number, trouble.part, begins);
        let (size, part) = (trouble.size, trouble.part);
        let span = Duration::from_secs_f64(trouble.for_s);
        if let Some(store) = &self.store {
            store.change_faults(|faults| match trouble.kind {
                Kind::DependencySlow => faults.slow = if begins { size } else { 1.0 },
                Kind::DependencyHangs => faults.hangs = begins,
                Kind::DependencyDead => faults.dead = begins,
                _ => {}
            });
        }
        if trouble.kind == Kind::ApplicationsHang {
            for server in self.servers.iter().flatten() {
                if let Backend::Applications(all) = &server.backend {
                    let most = (all.len() as f64 * part).round() as usize;
                    all.iter()
                        .take(most)
                        .for_each(|one| one.hangs.store(begins, Ordering::SeqCst));
                }
            }
        }
        if trouble.kind == Kind::HeavyTail {
            // Its fraction applies to the runs of every server.
            let tail = begins.then_some((part, size));
            (0..self.servers.len())
                .for_each(|at| self.change_engine_faults(at, |faults| faults.tail = tail));
        }
        let mut paused = Vec::new();
        for (place, at) in affected.iter().copied().enumerate() {
            match trouble.kind {
                Kind::Slow => self.change_engine_faults(at, |faults| {
                    faults.slow = if begins { size } else { 1.0 }
                }),
                Kind::Pause => {
                    self.change_engine_faults(at, |faults| faults.paused = begins);
                    if let Some(server) = &self.servers[at] {
                        send_signal(&server.child, if begins { "STOP" } else { "CONT" })?;
                        paused.extend(begins.then_some(server.rules_index));
                    }
                }
                Kind::Partition => self.cut_off[at] = begins,
                Kind::Crash if begins => {
                    // Dropping the server kills its process, engine and relays.
                    if let Some(server) = self.servers[at].take() {
                        lock(&observer.rules).record_stop(observer.now(), server.rules_index, true);
                    }
                    self.returns.push((Instant::now() + span, at));
                }
                Kind::Deploy if begins => {
                    let after = span.mul_f64(place as f64 / affected.len().max(1) as f64);
                    self.leaves.push((Instant::now() + after, at));
                }
                _ => {}
            }
        }
        Ok(paused)
    }

    fn change_engine_faults(
        &self,
        at: usize,
        change: impl FnOnce(&mut super::engine::EngineFaults),
    ) {
        if let Some(Backend::Engine(engine)) =
            self.servers[at].as_ref().map(|server| &server.backend)
        {
            change(&mut lock(&engine.faults));
        }
    }

    /// Handles what is due: drains, restarts, and servers that exited unexpectedly.
    pub fn handle_due_events(&mut self, observer: &RuleObserver) -> Result<(), String> {
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
            send_signal(&server.child, "TERM")?;
            let grace = (self.world.servers.grace_ms * 10.0) as u64;
            lock(&observer.rules).record_drain_notice(server.rules_index, observer.now() + grace);
            server.stops = Some(now + Duration::from_secs_f64(self.world.servers.stop_ms / 1000.0));
            self.leaving.push(server);
            self.start_server(at, true)?;
        }
        for at in due(&mut self.returns) {
            self.start_server(at, true)?;
        }
        for at in 0..self.servers.len() {
            let Some(server) = self.servers[at].as_mut() else {
                continue;
            };
            if matches!(server.child.try_wait(), Ok(Some(_))) {
                // Guards against a server that crashes by itself: the run goes on as after an injected crash, and reports a breach.
                let rules_index = server.rules_index;
                self.servers[at] = None;
                lock(&observer.rules).record_self_inflicted_crash(observer.now(), rules_index);
                self.returns.push((now + Duration::from_secs(1), at));
            }
        }
        for server in &mut self.leaving {
            let over = matches!(server.child.try_wait(), Ok(Some(_)));
            if !over
                && server
                    .stops
                    .is_some_and(|stops| now > stops + STOP_ALLOWANCE)
            {
                lock(&observer.rules).record_overdue_stop(observer.now());
                let _ = server.child.kill();
            }
        }
        self.leaving.retain_mut(|server| {
            let left = matches!(server.child.try_wait(), Ok(Some(_)));
            if left {
                self.left.push((now, server.rules_index));
            }
            !left
        });
        // Waits a moment for the last answers in transit.
        while let Some((_, rules_index)) = self
            .left
            .pop_if(|(at, _)| at.elapsed() > LAST_ANSWERS_TIMEOUT)
        {
            lock(&observer.rules).record_stop(observer.now(), rules_index, false);
        }
        Ok(())
    }

    /// Stops everything at once.
    pub fn stop_all(&mut self) {
        self.servers.iter_mut().for_each(|server| *server = None);
        self.leaving.clear();
        // The callers' tasks own the fleet, which owns their executor; replacing it breaks the reference cycle.
        self.executor = Rc::new(LocalExecutor::new());
        self.store = None;
    }
}

fn write_json(path: &Path, what: &serde_json::Value) -> Result<(), String> {
    std::fs::write(path, what.to_string()).map_err(|why| format!("{}: {why}", path.display()))
}

/// Reads a server's log to its end: passes on the lines, counts breaker transitions, and copies the log to a file of bounded length.
fn follow_log(
    log: impl BufRead,
    listens: &std::sync::mpsc::Sender<String>,
    transitions: &AtomicU64,
    file: &Path,
) {
    use std::io::Write;
    const MAX_LOG_BYTES: usize = 4 << 20;
    let (mut file, mut kept) = (std::fs::File::create(file).ok(), 0);
    for line in log.lines().map_while(Result::ok) {
        // Lines before the listen address tell why a server doesn't start.
        let _ = listens.send(line.clone());
        if line.contains("circuit breaker changed state") {
            transitions.fetch_add(1, Ordering::SeqCst);
        }
        kept += line.len();
        if let Some(file) = file.as_mut().filter(|_| kept < MAX_LOG_BYTES) {
            let _ = writeln!(file, "{line}");
        }
    }
}

fn wait_for_listener(lines: &Receiver<String>, scgi: bool) -> Result<SocketAddr, String> {
    let mut last = "nothing".to_owned();
    loop {
        let line = lines.recv_timeout(STARTUP_TIMEOUT);
        let line = line.map_err(|_| format!("no listen address logged; last line: {last}"))?;
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
                .map_err(|_| format!("invalid listen address: {line}"));
        }
    }
}
