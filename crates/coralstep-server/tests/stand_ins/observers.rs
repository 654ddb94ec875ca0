//! Watches a server while bad clients trouble it: its memory, and how well-behaved callers are served meanwhile.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use super::{ServerAddresses, scgi};

/// Interval between two looks at the server's memory.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two requests of a well-behaved caller.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two rounds over the bad clients' connections.
const ROUND_INTERVAL: Duration = Duration::from_millis(2);

/// A thread that repeats a step until it is stopped.
struct Repeated<T> {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<T>,
}

impl<T: Send + 'static> Repeated<T> {
    fn start(mut state: T, mut step: impl FnMut(&mut T) + Send + 'static) -> Repeated<T> {
        let stopped = Arc::new(AtomicBool::new(false));
        let seen = stopped.clone();
        let thread = std::thread::spawn(move || {
            while !seen.load(Ordering::SeqCst) {
                step(&mut state);
            }
            state
        });
        Repeated { stopped, thread }
    }

    fn stop(self) -> T {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}

/// Returns the memory that the process holds by itself in KB, without the pages of its program file.
fn own_memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Records the peak of a process's memory.
pub struct MemoryWatch(Repeated<u64>);

impl MemoryWatch {
    pub fn start(process: u32) -> MemoryWatch {
        MemoryWatch(Repeated::start(0, move |peak_kb| {
            *peak_kb = (*peak_kb).max(own_memory_kb(process).unwrap_or(0));
            sleep(MEMORY_INTERVAL);
        }))
    }

    pub fn stop(self) -> u64 {
        self.0.stop()
    }
}

/// How well-behaved callers were served.
#[derive(Debug, Default)]
pub struct Service {
    pub served: usize,
    pub rejected: usize,
    pub unanswered: usize,
    latencies: Vec<Duration>,
}

impl Service {
    fn count(&mut self, status: Option<u16>, latency: Duration) {
        match status {
            Some(200) => self.served += 1,
            Some(503) => self.rejected += 1,
            _ => self.unanswered += 1,
        }
        self.latencies.push(latency);
    }

    pub fn summary(&self) -> String {
        format!(
            "{} served, {} rejected, {} unanswered, median {:?}, slowest {:?}",
            self.served,
            self.rejected,
            self.unanswered,
            self.median(),
            self.slowest()
        )
    }

    pub fn slowest(&self) -> Duration {
        self.latencies.iter().copied().max().unwrap_or_default()
    }

    pub fn median(&self) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        sorted.get(sorted.len() / 2).copied().unwrap_or_default()
    }
}

/// A well-behaved SCGI caller that repeats one request, each time on a new connection.
pub struct WellBehavedCaller(Repeated<Service>);

impl WellBehavedCaller {
    pub fn start(address: SocketAddr, request: Vec<u8>, timeout: Duration) -> WellBehavedCaller {
        WellBehavedCaller::repeat(move || exchange(address, &request, timeout))
    }

    /// A gateway that asks for the server's health, each time on a new connection.
    pub fn start_gateway(addresses: ServerAddresses) -> WellBehavedCaller {
        WellBehavedCaller::repeat(move || addresses.gateway()?.ping().then_some(200))
    }

    fn repeat(call: impl Fn() -> Option<u16> + Send + 'static) -> WellBehavedCaller {
        WellBehavedCaller(Repeated::start(
            Service::default(),
            move |service: &mut Service| {
                let sent = Instant::now();
                let status = call();
                service.count(status, sent.elapsed());
                sleep(CALL_INTERVAL);
            },
        ))
    }

    pub fn stop(self) -> Service {
        self.0.stop()
    }
}

/// Sends one SCGI request and returns the status of its answer, or `None` without one.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let status = answer.strip_prefix(b"Status: ")?.get(..3)?;
    std::str::from_utf8(status).ok()?.parse().ok()
}

/// One connection of a bad client, and what it still has to write.
struct BadClient {
    stream: TcpStream,
    bytes: Arc<[u8]>,
    written: usize,
    reads: bool,
}

impl BadClient {
    /// Writes up to `max_bytes`, and discards what has arrived.
    fn work(&mut self, max_bytes: usize) {
        let end = self.bytes.len().min(self.written + max_bytes);
        if let Ok(count) = self.stream.write(&self.bytes[self.written..end]) {
            self.written += count;
        }
        if self.reads {
            let _ = self.stream.read(&mut [0; 4096]);
        }
    }
}

/// How bad clients write and read.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Bytes that each client writes in a round of about 2 ms.
    pub bytes_per_round: usize,
    /// Whether the clients read what they are sent.
    pub reads: bool,
}

/// Bad clients, each with one connection that stays open until it is stopped.
pub struct BadClients(Repeated<Vec<BadClient>>);

impl BadClients {
    /// Connects `count` clients; the client with index i writes `bytes(i)`.
    pub fn start<B: Into<Arc<[u8]>>>(
        address: SocketAddr,
        count: usize,
        pace: Pace,
        bytes: impl Fn(usize) -> B,
    ) -> BadClients {
        let clients: Vec<BadClient> = (0..count)
            .filter_map(|index| {
                let stream = TcpStream::connect(address).ok()?;
                stream.set_nonblocking(true).ok()?;
                Some(BadClient {
                    stream,
                    bytes: bytes(index).into(),
                    written: 0,
                    reads: pace.reads,
                })
            })
            .collect();
        BadClients(Repeated::start(clients, move |clients| {
            for client in clients {
                client.work(pace.bytes_per_round);
            }
            sleep(ROUND_INTERVAL);
        }))
    }

    /// Closes all connections. Returns how many clients wrote all their bytes.
    pub fn stop(self) -> usize {
        let clients = self.0.stop();
        let complete = |client: &&BadClient| client.written == client.bytes.len();
        clients.iter().filter(complete).count()
    }
}

/// Encodes the request that a well-behaved caller repeats.
pub fn small_request() -> Vec<u8> {
    scgi::request("POST", "/read/small", &[], b"small")
}
