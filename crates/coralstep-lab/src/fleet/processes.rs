//! Starts, pauses, resumes, kills and queries the processes of a play. Their state is read from the operator listener and the log, the
//! outcomes of RPCs from the play's own callers.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Links, Programs};
use crate::emulate::engine::{Engine, EngineConfig, EngineFaults, Workload};
use crate::emulate::lock;
use crate::emulate::wire::{Faults, FaultyRelay};

/// Maximum time until a process has started or answers.
const LIMIT: Duration = Duration::from_secs(15);
/// Snapshot interval of a process that keeps its state from its first start on, in seconds: the minimum in a site file.
const SNAPSHOT_INTERVAL_S: u32 = 1;
/// Methods of every process: one with idempotency keys and no call, and an idempotent one that calls the store if there is one.
pub const METHODS: [&str; 2] = ["save", "read"];
/// Tenants, identified by the header in the site file.
pub const TENANTS: [&str; 2] = ["north", "south"];
/// The fleet's name.
pub const NAME: &str = "alps";
/// Maximum number of peers in the configuration of each process.
const MAX_PEERS: usize = 12;

/// The outcome of an RPC for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RpcOutcome {
    Ok,
    /// Rejected, with the Retry-After time in milliseconds.
    Rejected(u64),
    Failed,
    NoAnswer,
}

/// Configuration of the processes of a play.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Further keys of the site file's `fleet`; null for processes that have none.
    pub fleet: Value,
    /// Work of each run, in milliseconds of CPU time; each engine has two cores.
    pub work_ms: f64,
    /// The store that `read` calls; each process connects to it through a relay of its own.
    pub store: Option<SocketAddr>,
    /// This server's share of the calls that the store survives.
    pub call_share: f64,
    /// The site file's `limits`.
    pub limits: Value,
    /// Whether the built-in degradation levels are enabled. They also reject calls when a store hangs.
    pub levels: bool,
    /// Whether each process has a state directory from its first start on, with a snapshot every second.
    pub keeps_state: bool,
}

impl Setup {
    pub fn new(fleet: Value) -> Setup {
        Setup {
            fleet,
            work_ms: 2.0,
            store: None,
            call_share: 20.0,
            limits: Value::Null,
            levels: true,
            keeps_state: false,
        }
    }
}

/// Number of runs on each engine, and the maximum of their sum so far.
#[derive(Debug, Default)]
pub struct RunCounts {
    running: Vec<usize>,
    pub max_total: usize,
}

struct FixedWork {
    ms: f64,
    calls: bool,
    at: usize,
    concurrency: Arc<Mutex<RunCounts>>,
}

impl Workload for FixedWork {
    fn start_run(&mut self, _id: &str, method: &str, _body: &[u8]) -> Option<(f64, Option<f64>)> {
        let calls = self.calls && method == METHODS[1];
        Some(if calls {
            (self.ms / 2.0, Some(self.ms / 2.0))
        } else {
            (self.ms, None)
        })
    }

    fn report_running(&mut self, running: usize) {
        let mut counts = lock(&self.concurrency);
        counts.running[self.at] = running;
        counts.max_total = counts.max_total.max(counts.running.iter().sum());
    }
}

struct Process {
    child: Child,
    scgi: SocketAddr,
    operator: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    _engine: Engine,
    stopped: bool,
    /// Shell that kills the process if the laboratory itself is killed: it waits for the end of a pipe.
    watch: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killed first, so that it never kills another process with a reused PID.
        let _ = self.watch.kill();
        let _ = self.watch.wait();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Fleet {
    /// The program of each process.
    programs: Vec<PathBuf>,
    folder: PathBuf,
    pub links: Links,
    processes: Vec<Option<Process>>,
    setup: Setup,
    /// Relay of each process to the store.
    store_relays: Vec<FaultyRelay>,
    /// Counted by the engines, not reported by the processes.
    pub concurrency: Arc<Mutex<RunCounts>>,
    control: UdpSocket,
    sent: AtomicU64,
    /// Whether processes started from now on keep their state directory over restarts.
    pub keeps_state: bool,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn signal(child: &Child, name: &str) -> std::io::Result<()> {
    let status = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {}", child.id())])
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err(std::io::Error::other(format!("kill -{name}: {status}")))
    }
}

impl Fleet {
    /// Starts `count` processes. `more` has further keys of the site file's `fleet`, or is null for processes without a fleet.
    pub fn start(
        programs: impl Into<Programs>,
        count: usize,
        seed: u64,
        more: Value,
    ) -> std::io::Result<Fleet> {
        Fleet::start_with_setup(programs, count, seed, Setup::new(more))
    }

