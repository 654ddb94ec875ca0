//! UDP relays between processes, one in front of each process. The address of the sender identifies the link of a datagram.
use std::collections::{BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::emulate::lock;

/// Read timeout of a relay with pending datagrams, and without.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(2);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of pending datagrams to one process; more are dropped.
const MAX_PENDING: usize = 10_000;

/// Stands for a sender that is not a process of the play.
const GUEST: usize = usize::MAX;

/// What a link does to datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    pub cut: bool,
    pub loss: f64,
    pub doubled: f64,
    pub garbled: f64,
    /// Least and greatest delay, in milliseconds.
    pub delay: (u64, u64),
}

#[derive(Default)]
struct Table {
    /// Listening address of each process, and the process of each sender's address.
    listen_addresses: HashMap<usize, SocketAddr>,
    senders: HashMap<SocketAddr, usize>,
    faults: HashMap<(usize, usize), Fault>,
    /// Fault of all links without a fault of their own.
    default_fault: Fault,
    /// Number of datagrams and bytes received on each link.
    traffic: HashMap<(usize, usize), (u64, u64)>,
}

/// The relays of a play and the faults of their links.
pub struct Links {
    /// Address of the relay in front of each process.
    pub addresses: Vec<SocketAddr>,
    table: Arc<Mutex<Table>>,
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Drop for Links {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

/// A datagram to be delivered at a time; the earliest one orders first in a max-heap.
struct PendingDatagram(Instant, Vec<u8>);

impl PartialEq for PendingDatagram {
    fn eq(&self, other: &PendingDatagram) -> bool {
        self.0 == other.0
    }
}
impl Eq for PendingDatagram {}
impl PartialOrd for PendingDatagram {
    fn partial_cmp(&self, other: &PendingDatagram) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for PendingDatagram {
    fn cmp(&self, other: &PendingDatagram) -> std::cmp::Ordering {
        other.0.cmp(&self.0)
    }
}

impl Links {
    pub fn start(count: usize, seed: u64) -> std::io::Result<Links> {
        let (table, stop): (Arc<Mutex<Table>>, _) =
            (Arc::default(), Arc::new(AtomicBool::new(false)));
        let (mut addresses, mut threads) = (Vec::new(), Vec::new());
        for to in 0..count {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(BUSY_POLL_INTERVAL))?;
            addresses.push(socket.local_addr()?);
            let (table, stop) = (table.clone(), stop.clone());
            let rng = SmallRng::seed_from_u64(seed ^ (to as u64) << 32);
            threads.push(std::thread::spawn(move || {
                relay(&socket, to, &table, &stop, rng)
            }));
        }
        Ok(Links {
            addresses,
            table,
            stop,
            threads,
        })
    }

    /// Sets the address from which process `of` sends and on which it listens.
    pub fn set_listen_address(&self, of: usize, at: SocketAddr) {
        let mut table = lock(&self.table);
        table.senders.retain(|_, sender| *sender != of);
        table.senders.insert(at, of);
        table.listen_addresses.insert(of, at);
    }

    /// Relays datagrams from an address that belongs to no process.
    pub fn add_guest(&self, at: SocketAddr) {
        lock(&self.table).senders.insert(at, GUEST);
    }

    /// Sets the fault of every link without a fault of its own.
    pub fn set_default_fault(&self, fault: Fault) {
        lock(&self.table).default_fault = fault;
    }

    /// Sets the fault of the links from each process in `from` to each in `to`.
    pub fn set_faults(&self, from: &[usize], to: &[usize], fault: Fault) {
        let mut table = lock(&self.table);
        for from in from {
            table
                .faults
                .extend(to.iter().map(|to| ((*from, *to), fault)));
        }
    }

    /// Cuts all links between `one` and `other` in both directions.
    pub fn cut(&self, one: &[usize], other: &[usize]) {
        let cut = Fault {
            cut: true,
            ..Fault::default()
        };
        self.set_faults(one, other, cut);
        self.set_faults(other, one, cut);
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        let mut table = lock(&self.table);
        table.faults.clear();
        table.default_fault = Fault::default();
    }

    /// Returns the number of datagrams and bytes that process `from` has sent.
    pub fn sent_traffic(&self, from: usize) -> (u64, u64) {
        let table = lock(&self.table);
        let of = table.traffic.iter().filter(|((by, _), _)| *by == from);
        of.fold((0, 0), |sum, (_, carried)| {
            (sum.0 + carried.0, sum.1 + carried.1)
        })
    }
}

fn relay(
    socket: &UdpSocket,
    to: usize,
    table: &Mutex<Table>,
    stop: &AtomicBool,
    mut rng: SmallRng,
) {
    let (mut pending, mut buffer, mut idle) = (BinaryHeap::new(), [0; 4096], false);
    while !stop.load(Ordering::SeqCst) {
        // Guards against hundreds of idle relays that use up the CPU by polling.
        if idle != pending.is_empty() {
            idle = !idle;
            let _ = socket.set_read_timeout(Some(if idle {
                IDLE_POLL_INTERVAL
            } else {
                BUSY_POLL_INTERVAL
            }));
        }
        let received = socket.recv_from(&mut buffer);
        let now = Instant::now();
        let mut at = None;
        {
            let mut table = lock(table);
            at = table.listen_addresses.get(&to).copied().or(at);
            if let Ok((count, sender)) = received
                && let Some(from) = table.senders.get(&sender).copied()
            {
                let carried = table.traffic.entry((from, to)).or_default();
                *carried = (carried.0 + 1, carried.1 + count as u64);
                let fault = table
                    .faults
                    .get(&(from, to))
                    .copied()
                    .unwrap_or(table.default_fault);
                let copies = usize::from(!fault.cut && !rng.random_bool(fault.loss));
                let copies = copies * (1 + usize::from(rng.random_bool(fault.doubled)));
                for _ in 0..copies {
                    let mut bytes = buffer[..count].to_vec();
                    if count > 0 && rng.random_bool(fault.garbled) {
                        bytes[rng.random_range(0..count)] ^= 1 << rng.random_range(0..8);
                    }
                    let delay = rng.random_range(fault.delay.0..=fault.delay.1.max(fault.delay.0));
                    if pending.len() < MAX_PENDING {
                        pending.push(PendingDatagram(now + Duration::from_millis(delay), bytes));
                    }
                }
            }
        }
        while pending
            .peek()
            .is_some_and(|next: &PendingDatagram| next.0 <= now)
        {
            if let (Some(PendingDatagram(_, bytes)), Some(at)) = (pending.pop(), at) {
                let _ = socket.send_to(&bytes, at);
            }
        }
    }
}
