//! What gateways and engines know together: the requests that came to the servers. Also the record of a case, and the
//! servers that it starts.
use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A request as it came to a server.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: String,
    pub body: Vec<u8>,
    pub key: Option<String>,
    /// Answered or given up: an engine starts nothing for it.
    pub over: bool,
}

type Watcher = Box<dyn Fn(&str) + Send + Sync>;

pub struct World {
    /// The processes that were started and are not ended yet.
    processes: Mutex<Vec<u32>>,
    /// Told of each request that is over.
    watchers: Mutex<Vec<Watcher>>,
    pub start: Instant,
    record: Mutex<File>,
    requests: Mutex<HashMap<String, Request>>,
    ids: AtomicU64,
}

impl World {
    pub fn new(record: &Path) -> Arc<World> {
        Arc::new(World {
            processes: Mutex::default(),
            watchers: Mutex::default(),
            start: Instant::now(),
            record: Mutex::new(File::create(record).expect("record.txt")),
            requests: Mutex::default(),
            ids: AtomicU64::new(unix_ms() << 16),
        })
    }

    /// Ends the case, and all that it started, where it takes too long.
    pub fn end_after(self: &Arc<World>, limit: Duration) {
        let world = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(limit);
            for process in world.processes.lock().unwrap().iter() {
                let _ = Command::new("/bin/sh")
                    .args(["-c", &format!("kill -KILL {process}")])
                    .status();
            }
            world.note("the case took too long");
            println!("the case could not run: it took too long");
            std::process::exit(2);
        });
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// A new id: 16 hex digits, well mixed.
    pub fn new_id(&self) -> String {
        let mut x = self
            .ids
            .fetch_add(1, Ordering::SeqCst)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", x ^ (x >> 31))
    }

    pub fn came(&self, id: &str, request: Request) {
        self.requests.lock().unwrap().insert(id.to_owned(), request);
    }

    /// A request was answered or given up.
    pub fn answered(&self, id: &str) {
        if let Some(request) = self.requests.lock().unwrap().get_mut(id) {
            request.over = true;
        }
        for watcher in self.watchers.lock().unwrap().iter() {
            watcher(id);
        }
    }

    pub fn watch(&self, watcher: Watcher) {
        self.watchers.lock().unwrap().push(watcher);
    }

    pub fn request(&self, id: &str) -> Option<Request> {
        self.requests.lock().unwrap().get(id).cloned()
    }
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The control plane: takes reports and answers nothing.
pub fn control_plane() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut buffer = [0; 256];
        while socket.recv(&mut buffer).is_ok() {}
    });
    address
}

/// The line `run` of the deploy file.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run =")).expect("run");
    line.split_once('"').unwrap().1.rsplit_once('"').unwrap().0.to_owned()
}

pub struct Server {
    world: Arc<World>,
    pub name: String,
    pub address: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

pub struct Terms<'a> {
    pub name: &'a str,
    pub engine: SocketAddr,
    pub store: SocketAddr,
    pub control: SocketAddr,
    pub stop_ms: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: &'a str,
}

fn folder_of(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("coralstep-review-{}-{name}", std::process::id()))
}

fn configuration(terms: &Terms<'_>, address: SocketAddr) -> String {
    let Terms {
        name,
        engine,
        store,
        control,
        stop_ms,
        memory_mb,
        sockets,
        settings,
    } = terms;
    format!(
        r#"{{"name":"{name}","listen":"{address}","engine":"{engine}","control":"{control}","store":"{store}",
"seed":"8c1f30d27a5be964","stop_ms":{stop_ms},"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"settings":{settings}}}"#
    )
}

impl Server {
    /// Starts a server by the deploy file's `run` line, and waits until it answers a health check.
    pub fn start(world: &Arc<World>, terms: &Terms<'_>) -> Result<Server, String> {
        Server::start_by(world, terms, &run_line())
    }

    /// Starts a server with an operator's own file, by the `run` line and `--site`.
    pub fn start_with_site(world: &Arc<World>, terms: &Terms<'_>, site: &str) -> Result<Server, String> {
        let folder = folder_of(terms.name);
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let path = folder.join("site.json");
        std::fs::write(&path, site).map_err(|error| error.to_string())?;
        Server::start_by(world, terms, &format!("{} --site {}", run_line(), path.display()))
    }

    fn start_by(world: &Arc<World>, terms: &Terms<'_>, command: &str) -> Result<Server, String> {
        let (name, address, folder) = (terms.name, free_address(), folder_of(terms.name));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let path = folder.join("config.json");
        std::fs::write(&path, configuration(terms, address)).map_err(|error| error.to_string())?;
        let log = File::create(folder.join("log")).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        world.processes.lock().unwrap().push(child.id());
        let mut server = Server {
            world: world.clone(),
            name: name.to_owned(),
            address,
            child,
            folder,
        };
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            if let Ok(Some(status)) = server.child.try_wait() {
                return Err(format!("{name} ended at its start: {status}: {}", server.log()));
            }
            let check = crate::gateway::Connection::open(world, address);
            if check.ok().and_then(|mut check| check.ping()).is_some() {
                world.note(&format!("server {name} is up, process {}", server.child.id()));
                return Ok(server);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{name} was not up after 20 s: {}", server.log()))
    }

    /// Replaces the configuration file, as a whole, and sends SIGHUP.
    pub fn replace_configuration(&self, world: &World, terms: &Terms<'_>) {
        let (new, path) = (self.folder.join("config.new"), self.folder.join("config.json"));
        std::fs::write(&new, configuration(terms, self.address)).expect("config.new");
        std::fs::rename(new, path).expect("config.json");
        world.note(&format!("the configuration of {} is replaced, SIGHUP", self.name));
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -HUP {}", self.child.id())])
            .status();
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.world
            .processes
            .lock()
            .unwrap()
            .retain(|process| *process != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
