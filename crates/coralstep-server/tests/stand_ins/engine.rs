//! An engine that really has cores, as the laboratory has it, with a record of what began; and a store that sometimes fails.
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coralstep_lab::emulate::engine::{Engine, EngineConfig, Workload};
use coralstep_lab::emulate::lines::parse_command;

/// A run that began.
#[derive(Clone, Debug)]
pub struct Began {
    pub id: String,
    pub method: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

/// What the engine did, to be checked against what callers were told.
pub struct Cores {
    pub began: Arc<Mutex<Vec<Began>>>,
    _engine: Engine,
}

/// All runs take as long; those of `pay` call nothing.
struct Even {
    work_ms: f64,
    began: Arc<Mutex<Vec<Began>>>,
}

impl Workload for Even {
    fn start_run(&mut self, id: &str, method: &str, body: &[u8]) -> Option<(f64, Option<f64>)> {
        let (id, method, body) = (id.to_owned(), method.to_owned(), body.to_owned());
        let calls = method != "pay";
        self.began.lock().unwrap().push(Began {
            id,
            method,
            body,
            at: Instant::now(),
        });
        let half = self.work_ms / 2.0;
        Some(if calls {
            (half, Some(half))
        } else {
            (self.work_ms, None)
        })
    }
}

impl Cores {
    /// `work` seconds a run on one of `cores`; links break every `breaks`.
    pub fn start(listener: TcpListener, cores: u32, work: f64, breaks: Duration) -> Cores {
        Cores::with(
            listener,
            EngineConfig {
                breaks: Some(breaks),
                ..Cores::terms(cores)
            },
            work,
        )
    }

    /// An engine of `cores` that does nothing out of the way.
    pub fn terms(cores: u32) -> EngineConfig {
        EngineConfig {
            cores,
            crowd: f64::MAX,
            speed: 1.0,
            cold: None,
            breaks: None,
            never_ends: false,
        }
    }

    pub fn with(listener: TcpListener, terms: EngineConfig, work: f64) -> Cores {
        let began: Arc<Mutex<Vec<Began>>> = Arc::default();
        let even = Even {
            work_ms: work * 1000.0,
            began: began.clone(),
        };
        Cores {
            began,
            _engine: Engine::serve(listener, terms, even, Arc::default()).unwrap(),
        }
    }
}

/// Answers calls: of a hundred, `errs` with an error, `cuts` by closing, `garbles` with what is no reply. A call takes as many
/// milliseconds as the figure that is given back says.
pub fn store(listener: TcpListener, errs: u64, cuts: u64, garbles: u64) -> Arc<AtomicU64> {
    let ms = Arc::new(AtomicU64::new(4));
    let (takes, parts) = (ms.clone(), [errs, errs + cuts, errs + cuts + garbles]);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let takes = takes.clone();
            std::thread::spawn(move || {
                let _ = answer(stream, (number as u64 * 37) % 100, parts, &takes);
            });
        }
    });
    ms
}

fn answer(
    mut stream: TcpStream,
    part: u64,
    parts: [u64; 3],
    takes: &AtomicU64,
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    let (line, _, _) = loop {
        if let Some(command) = parse_command(&bytes)? {
            break command;
        }
        let mut more = [0; 1024];
        match stream.read(&mut more)? {
            0 => return Ok(()),
            count => bytes.extend_from_slice(&more[..count]),
        }
    };
    std::thread::sleep(Duration::from_millis(takes.load(Ordering::SeqCst)));
    let id = line.split(' ').nth(1).unwrap_or("");
    let said = match part {
        part if part < parts[0] => format!("{id} ERR\r\n"),
        part if part < parts[1] => return Ok(()),
        part if part < parts[2] => "no such thing\r\n".to_owned(),
        _ => format!("{id} OK 2\r\nok\r\n"),
    };
    stream.write_all(said.as_bytes())
}
