//! A fake of the dependency that all servers share: calls take the time given by the world, longer above its capacity. It can be
//! made slow, hanging or unavailable.
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::lines::parse_command;
use crate::world::Dependency;

/// Faults injected into the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreFaults {
    pub slow: f64,
    pub hangs: bool,
    pub dead: bool,
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults {
            slow: 1.0,
            hangs: false,
            dead: false,
        }
    }
}

/// Maximum time that a hanging call stays open; it ends earlier when the store is dropped.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

struct Shared {
    dependency: Dependency,
    faults: Mutex<StoreFaults>,
    in_flight: AtomicU64,
    stop: AtomicBool,
    chance: Mutex<SmallRng>,
    /// Arrival times of the last calls, since the start.
    call_times: Mutex<VecDeque<Duration>>,
    began: Instant,
}

/// Number of calls whose arrival times are kept.
const MAX_CALL_TIMES: usize = 500_000;

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

impl Store {
    pub fn start(dependency: &Dependency, seed: u64) -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            dependency: dependency.clone(),
            faults: Mutex::default(),
            in_flight: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            chance: Mutex::new(SmallRng::seed_from_u64(seed)),
            call_times: Mutex::default(),
            began: Instant::now(),
        });
        let all = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if all.stop.load(Ordering::SeqCst) {
                    return;
                }
                let shared = all.clone();
                std::thread::spawn(move || drop(serve_call(stream, &shared)));
            }
        });
        Ok(Store { address, shared })
    }

    /// Returns the time since the start, the clock of [`Store::call_times`].
    pub fn elapsed(&self) -> Duration {
        self.shared.began.elapsed()
    }

    /// Returns the arrival times of the calls since `since`.
    pub fn call_times(&self, since: Duration) -> Vec<Duration> {
        let call_times = super::lock(&self.shared.call_times);
        call_times
            .iter()
            .copied()
            .filter(|at| *at >= since)
            .collect()
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(
            &mut self
                .shared
                .faults
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner()),
        );
    }
}

fn serve_call(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.set_nodelay(true)?;
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
    shared.in_flight.fetch_add(1, Ordering::SeqCst);
    {
        let mut call_times = super::lock(&shared.call_times);
        if call_times.len() >= MAX_CALL_TIMES {
            call_times.pop_front();
        }
        call_times.push_back(shared.began.elapsed());
    }
    let answer = answer_line(&line, shared);
    shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    stream.write_all(answer.as_bytes())
}

fn answer_line(line: &str, shared: &Shared) -> String {
    let faults = *shared
        .faults
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let id = line.split(' ').nth(1).unwrap_or("");
    if faults.dead {
        return format!("{id} VOID\r\n");
    }
    let of = &shared.dependency;
    if faults.hangs || of.capacity <= 0.0 {
        let steps = HANG_TIMEOUT.as_millis() / 20;
        for _ in 0..steps {
            if shared.stop.load(Ordering::SeqCst) {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        return String::new();
    }
    let crowd = (shared.in_flight.load(Ordering::SeqCst) as f64 / of.capacity).max(1.0);
    let (ms, fails) = {
        let mut chance = shared
            .chance
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        (
            of.call_ms.draw(&mut *chance),
            chance.random_range(0.0..1.0) < of.fails,
        )
    };
    std::thread::sleep(Duration::from_secs_f64(
        (ms * faults.slow * crowd / 1000.0).min(HANG_TIMEOUT.as_secs_f64()),
    ));
    if fails {
        format!("{id} ERR\r\n")
    } else {
        format!("{id} OK 2\r\nok\r\n")
    }
}
