//! Bad clients that begin large requests over SCGI and never end them, at a server with a small limit on memory.
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::scgi::{self, Application};
use crate::world::{self, SIGKILL, Verdict, World};

/// The platform's limits for this server: the pages name 32 to 192 MB, and 384 or 512 descriptors.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: usize = 512;
/// The longest body in KB; `deploy/site.schema.json` takes up to 64.
const BODY_KB: usize = 64;
/// Clients, each with a save at each interval, from the first one on.
const CLIENTS: usize = 4;
const FIRST: f64 = 1.0;
const INTERVAL: f64 = 0.5;
const SAVES: usize = 16;
/// Bad clients connect at this time.
const BAD_AT: f64 = 4.0;
const BAD_CLIENTS: usize = 300;

const SETTINGS: &str = r#"{
  "classes": [
    {"name":"route-profile","idempotency":"repeatable","promise":2300000000,"deadline":8700000000,"worth":1,"late_worth":0.2,"window":5000000000},
    {"name":"save-ride","idempotency":"once","promise":2900000000,"deadline":12000000000,"worth":3,"late_worth":0.2,"window":5000000000}],
  "domain": {"cores":6,"depends_on":"off","memory_kb":26622,"run_factor":8,"key_kb":133.24,"preemption":"drop","advert":"weight",
    "callers":3,"caller_idle":30000000000,"linger":200000000},
  "safety": {"answer_slack":100000000,"drain_grace":2000000000,"fall_multiple":8,"cold_from":0.22,"warm_after":18000000000},
  "realms": [{"name":"georeum-app","quota_rps":65}], "group_size": 1, "goal": {"whole":1}, "worth_by":"request"}"#;

static LOST: AtomicUsize = AtomicUsize::new(0);

pub fn run(world: &'static World) -> Verdict {
    let application = Application::start(world, |_, _| Some(Duration::from_millis(300)));
    let front = world::free_address();
    let control = world::control_plane();
    let config = format!(
        r#"{{"name":"n3","control":"{}","seed":"8c1f30d27a5be964","stop_ms":3200,
        "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{DESCRIPTORS}}},"settings":{SETTINGS}}}"#,
        control.local_addr().unwrap(),
    );
    let site = format!(
        r#"{{"scgi":{{"listen":["{front}"],"trusted":["127.0.0.1/32"],"body_kb":{BODY_KB},"routes":[
        {{"verb":"POST","path":"/profile","method":"route-profile"}},{{"verb":"POST","path":"/save","method":"save-ride"}}]}},
        "applications":{{"addresses":["{}"]}}}}"#,
        application.address,
    );
    let pid = world.start_server(&config, Some(&site));
    if let Err(verdict) = world::wait_for_listener(world, front) {
        return verdict;
    }
    let platform = std::thread::spawn(move || watch_memory(world, pid));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| std::thread::spawn(move || client(world, front, number)))
        .collect();
    if world.trouble {
        world.sleep_until(BAD_AT);
        world.note(format!("{BAD_CLIENTS} bad clients connect"));
        let bad: Vec<_> = (0..BAD_CLIENTS)
            .map(|_| std::thread::spawn(move || bad_client(front)))
            .collect();
        let begun = bad
            .into_iter()
            .filter_map(|client| client.join().ok().flatten())
            .count();
        world.note(format!(
            "{begun} of them wrote all but the last byte of their requests"
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    let (peak_kb, killed) = platform.join().unwrap_or((0, false));
    let lost = LOST.load(Ordering::Relaxed);
    if peak_kb == 0 {
        return Verdict::CouldNotRun("the server's memory could not be read".to_owned());
    }
    let text = format!(
        "most memory {peak_kb} kB of {} kB; {lost} of {} saves without an answer",
        MEMORY_MB * 1024,
        CLIENTS * SAVES
    );
    match killed {
        true => Verdict::Broken(format!("the platform killed the server for memory: {text}")),
        false if lost > 0 => Verdict::CouldNotRun(format!(
            "saves were lost although the server was not killed: {text}"
        )),
        false => Verdict::Held(text),
    }
}

/// The platform: kills the server once it holds more memory than its limit. Returns the most that it held, in kB.
fn watch_memory(world: &World, pid: i32) -> (u64, bool) {
    let mut peak_kb = 0;
    while world.now() < FIRST + INTERVAL * SAVES as f64 + 1.0 {
        let Some(kb) = resident_kb(pid) else { break };
        if kb > peak_kb + 1024 {
            world.note(format!("platform: the server holds {kb} kB"));
        }
        peak_kb = peak_kb.max(kb);
        if kb > MEMORY_MB * 1024 {
            world.signal(pid, SIGKILL, "platform: over the limit on memory, SIGKILL");
            return (peak_kb, true);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    (peak_kb, false)
}

/// Returns the memory that the process holds by itself, in kB, without the pages of its program file.
fn resident_kb(pid: i32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn client(world: &World, front: SocketAddr, number: usize) {
    for save in 0..SAVES {
        world.sleep_until(FIRST + INTERVAL * save as f64);
        let body = format!("ride {save} of client {number}");
        let sent = scgi::send(front, "/save", &[], body.as_bytes());
        let answer = sent
            .ok()
            .and_then(|mut stream| scgi::read_answer(&mut stream, Duration::from_secs(13)));
        if answer.is_none() {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        world.note(format!("client {number}: {body:?}, answer {answer:?}"));
    }
}

/// Begins a request of the longest body and never writes its last byte. Holds on until the server answers or closes.
fn bad_client(front: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream
        .set_write_timeout(Some(Duration::from_secs(3)))
        .ok()?;
    let request = scgi::request("/save", &[], &vec![b'x'; BODY_KB * 1024]);
    stream.write_all(&request[..request.len() - 1]).ok()?;
    let _ = scgi::read_answer(&mut stream, Duration::from_secs(3));
    Some(())
}
