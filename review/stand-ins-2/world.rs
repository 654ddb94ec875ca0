//! What all cases share: the record, the server's process, signals, temporary files, free addresses.
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Signals, by their numbers on Linux.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A case that has not ended by then could not run.
const LONGEST: Duration = Duration::from_secs(110);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

pub struct World {
    pub trouble: bool,
    start: Instant,
    lines: Mutex<Vec<String>>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
}

impl World {
    /// Creates a world that lives until the process ends.
    pub fn new(trouble: bool) -> &'static World {
        let folder = std::env::temp_dir().join(format!("coralstep-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Box::leak(Box::new(World {
            trouble,
            start: Instant::now(),
            lines: Mutex::new(Vec::new()),
            children: Mutex::new(Vec::new()),
            folder,
        }))
    }

    /// Adds a line to the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:9.3} {}",
            self.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
        self.lines.lock().unwrap().push(line);
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    pub fn start_watchdog(&'static self, record: String) {
        std::thread::spawn(move || {
            std::thread::sleep(LONGEST);
            self.end_processes();
            let verdict = Verdict::CouldNotRun("the case took too long".to_owned());
            std::process::exit(self.finish(&record, &verdict));
        });
    }

    /// Starts the server by the `run` line of the deploy file, with a site file if there is one, and returns its process id.
    pub fn start_server(&'static self, config: &str, site: Option<&str>) -> i32 {
        let config_path = self.folder.join("config.json");
        fs::write(&config_path, config).expect("write the configuration");
        let mut line = run_line();
        if let Some(site) = site {
            let site_path = self.folder.join("site.json");
            fs::write(&site_path, site).expect("write the site file");
            line += &format!(" --site {}", site_path.display());
        }
        let mut child = Command::new("/bin/sh")
            .args(["-c", &line])
            .env("RELAY_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the server");
        let log = child.stderr.take().expect("the server's log");
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                self.note(format!("server log: {line}"));
            }
        });
        let pid = child.id() as i32;
        self.note(format!("started the server: {line}"));
        self.children.lock().unwrap().push(child);
        pid
    }

    pub fn signal(&self, pid: i32, signal: i32, name: &str) {
        self.note(format!("{name} to the server"));
        // SAFETY: the call takes two numbers and has no other precondition.
        unsafe { kill(pid, signal) };
    }

    /// Returns whether the server's process has ended, and how.
    pub fn server_ended(&self) -> Option<String> {
        let mut children = self.children.lock().unwrap();
        let status = children.first_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Ends all processes that the case started.
    pub fn end_processes(&self) {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Writes the record and removes the temporary folder. Returns the exit code.
    pub fn finish(&self, record: &str, verdict: &Verdict) -> i32 {
        let (code, text) = match verdict {
            Verdict::Held(text) => (0, format!("the rule held: {text}")),
            Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
            Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
        };
        self.note(&text);
        println!("{text}");
        let lines = self.lines.lock().unwrap().join("\n");
        if fs::write(record, lines + "\n").is_err() {
            eprintln!("cannot write {record}");
        }
        let _ = fs::remove_dir_all(&self.folder);
        code
    }
}

/// Returns the `run` line of the deploy file.
fn run_line() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml")
        .expect("deploy/balancer.toml, from the repository's root");
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .expect("a run line");
    line.trim().trim_matches('"').to_owned()
}

/// Returns a loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// Binds the control plane's socket; reports are read by nobody.
pub fn control_plane() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("a free UDP port")
}

/// Waits until something listens on `address`.
pub fn wait_for_listener(world: &World, address: SocketAddr) -> Result<(), Verdict> {
    for _ in 0..200 {
        if TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        if let Some(status) = world.server_ended() {
            return Err(Verdict::CouldNotRun(format!("the server ended: {status}")));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(Verdict::CouldNotRun(
        "the server does not listen".to_owned(),
    ))
}

/// Unix time in milliseconds.
#[allow(dead_code)]
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}
