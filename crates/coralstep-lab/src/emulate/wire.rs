//! Network fault injection: a TCP relay that delays, truncates, corrupts, resets, leaves half-open or duplicates what it forwards.
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Probability of each fault per forwarded chunk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    pub delay: f64,
    pub cut: f64,
    pub garble: f64,
    pub reset: f64,
    pub half_open: f64,
    pub duplicate: f64,
}

/// Delay of a delayed chunk.
const CHUNK_DELAY: Duration = Duration::from_millis(50);

impl Faults {
    /// Parses a comma-separated list of `KIND=PART`.
    pub fn parse(text: &str) -> Result<Faults, String> {
        let mut faults = Faults::default();
        for word in text.split(',').filter(|word| !word.is_empty()) {
            let (kind, part) = word
                .split_once('=')
                .ok_or_else(|| format!("{word}: not KIND=PART"))?;
            let part: f64 = part
                .parse()
                .ok()
                .filter(|part| (0.0..=1.0).contains(part))
                .ok_or_else(|| format!("{word}: PART must be from 0 to 1"))?;
            match kind {
                "delay" => faults.delay = part,
                "cut" => faults.cut = part,
                "garble" => faults.garble = part,
                "reset" => faults.reset = part,
                "half-open" => faults.half_open = part,
                "duplicate" => faults.duplicate = part,
                _ => {
                    return Err(format!(
                        "{kind}: no fault; delay, cut, garble, reset, half-open, duplicate are"
                    ));
                }
            }
        }
        Ok(faults)
    }

    /// Returns the faults without those that change bytes.
    pub fn without_corruption(self) -> Faults {
        Faults {
            garble: 0.0,
            duplicate: 0.0,
            ..self
        }
    }

    fn draw(&self, chance: &mut SmallRng) -> Fault {
        let mut at: f64 = chance.random_range(0.0..1.0);
        for (part, fault) in [
            (self.delay, Fault::Delay),
            (self.cut, Fault::Cut),
            (self.garble, Fault::Garble),
            (self.reset, Fault::Reset),
            (self.half_open, Fault::HalfOpen),
            (self.duplicate, Fault::Duplicate),
        ] {
            at -= part;
            if at < 0.0 {
                return fault;
            }
        }
        Fault::None
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Delay,
    Cut,
    Garble,
    Reset,
    HalfOpen,
    Duplicate,
}

/// A relay that injects faults into the connections to one address.
pub struct FaultyRelay {
    pub address: SocketAddr,
    pub faults: Arc<Mutex<Faults>>,
    /// Number of faults injected.
    pub injected: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Drop for FaultyRelay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

impl FaultyRelay {
    /// Starts a relay to an address.
    pub fn start(to: SocketAddr, seed: u64) -> std::io::Result<FaultyRelay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (faults, injected) = (
            Arc::new(Mutex::new(Faults::default())),
            Arc::new(AtomicU64::new(0)),
        );
        let stop = Arc::new(AtomicBool::new(false));
        let (all, count, end) = (faults.clone(), injected.clone(), stop.clone());
        std::thread::spawn(move || {
            for (number, near) in listener.incoming().map_while(Result::ok).enumerate() {
                if end.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let seed = seed.wrapping_add(2 * number as u64);
                let both = near
                    .try_clone()
                    .and_then(|near| Ok((near, far.try_clone()?)));
                let Ok((near_out, far_out)) = both else {
                    continue;
                };
                let reset = Arc::new(AtomicBool::new(false));
                for (from, out, seed) in [(near, far_out, seed), (far, near_out, seed + 1)] {
                    let relay = Direction {
                        faults: all.clone(),
                        injected: count.clone(),
                        stop: end.clone(),
                        reset: reset.clone(),
                        chance: SmallRng::seed_from_u64(seed),
                    };
                    std::thread::spawn(move || relay.forward(from, out));
                }
            }
        });
        Ok(FaultyRelay {
            address,
            faults,
            injected,
            stop,
        })
    }
}

struct Direction {
    faults: Arc<Mutex<Faults>>,
    injected: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    /// Set when the other direction of the connection was reset.
    reset: Arc<AtomicBool>,
    chance: SmallRng,
}

impl Direction {
    /// Forwards one direction of a connection.
    fn forward(mut self, mut from: TcpStream, mut out: TcpStream) {
        let _ = (
            from.set_nodelay(true),
            out.set_nodelay(true),
            from.set_read_timeout(Some(Duration::from_millis(100))),
        );
        let mut bytes = [0; 8192];
        let mut discard = false;
        loop {
            let count = match from.read(&mut bytes) {
                Ok(0) => break,
                Ok(count) => count,
                Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if self.reset.load(Ordering::SeqCst) {
                        return;
                    }
                    if self.stop.load(Ordering::SeqCst) {
                        break;
                    }
                    continue;
                }
                Err(_) => break,
            };
            if discard {
                continue;
            }
            let faults = *self
                .faults
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            let fault = faults.draw(&mut self.chance);
            self.injected
                .fetch_add(u64::from(fault != Fault::None), Ordering::SeqCst);
            let chunk = &mut bytes[..count];
            let wrote = match fault {
                Fault::None => out.write_all(chunk),
                Fault::Delay => {
                    std::thread::sleep(CHUNK_DELAY);
                    out.write_all(chunk)
                }
                Fault::Garble => {
                    let at = self.chance.random_range(0..count);
                    chunk[at] ^= 1 << self.chance.random_range(0..8u32);
                    out.write_all(chunk)
                }
                Fault::Duplicate => out.write_all(chunk).and_then(|()| out.write_all(chunk)),
                Fault::Cut => {
                    let _ = out.write_all(&chunk[..count / 2]);
                    break;
                }
                Fault::Reset => {
                    let _ = socket2::SockRef::from(&out).set_linger(Some(Duration::ZERO));
                    let _ = socket2::SockRef::from(&from).set_linger(Some(Duration::ZERO));
                    // An orderly shutdown would hide the reset, so the other direction closes its halves without one.
                    return self.reset.store(true, Ordering::SeqCst);
                }
                // Silently discards everything from now on.
                Fault::HalfOpen => {
                    discard = true;
                    Ok(())
                }
            };
            if wrote.is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), out.shutdown(Shutdown::Both));
    }
}

#[cfg(test)]
mod tests;
