//! The engine of one server, and the store. Both follow the protocol page.
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::World;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Working,
    AtCall,
    Ended,
}

struct Run {
    phase: Phase,
    step: Duration,
    calls_left: u32,
}

/// How the runs of a class go: this long before each call, and at the end.
#[derive(Clone, Copy)]
pub struct Work {
    pub step: Duration,
    pub calls: u32,
}

#[derive(Default)]
struct State {
    notices: Vec<Vec<u8>>,
    link: Option<TcpStream>,
    links: u64,
    runs: HashMap<String, Run>,
}

pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    world: Arc<World>,
    started: Instant,
    cores: usize,
    work: HashMap<String, Work>,
    state: Mutex<State>,
    /// Each run that was begun: its id, its key, and when.
    pub begun: Mutex<Vec<(String, Option<String>, Instant)>>,
}

impl Engine {
    pub fn start(world: &Arc<World>, name: &str, cores: usize, work: &[(&str, Work)]) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Engine {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            world: world.clone(),
            started: Instant::now(),
            cores,
            work: work.iter().map(|(class, work)| (class.to_string(), *work)).collect(),
            state: Mutex::default(),
            begun: Mutex::default(),
        });
        let watching = engine.clone();
        world.watch(Box::new(move |id| watching.end_run_at_call(id)));
        let serving = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, stream) = (serving.clone(), stream);
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// The number of runs begun under a key.
    pub fn runs_of_key(&self, key: &str) -> usize {
        let begun = self.begun.lock().unwrap();
        begun.iter().filter(|(_, of, _)| of.as_deref() == Some(key)).count()
    }

    fn serve(self: Arc<Engine>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut number = 0;
        loop {
            let mut line = Vec::new();
            if reader.read_until(b'\n', &mut line).unwrap_or(0) == 0 {
                return;
            }
            let text = String::from_utf8_lossy(&line).trim_end().to_owned();
            let words: Vec<&str> = text.split(' ').collect();
            let mut body = Vec::new();
            if matches!(words[0], "RUN" | "FEED") {
                let Some(length) = words.last().and_then(|word| word.parse::<usize>().ok()) else {
                    return;
                };
                body = vec![0; length + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(length);
            }
            if words[0] == "ATTACH" {
                number = self.attach(&stream, words[1].parse().unwrap_or(0));
                continue;
            }
            let mut state = self.state.lock().unwrap();
            // A newer link has replaced this one.
            if state.links != number {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            match words[0] {
                "STAT" => {
                    let running = state.runs.values().filter(|run| run.phase == Phase::Working).count();
                    let busy = (running as f64 / self.cores as f64).min(1.0);
                    let line = format!("STATS {} {busy:.3} {running} 0.1 10\r\n", words[1]);
                    send(&mut state, line.as_bytes());
                }
                "RUN" => self.run(&mut state, words[1], words[2], &body),
                "FEED" => self.feed(&mut state, words[1]),
                "HALT" => self.halt(&mut state, words[1]),
                _ => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }

    fn attach(&self, stream: &TcpStream, last: usize) -> u64 {
        let mut state = self.state.lock().unwrap();
        if let Some(old) = state.link.take() {
            let _ = old.shutdown(Shutdown::Both);
        }
        state.links += 1;
        state.link = Some(stream.try_clone().unwrap());
        let hello = format!("HELLO old {}\r\n", self.started.elapsed().as_millis() + 60_000);
        send(&mut state, hello.as_bytes());
        let missed: Vec<u8> = state.notices.iter().skip(last).flatten().copied().collect();
        send(&mut state, &missed);
        state.links
    }

    fn run(self: &Arc<Engine>, state: &mut State, id: &str, class: &str, body: &[u8]) {
        let request = self.world.request(id);
        let known = request.filter(|request| request.class == class && request.body == body);
        let (Some(request), Some(work)) = (known, self.work.get(class)) else {
            return send(state, format!("NO RUN {id}\r\n").as_bytes());
        };
        match state.runs.get(id).map(|run| run.phase) {
            Some(Phase::Ended) => return notice(state, "DONE", &format!("{id} gone 0"), b""),
            Some(_) => return,
            None if request.over => return notice(state, "DONE", &format!("{id} gone 0"), b""),
            None => {}
        }
        let step = work.step;
        state.runs.insert(
            id.to_owned(),
            Run {
                phase: Phase::Working,
                step,
                calls_left: work.calls,
            },
        );
        self.begun
            .lock()
            .unwrap()
            .push((id.to_owned(), request.key.clone(), Instant::now()));
        self.world.note(&format!(
            "{} runs {id} {class} key {}",
            self.name,
            request.key.unwrap_or_default()
        ));
        self.step_later(id, step);
    }

    fn step_later(self: &Arc<Engine>, id: &str, after: Duration) {
        let (engine, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(after);
            engine.step(&id);
        });
    }

    /// The run has done a part of its work: it comes to its next call or to its end.
    fn step(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let over = self.world.request(id).is_none_or(|request| request.over);
        let Some(run) = state.runs.get_mut(id).filter(|run| run.phase == Phase::Working) else {
            return;
        };
        if run.calls_left == 0 {
            run.phase = Phase::Ended;
            let result = format!("result of {id}");
            notice(&mut state, "DONE", &format!("{id} good 20"), result.as_bytes());
        } else if over {
            run.phase = Phase::Ended;
            notice(&mut state, "DONE", &format!("{id} cut 20"), b"");
        } else {
            run.calls_left -= 1;
            run.phase = Phase::AtCall;
            notice(&mut state, "NEED", id, b"what is known");
        }
    }

    fn feed(self: &Arc<Engine>, state: &mut State, id: &str) {
        let Some(run) = state.runs.get_mut(id).filter(|run| run.phase == Phase::AtCall) else {
            return send(state, format!("NO FEED {id}\r\n").as_bytes());
        };
        run.phase = Phase::Working;
        let step = run.step;
        self.step_later(id, step);
    }

    fn halt(&self, state: &mut State, id: &str) {
        let Some(run) = state.runs.get_mut(id).filter(|run| run.phase != Phase::Ended) else {
            return send(state, format!("NO HALT {id}\r\n").as_bytes());
        };
        run.phase = Phase::Ended;
        notice(state, "DONE", &format!("{id} cut 1"), b"");
    }

    /// Ends a run at a call as its request is over, as the page says.
    fn end_run_at_call(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(run) = state.runs.get_mut(id).filter(|run| run.phase == Phase::AtCall) {
            run.phase = Phase::Ended;
            notice(&mut state, "DONE", &format!("{id} cut 1"), b"");
        }
    }
}

fn send(state: &mut State, bytes: &[u8]) {
    if let Some(link) = &mut state.link {
        let _ = link.write_all(bytes);
    }
}

fn notice(state: &mut State, word: &str, rest: &str, body: &[u8]) {
    let number = state.notices.len() + 1;
    let mut bytes = format!("{word} {number} {rest} {}\r\n", body.len()).into_bytes();
    bytes.extend(body);
    bytes.extend(b"\r\n");
    send(state, &bytes);
    state.notices.push(bytes);
}

/// The store: answers each call after `delay`, unless the call is given up before.
pub struct Store {
    pub address: SocketAddr,
}

impl Store {
    pub fn start(world: &Arc<World>, delay: Duration) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let world = world.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                std::thread::spawn(move || serve_calls(stream, delay, &world));
            }
        });
        Store { address }
    }
}

fn serve_calls(stream: TcpStream, wait: Duration, world: &World) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        if words[0] != "CALL" {
            continue;
        }
        let (id, patience) = (words[1].to_owned(), words[2].parse::<u64>().ok()?);
        let mut body = vec![0; words[3].parse::<usize>().ok()? + 2];
        reader.read_exact(&mut body).ok()?;
        world.note(&format!("store is called for {id}, patience {patience} ms"));
        let mut writer = stream.try_clone().ok()?;
        std::thread::spawn(move || {
            let patience = Duration::from_millis(patience);
            std::thread::sleep(wait.min(patience));
            let reply = if wait <= patience {
                format!("{id} OK 5\r\nknown\r\n")
            } else {
                format!("{id} LATE\r\n")
            };
            let _ = writer.write_all(reply.as_bytes());
        });
    }
}
