//! Repeats of saves that have run, over SCGI, at a server that drains and stands still for a moment before its stop.
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::scgi::{self, Answer, Application};
use crate::world::{self, SIGCONT, SIGKILL, SIGSTOP, SIGTERM, Verdict, World};

/// Clients, each with one save.
const CLIENTS: usize = 4;
/// Time of the first tries, in seconds.
const FIRST_TRY: f64 = 1.5;
/// The application works for so long on each run.
const WORK: Duration = Duration::from_millis(400);
/// The notice to drain; the platform kills the server so long after it.
const NOTICE: f64 = 2.5;
const STOP_MS: u64 = 3_200;
const KILL: f64 = NOTICE + STOP_MS as f64 / 1_000.0;
/// Clients whose connections failed connect again then ...
const CONNECT: f64 = KILL - 0.9;
/// ... and write their second tries then.
const SECOND_TRY: f64 = KILL - 0.4;
/// The process stands still from then to then.
const STOP: f64 = KILL - 0.5;
const CONTINUE: f64 = KILL - 0.13;

const SETTINGS: &str = r#"{
  "classes": [
    {"name":"route-profile","idempotency":"repeatable","promise":2300000000,"deadline":8700000000,"worth":1,"late_worth":0.2,"window":5000000000},
    {"name":"save-ride","idempotency":"once","promise":2900000000,"deadline":12000000000,"worth":3,"late_worth":0.2,"window":5000000000}],
  "domain": {"cores":6,"depends_on":"off","memory_kb":26622,"run_factor":8,"key_kb":133.24,"preemption":"drop","advert":"weight",
    "callers":3,"caller_idle":30000000000,"linger":200000000},
  "safety": {"answer_slack":100000000,"drain_grace":2000000000,"fall_multiple":8,"cold_from":0.22,"warm_after":18000000000},
  "realms": [{"name":"georeum-app","quota_rps":65}], "group_size": 1, "goal": {"whole":1}, "worth_by":"request"}"#;

pub fn run(world: &'static World) -> Verdict {
    let application = Application::start(world, |_, _| Some(WORK));
    let front = world::free_address();
    let control = world::control_plane();
    let config = format!(
        r#"{{"name":"n3","control":"{}","seed":"8c1f30d27a5be964","stop_ms":{STOP_MS},
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{SETTINGS}}}"#,
        control.local_addr().unwrap(),
    );
    let site = format!(
        r#"{{"scgi":{{"listen":["{front}"],"trusted":["127.0.0.1/32"],"routes":[
        {{"verb":"POST","path":"/profile","method":"route-profile"}},{{"verb":"POST","path":"/save","method":"save-ride"}}]}},
        "applications":{{"addresses":["{}"]}}}}"#,
        application.address,
    );
    let pid = world.start_server(&config, Some(&site));
    if let Err(verdict) = world::wait_for_listener(world, front) {
        return verdict;
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| std::thread::spawn(move || client(world, front, number)))
        .collect();
    world.sleep_until(NOTICE);
    world.signal(pid, SIGTERM, "SIGTERM");
    if world.trouble {
        world.sleep_until(STOP);
        world.signal(pid, SIGSTOP, "SIGSTOP");
        world.sleep_until(CONTINUE);
        world.signal(pid, SIGCONT, "SIGCONT");
    }
    world.sleep_until(KILL);
    if world.server_ended().is_none() {
        world.signal(pid, SIGKILL, "SIGKILL");
    }
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(None))
        .collect();
    let mut turned_away = 0;
    for (number, answer) in answers.iter().enumerate() {
        let runs = application.runs_of(&format!("ride {number}")).len();
        world.note(format!(
            "save of client {number}: {runs} run(s), answer to the second try {answer:?}"
        ));
        if runs == 0 {
            return Verdict::CouldNotRun(format!("the first try of client {number} did not run"));
        }
        turned_away += usize::from(answer.as_ref().is_some_and(|answer| answer.status == 503));
    }
    match turned_away {
        0 => Verdict::Held(format!(
            "none of {CLIENTS} saves that had run was turned away"
        )),
        _ => Verdict::Broken(format!(
            "{turned_away} of {CLIENTS} saves were turned away after they had run"
        )),
    }
}

/// Sends one save; its connection is reset as the answer comes, so the client sends it again under the same id. Returns the
/// answer to the second try.
fn client(world: &World, front: SocketAddr, number: usize) -> Option<Answer> {
    let (id, body) = (format!("9b1f03aa5c7e2d4{number}"), format!("ride {number}"));
    let headers = [("HTTP_X_REQUEST_ID", id.as_str()), ("HTTP_X_RETRY", "1")];
    world.sleep_until(FIRST_TRY);
    world.note(format!(
        "client {number}: try 1 of {body:?} under the id {id}"
    ));
    let first = scgi::send(front, "/save", &headers[..1], body.as_bytes()).ok()?;
    let _ = first.set_read_timeout(Some(Duration::from_secs(3)));
    let answer_came = first.peek(&mut [0; 1]).is_ok_and(|count| count > 0);
    // A close over an unread answer resets the connection.
    drop(first);
    world.note(format!(
        "client {number}: connection reset as the answer came: {answer_came}"
    ));
    world.sleep_until(CONNECT);
    let mut second = TcpStream::connect(front).ok()?;
    second.set_nodelay(true).ok()?;
    world.sleep_until(SECOND_TRY);
    world.note(format!(
        "client {number}: try 2 of {body:?} under the id {id}"
    ));
    std::io::Write::write_all(
        &mut second,
        &scgi::request("/save", &headers, body.as_bytes()),
    )
    .ok()?;
    let answer = scgi::read_answer(&mut second, Duration::from_secs(3));
    world.note(format!("client {number}: answer to try 2: {answer:?}"));
    answer
}
