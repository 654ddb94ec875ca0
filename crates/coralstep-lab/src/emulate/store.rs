//! A stand-in for the dependency that all servers share: calls take the world's time, more past its capacity; it may slow,
//! hang, or refuse.
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::lines::command;
use crate::world::Dependency;

/// What troubles do to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plight {
    pub slow: f64,
    pub hangs: bool,
    pub dead: bool,
}

impl Default for Plight {
    fn default() -> Plight {
        Plight {
            slow: 1.0,
            hangs: false,
            dead: false,
        }
    }
}

/// A call that hangs is let go after so long, or when the store is.
const HANGS: Duration = Duration::from_secs(20);

struct Shared {
    dependency: Dependency,
    plight: Mutex<Plight>,
    in_hand: AtomicU64,
    stop: AtomicBool,
    chance: Mutex<SmallRng>,
    /// When each call came, since the start; the last ones.
    asked: Mutex<VecDeque<Duration>>,
    began: Instant,
}

/// Calls whose times are kept.
const ASKED: usize = 500_000;

pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

impl Store {
    pub fn start(dependency: &Dependency, seed: u64) -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            dependency: dependency.clone(),
            plight: Mutex::default(),
            in_hand: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            chance: Mutex::new(SmallRng::seed_from_u64(seed)),
            asked: Mutex::default(),
            began: Instant::now(),
        });
        let all = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if all.stop.load(Ordering::SeqCst) {
                    return;
                }
                let shared = all.clone();
                std::thread::spawn(move || drop(answer(stream, &shared)));
            }
        });
        Ok(Store { address, shared })
    }

    /// Time since the start, as [`Store::asked`] counts.
    pub fn clock(&self) -> Duration {
        self.shared.began.elapsed()
    }

    /// When each call came that did so from `since` on.
    pub fn asked(&self, since: Duration) -> Vec<Duration> {
        let asked = super::lock(&self.shared.asked);
        asked.iter().copied().filter(|at| *at >= since).collect()
    }

    pub fn now(&self, change: impl FnOnce(&mut Plight)) {
        change(
            &mut self
                .shared
                .plight
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner()),
        );
    }
}

fn answer(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    let (line, _, _) = loop {
        if let Some(command) = command(&bytes)? {
            break command;
        }
        let mut more = [0; 1024];
        match stream.read(&mut more)? {
            0 => return Ok(()),
            count => bytes.extend_from_slice(&more[..count]),
        }
    };
    shared.in_hand.fetch_add(1, Ordering::SeqCst);
    {
        let mut asked = super::lock(&shared.asked);
        if asked.len() >= ASKED {
            asked.pop_front();
        }
        asked.push_back(shared.began.elapsed());
    }
    let said = says(&line, shared);
    shared.in_hand.fetch_sub(1, Ordering::SeqCst);
    stream.write_all(said.as_bytes())
}

fn says(line: &str, shared: &Shared) -> String {
    let plight = *shared
        .plight
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let id = line.split(' ').nth(1).unwrap_or("");
    if plight.dead {
        return format!("{id} VOID\r\n");
    }
    let of = &shared.dependency;
    if plight.hangs || of.capacity <= 0.0 {
        let steps = HANGS.as_millis() / 20;
        for _ in 0..steps {
            if shared.stop.load(Ordering::SeqCst) {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        return String::new();
    }
    let crowd = (shared.in_hand.load(Ordering::SeqCst) as f64 / of.capacity).max(1.0);
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
        (ms * plight.slow * crowd / 1000.0).min(HANGS.as_secs_f64()),
    ));
    if fails {
        format!("{id} ERR\r\n")
    } else {
        format!("{id} OK 2\r\nok\r\n")
    }
}