    /// Starts `count` processes with a setup.
    pub fn start_with_setup(
        programs: impl Into<Programs>,
        count: usize,
        seed: u64,
        setup: Setup,
    ) -> std::io::Result<Fleet> {
        let programs = programs.into();
        let store_relays = setup.store.iter().flat_map(|store| {
            (0..count).map(move |at| FaultyRelay::start(*store, seed ^ at as u64))
        });
        let store_relays = store_relays.collect::<std::io::Result<Vec<FaultyRelay>>>()?;
        let links = Links::start(count, seed)?;
        let place = links.addresses.first().map_or(0, SocketAddr::port);
        let folder =
            std::env::temp_dir().join(format!("coralstep-fleet-{}-{place}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let control = UdpSocket::bind("127.0.0.1:0")?;
        let processes = (0..count).map(|_| None).collect();
        let mut fleet = Fleet {
            programs: (0..count).map(|at| programs.of(at).to_owned()).collect(),
            folder,
            links,
            processes,
            keeps_state: setup.keeps_state,
            setup,
            store_relays,
            concurrency: Arc::new(Mutex::new(RunCounts {
                running: vec![0; count],
                max_total: 0,
            })),
            control,
            sent: AtomicU64::new(0),
        };
        (0..count).try_for_each(|at| fleet.start_process(at))?;
        Ok(fleet)
    }

    /// Kills and restarts all processes, which keep their state directories from now on.
    pub fn restart_all(&mut self) -> std::io::Result<()> {
        self.keeps_state = true;
        self.processes
            .iter_mut()
            .for_each(|process| *process = None);
        (0..self.count()).try_for_each(|at| self.start_process(at))
    }

    /// Starts process `at`; kills its predecessor, if any.
    pub fn start_process(&mut self, at: usize) -> std::io::Result<()> {
        self.processes[at] = None;
        let terms = EngineConfig {
            cores: 2,
            crowd: 8.0,
            speed: 1.0,
            cold: None,
            breaks: None,
            never_ends: false,
        };
        let faults: Arc<Mutex<EngineFaults>> = Arc::default();
        let store = self.store_relays.get(at).map(|relay| relay.address);
        lock(&self.concurrency).running[at] = 0;
        let work = FixedWork {
            ms: self.setup.work_ms,
            calls: store.is_some(),
            at,
            concurrency: self.concurrency.clone(),
        };
        let engine = Engine::serve(
            std::net::TcpListener::bind("127.0.0.1:0")?,
            terms,
            work,
            faults,
        )?;
        let settings = json!({
            "classes": [
                {"name": METHODS[0], "idempotency": "by_key", "promise": 2_000_000_000u64, "deadline": 4_000_000_000u64,
                    "worth": 1, "window": 20_000_000_000u64},
                {"name": METHODS[1], "idempotency": "repeatable", "promise": 2_000_000_000u64, "deadline": 4_000_000_000u64,
                    "worth": 1}],
            "domain": {"cores": 2, "depends_on": "shared", "call_share": self.setup.call_share,
                "calls_by_class": [false, store.is_some()], "class_skip_worth": [0.0, 0.0], "linger": 100_000_000u64,
                "memory_kb": 20_000, "run_factor": 8, "key_kb": 5,
                "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "callers": 3, "caller_idle": 1_000_000_000u64},
            "safety": {"drain_grace": 200_000_000, "fall_multiple": 8}, "realms": TENANTS.map(|name| json!({"name": name, "quota_rps": 1_000.0})), "group_size": 4,
            "goal": {"whole": 1}, "worth_by": "request",
        });
        let mut config = json!({
            "name": format!("n{at}"), "engine": engine.address.to_string(),
            "control": self.control.local_addr()?.to_string(), "seed": format!("{:x}", at + 1), "stop_ms": 1500,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": settings,
        });
        if let Some(store) = store {
            config["store"] = json!(store.to_string());
        }
        // The next processes in ring order, up to the limit of peers.
        let addresses = &self.links.addresses;
        let peers: Vec<String> = (1..addresses.len().min(MAX_PEERS + 1))
            .map(|next| addresses[(at + next) % addresses.len()].to_string())
            .collect();
        let mut section = json!({
            "name": NAME, "listen": "127.0.0.1:0", "advertise": self.links.addresses[at].to_string(), "peers": peers,
        });
        if let (Some(section), Some(more)) = (section.as_object_mut(), self.setup.fleet.as_object())
        {
            section.extend(more.clone());
        }
        let mut site = json!({
            "fleet": section, "operator": {"listen": "127.0.0.1:0"}, "levels": {},
            "scgi": {"listen": ["127.0.0.1:0"], "trusted": ["127.0.0.0/8"],
                "routes": METHODS.map(|method| json!({"verb": "POST", "path": format!("/{method}"), "method": method})),
                "headers": {"token": "HTTP_IDEMPOTENCY_KEY"}},
        });
        if self.setup.fleet.is_null()
            && let Some(site) = site.as_object_mut()
        {
            site.remove("fleet");
        }
        if !self.setup.levels
            && let Some(site) = site.as_object_mut()
        {
            site.remove("levels");
        }
        if !self.setup.limits.is_null() {
            site["limits"] = self.setup.limits.clone();
        }
        if self.keeps_state {
            site["state"] = json!({"folder": self.state_directory(at)});
            if self.setup.keeps_state {
                site["state"]["every_s"] = json!(SNAPSHOT_INTERVAL_S);
            }
        }
        let (config_file, site_file) = (
            self.folder.join(format!("config-{at}.json")),
            self.folder.join(format!("site-{at}.json")),
        );
        std::fs::write(&config_file, config.to_string())?;
        std::fs::write(&site_file, site.to_string())?;
        let mut child = Command::new(&self.programs[at])
            .args(["serve", "--config"])
            .arg(config_file)
            .arg("--site")
            .arg(site_file)
            .stderr(Stdio::piped())
            .spawn()?;
        let watch = Command::new("/bin/sh")
            .args(["-c", "cat >/dev/null; kill -KILL $0"])
            .arg(child.id().to_string())
            .stdin(Stdio::piped())
            .spawn()?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            let log = log.clone();
            std::thread::spawn(move || {
                BufReader::new(stderr)
                    .lines()
                    .map_while(Result::ok)
                    .for_each(|line| lock(&log).push(line))
            });
        }
        let mut process = Process {
            child,
            scgi: SocketAddr::from(([127, 0, 0, 1], 0)),
            operator: SocketAddr::from(([127, 0, 0, 1], 0)),
            log,
            _engine: engine,
            stopped: false,
            watch,
        };
        let start = Instant::now();
        let logged_address = |process: &Process, before: &str, after: &str| -> Option<SocketAddr> {
            lock(&process.log)
                .iter()
                .find_map(|line| line.split(before).nth(1)?.strip_suffix(after)?.parse().ok())
        };
        loop {
            let found = (
                logged_address(&process, "listens on ", " for SCGI"),
                logged_address(&process, "operators ask at ", ""),
                logged_address(&process, "hears its fleet at ", "").or_else(|| {
                    // Without a fleet there is no fleet address: a placeholder stands for it.
                    self.setup
                        .fleet
                        .is_null()
                        .then_some(SocketAddr::from(([127, 0, 0, 1], 9)))
                }),
            );
            if let (Some(scgi), Some(operator), Some(fleet)) = found {
                (process.scgi, process.operator) = (scgi, operator);
                self.links.set_listen_address(at, fleet);
                break;
            }
            if start.elapsed() > LIMIT || process.child.try_wait()?.is_some() {
                return Err(std::io::Error::other(format!(
                    "process n{at} did not start: {:?}",
                    lock(&process.log)
                )));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        self.processes[at] = Some(process);
        Ok(())
    }

    /// Starts process `at` from `program`, now and at each later boot.
    pub fn start_process_from(&mut self, at: usize, program: &Path) -> std::io::Result<()> {
        program.clone_into(&mut self.programs[at]);
        self.start_process(at)
    }

    /// Returns the state directory of process `at`, whether or not it uses one.
    pub fn state_directory(&self, at: usize) -> PathBuf {
        self.folder.join(format!("state-{at}"))
    }

    /// Returns the number of processes.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Returns the processes that run and are not paused.
    pub fn running(&self) -> Vec<usize> {
        let runs =
            |process: &Option<Process>| process.as_ref().is_some_and(|process| !process.stopped);
        (0..self.count())
            .filter(|at| runs(&self.processes[*at]))
            .collect()
    }

    /// Kills process `at` with SIGKILL.
    pub fn kill(&mut self, at: usize) {
        self.processes[at] = None;
    }

    /// Pauses process `at` with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_stopped(&mut self, at: usize, stopped: bool) -> std::io::Result<()> {
        let Some(process) = &mut self.processes[at] else {
            return Ok(());
        };
        process.stopped = stopped;
        signal(&process.child, if stopped { "STOP" } else { "CONT" })
    }

    /// Makes process `at` reload its configuration with SIGHUP.
    pub fn reload(&self, at: usize) -> std::io::Result<()> {
        self.processes[at]
            .as_ref()
            .map_or(Ok(()), |process| signal(&process.child, "HUP"))
    }

    /// Makes process `at` drain and exit with SIGTERM.
    pub fn terminate(&self, at: usize) -> std::io::Result<()> {
        self.processes[at]
            .as_ref()
            .map_or(Ok(()), |process| signal(&process.child, "TERM"))
    }

    /// Sends an operator query to process `at` and returns the answer.
    pub fn query(&self, at: usize, question: &Value) -> std::io::Result<Value> {
        let Some(process) = &self.processes[at] else {
            return Err(std::io::Error::other("the process is not running"));
        };
        let mut stream = TcpStream::connect_timeout(&process.operator, LIMIT)?;
        stream.set_read_timeout(Some(LIMIT))?;
        stream.write_all(format!("{question}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        Ok(serde_json::from_str(&answer)?)
    }

    /// Returns the address of the operator listener of process `at`.
    pub fn operator_address(&self, at: usize) -> Option<SocketAddr> {
        self.processes[at].as_ref().map(|process| process.operator)
    }

    /// Returns the version that process `at` reports as active.
    pub fn active_version(&self, at: usize) -> std::io::Result<String> {
        let answer = self.query(at, &json!({"ask": "fleet_members"}))?;
        let own = format!("n{at}");
        let members = answer["members"].as_array().cloned().unwrap_or_default();
        let version = members
            .iter()
            .find(|member| member["server"] == own.as_str())
            .map(|own| own["version"].clone());
        Ok(version
            .and_then(|version| version.as_str().map(str::to_owned))
            .unwrap_or_default())
    }

    /// Returns the number of members that process `at` reports as alive.
    pub fn count_alive(&self, at: usize) -> std::io::Result<usize> {
        let answer = self.query(at, &json!({"ask": "fleet_members"}))?;
        let members = answer["members"].as_array().cloned().unwrap_or_default();
        Ok(members
            .iter()
            .filter(|member| member["state"] == "alive")
            .count())
    }

    /// Publishes a version at process `at` and returns its id.
    pub fn publish(
        &self,
        at: usize,
        content: &Value,
        must: bool,
        waves: &[f32],
        pause_ms: u64,
    ) -> std::io::Result<String> {
        let question = json!({"ask": "fleet_publish", "content": content, "must": must, "waves": waves, "pause_ms": pause_ms});
        let answer = self.query(at, &question)?;
        answer["published"]
            .as_str()
            .map(str::to_owned)
            .ok_or_else(|| std::io::Error::other(answer.to_string()))
    }

    /// Waits until `done` returns true; returns the time waited, or `None` after `limit`.
    pub fn wait_until(
        &self,
        limit: Duration,
        mut done: impl FnMut(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if done(self) {
                return Some(start.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Whether `version` is active on all running processes.
    pub fn all_active_on(&self, version: &str) -> bool {
        self.running()
            .into_iter()
            .all(|at| self.active_version(at).is_ok_and(|on| on == version))
    }

    /// Returns the CPU time that process `at` has used, in seconds.
    pub fn cpu_seconds(&self, at: usize) -> f64 {
        let Some(process) = &self.processes[at] else {
            return 0.0;
        };
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.child.id()))
            .unwrap_or_default();
        let after = stat.rsplit_once(") ").map_or("", |(_, after)| after);
        after
            .split(' ')
            .skip(11)
            .take(2)
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / 100.0
    }

    /// Whether a log line of process `at` contains `text`.
    pub fn log_contains(&self, at: usize, text: &str) -> bool {
        self.processes[at]
            .as_ref()
            .is_some_and(|process| lock(&process.log).iter().any(|line| line.contains(text)))
    }

    /// Returns the log lines of process `at`.
    pub fn log(&self, at: usize) -> Vec<String> {
        self.processes[at]
            .as_ref()
            .map(|process| lock(&process.log).clone())
            .unwrap_or_default()
    }

    /// Sends an RPC of the first method to process `at` and waits for its answer.
    pub fn rpc(&mut self, at: usize) -> RpcOutcome {
        self.call(at, METHODS[0], None)
    }

    /// Sends an RPC of a method for a tenant; may be called from several threads at once.
    pub fn call(&self, at: usize, method: &str, tenant: Option<&str>) -> RpcOutcome {
        let token = format!("token {}", self.sent.fetch_add(1, Ordering::SeqCst));
        self.call_with_key(at, method, tenant, &token)
    }

    /// Sends an RPC with an idempotency key of the caller; a second RPC with the same key is a retry.
    pub fn call_with_key(
        &self,
        at: usize,
        method: &str,
        tenant: Option<&str>,
        token: &str,
    ) -> RpcOutcome {
        let Some(process) = &self.processes[at] else {
            return RpcOutcome::NoAnswer;
        };
        rpc(process.scgi, method, tenant, token).unwrap_or(RpcOutcome::NoAnswer)
    }

    /// Sets the faults on the connection of process `at` to the store.
    pub fn set_store_faults(&self, at: usize, faults: Faults) {
        if let Some(relay) = self.store_relays.get(at) {
            *lock(&relay.faults) = faults;
        }
    }
}

fn rpc(
    at: SocketAddr,
    method: &str,
    tenant: Option<&str>,
    token: &str,
) -> std::io::Result<RpcOutcome> {
    let path = format!("/{method}");
    let mut stream = TcpStream::connect_timeout(&at, LIMIT)?;
    stream.set_read_timeout(Some(LIMIT))?;
    let mut head = Vec::new();
    for (key, value) in [
        ("CONTENT_LENGTH", "1"),
        ("SCGI", "1"),
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", path.as_str()),
        ("HTTP_IDEMPOTENCY_KEY", token),
    ]
    .into_iter()
    .chain(tenant.map(|tenant| ("HTTP_X_TENANT", tenant)))
    {
        head.extend_from_slice(format!("{key}\0{value}\0").as_bytes());
    }
    stream.write_all(&[format!("{}:", head.len()).as_bytes(), &head, b",x"].concat())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let retry = answer.lines().find_map(|line| {
        line.strip_prefix("Retry-After: ")?
            .trim()
            .parse::<u64>()
            .ok()
    });
    Ok(match answer.split_whitespace().nth(1) {
        Some("200") => RpcOutcome::Ok,
        Some("503") => RpcOutcome::Rejected(retry.unwrap_or(0) * 1000),
        Some(_) => RpcOutcome::Failed,
        None => RpcOutcome::NoAnswer,
    })
}
