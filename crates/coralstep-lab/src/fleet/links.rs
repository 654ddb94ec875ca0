//! The relays between processes: UDP, one before each process, which knows by the sender's address which link a datagram came on.
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

/// The longest wait before a relay looks at what is due, and whether it should stop where nothing is.
const LOOK: Duration = Duration::from_millis(2);
const IDLE: Duration = Duration::from_millis(50);
/// Datagrams that may be under way to one process.
const WAY_MOST: usize = 10_000;

/// In the place of a process's number, for who is none.
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
    /// Where a process listens, and who sends from there.
    listens: HashMap<usize, SocketAddr>,
    senders: HashMap<SocketAddr, usize>,
    faults: HashMap<(usize, usize), Fault>,
    /// Of links that have none of their own.
    all: Fault,
    /// Datagrams and bytes that came on each link.
    carried: HashMap<(usize, usize), (u64, u64)>,
}

pub struct Links {
    /// Where each process is reached.
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

/// On its way to a process, first what is due first.
struct Late(Instant, Vec<u8>);

impl PartialEq for Late {
    fn eq(&self, other: &Late) -> bool {
        self.0 == other.0
    }
}
impl Eq for Late {}
impl PartialOrd for Late {
    fn partial_cmp(&self, other: &Late) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Late {
    fn cmp(&self, other: &Late) -> std::cmp::Ordering {
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
            socket.set_read_timeout(Some(LOOK))?;
            addresses.push(socket.local_addr()?);
            let (table, stop) = (table.clone(), stop.clone());
            let chance = SmallRng::seed_from_u64(seed ^ (to as u64) << 32);
            threads.push(std::thread::spawn(move || {
                relay(&socket, to, &table, &stop, chance)
            }));
        }
        Ok(Links {
            addresses,
            table,
            stop,
            threads,
        })
    }

    /// Where process `of` listens, and sends from.
    pub fn listens(&self, of: usize, at: SocketAddr) {
        let mut table = lock(&self.table);
        table.senders.retain(|_, sender| *sender != of);
        table.senders.insert(at, of);
        table.listens.insert(of, at);
    }

    /// Who sends from there is no process, and is let through.
    pub fn guest(&self, at: SocketAddr) {
        lock(&self.table).senders.insert(at, GUEST);
    }

    /// What every link does that has no fault of its own.
    pub fn all(&self, fault: Fault) {
        lock(&self.table).all = fault;
    }

    /// The links from each of `from` to each of `to` do this.
    pub fn set(&self, from: &[usize], to: &[usize], fault: Fault) {
        let mut table = lock(&self.table);
        for from in from {
            table
                .faults
                .extend(to.iter().map(|to| ((*from, *to), fault)));
        }
    }

    /// Nobody of `one` reaches anybody of `other`, nor back.
    pub fn cut(&self, one: &[usize], other: &[usize]) {
        let cut = Fault {
            cut: true,
            ..Fault::default()
        };
        self.set(one, other, cut);
        self.set(other, one, cut);
    }

    /// No link has a fault any more.
    pub fn heal(&self) {
        let mut table = lock(&self.table);
        table.faults.clear();
        table.all = Fault::default();
    }

    /// Datagrams and bytes that process `from` has sent.
    pub fn sent(&self, from: usize) -> (u64, u64) {
        let table = lock(&self.table);
        let of = table.carried.iter().filter(|((by, _), _)| *by == from);
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
    mut chance: SmallRng,
) {
    let (mut way, mut buffer, mut idle) = (BinaryHeap::new(), [0; 4096], false);
    while !stop.load(Ordering::SeqCst) {
        // Guards against hundreds of relays that use the machine up by looking at nothing.
        if idle != way.is_empty() {
            idle = !idle;
            let _ = socket.set_read_timeout(Some(if idle { IDLE } else { LOOK }));
        }
        let came = socket.recv_from(&mut buffer);
        let now = Instant::now();
        let mut at = None;
        {
            let mut table = lock(table);
            at = table.listens.get(&to).copied().or(at);
            if let Ok((count, sender)) = came
                && let Some(from) = table.senders.get(&sender).copied()
            {
                let carried = table.carried.entry((from, to)).or_default();
                *carried = (carried.0 + 1, carried.1 + count as u64);
                let fault = table.faults.get(&(from, to)).copied().unwrap_or(table.all);
                let copies = usize::from(!fault.cut && !chance.random_bool(fault.loss));
                let copies = copies * (1 + usize::from(chance.random_bool(fault.doubled)));
                for _ in 0..copies {
                    let mut bytes = buffer[..count].to_vec();
                    if count > 0 && chance.random_bool(fault.garbled) {
                        bytes[chance.random_range(0..count)] ^= 1 << chance.random_range(0..8);
                    }
                    let delay =
                        chance.random_range(fault.delay.0..=fault.delay.1.max(fault.delay.0));
                    if way.len() < WAY_MOST {
                        way.push(Late(now + Duration::from_millis(delay), bytes));
                    }
                }
            }
        }
        while way.peek().is_some_and(|late: &Late| late.0 <= now) {
            if let (Some(Late(_, bytes)), Some(at)) = (way.pop(), at) {
                let _ = socket.send_to(&bytes, at);
            }
        }
    }
}
