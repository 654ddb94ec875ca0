//! An engine with a number of cores, from the lab's emulator, that records the runs it starts; and a store that
//! fails at times.
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coralstep_lab::emulate::engine::{Engine, EngineConfig, Workload};
use coralstep_lab::emulate::lines::parse_command;

/// A run that the engine has started.
#[derive(Clone, Debug)]
pub struct StartedRun {
    pub id: String,
    pub method: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

/// Engine that records its runs, which tests compare with the replies to callers.
pub struct RecordingEngine {
    pub started_runs: Arc<Mutex<Vec<StartedRun>>>,
    _engine: Engine,
}

/// Runs that all take the same time; those of `pay` call nothing.
struct FixedWork {
    work_ms: f64,
    started_runs: Arc<Mutex<Vec<StartedRun>>>,
}

impl Workload for FixedWork {
    fn start_run(&mut self, id: &str, method: &str, body: &[u8]) -> Option<(f64, Option<f64>)> {
        let (id, method, body) = (id.to_owned(), method.to_owned(), body.to_owned());
        let calls = method != "pay";
        self.started_runs.lock().unwrap().push(StartedRun {
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

impl RecordingEngine {
    /// Each run takes `work` seconds on one of `cores`; links break every `breaks`.
    pub fn start(
        listener: TcpListener,
        cores: u32,
        work: f64,
        breaks: Duration,
    ) -> RecordingEngine {
        RecordingEngine::with(
            listener,
            EngineConfig {
                breaks: Some(breaks),
                ..RecordingEngine::terms(cores)
            },
            work,
        )
    }

    /// Terms of an engine with `cores` cores and without faults.
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

    pub fn with(listener: TcpListener, terms: EngineConfig, work: f64) -> RecordingEngine {
        let started_runs: Arc<Mutex<Vec<StartedRun>>> = Arc::default();
        let even = FixedWork {
            work_ms: work * 1000.0,
            started_runs: started_runs.clone(),
        };
        RecordingEngine {
            started_runs,
            _engine: Engine::serve(listener, terms, even, Arc::default()).unwrap(),
        }
    }
}

/// Answers calls: of a hundred connections, `errs` get an error, `cuts` are closed and `garbles` get an invalid
/// reply. A call takes the number of milliseconds in the returned counter.
pub fn store(listener: TcpListener, errs: u64, cuts: u64, garbles: u64) -> Arc<AtomicU64> {
    let call_duration_ms = Arc::new(AtomicU64::new(4));
    let (call_ms, thresholds) = (
        call_duration_ms.clone(),
        [errs, errs + cuts, errs + cuts + garbles],
    );
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let call_ms = call_ms.clone();
            std::thread::spawn(move || {
                let _ = answer(stream, (number as u64 * 37) % 100, thresholds, &call_ms);
            });
        }
    });
    call_duration_ms
}

fn answer(
    mut stream: TcpStream,
    number: u64,
    thresholds: [u64; 3],
    call_ms: &AtomicU64,
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
    std::thread::sleep(Duration::from_millis(call_ms.load(Ordering::SeqCst)));
    let id = line.split(' ').nth(1).unwrap_or("");
    let reply = match number {
        number if number < thresholds[0] => format!("{id} ERR\r\n"),
        number if number < thresholds[1] => return Ok(()),
        number if number < thresholds[2] => "no such thing\r\n".to_owned(),
        _ => format!("{id} OK 2\r\nok\r\n"),
    };
    stream.write_all(reply.as_bytes())
}
