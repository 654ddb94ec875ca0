//! A member of a play that is no process of the program: it takes part in the fleet as they do, and what rides on it is the play's own, so it
//! may lie. Others reach it, and it them, over the same relays.
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use coralstep_fleet::extension::Registration;
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::{Fleet as Part, FleetConfig, Member};

use super::Fleet;

const TICK: Duration = Duration::from_millis(50);

pub struct Guest {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Guest {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().map(JoinHandle::join);
    }
}

impl Guest {
    /// Joins as `name`; `rides` makes what it says, on its own thread.
    pub fn join(
        fleet: &Fleet,
        name: &str,
        rides: impl FnOnce(&Member) -> Registration + Send + 'static,
    ) -> std::io::Result<Guest> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(TICK / 5))?;
        let at = socket.local_addr()?;
        fleet.links.add_guest(at);
        let peers: Vec<SocketAddr> = fleet.links.addresses.iter().copied().take(4).collect();
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let own = Member::new(name, at, unix);
        let terms = FleetConfig {
            name: super::processes::NAME.to_owned(),
            own: own.clone(),
            peers,
            max_lag: 3_600_000,
            max_silence: 3_600_000,
            exclude_when_isolated: false,
            seed: unix,
        };
        let stop = Arc::new(AtomicBool::new(false));
        let end = stop.clone();
        let thread = std::thread::spawn(move || {
            let start = Instant::now();
            let now = || start.elapsed().as_millis() as u64;
            let mut part = Part::new(terms, 0, unix);
            part.register(rides(&own));
            let (mut buffer, mut ticked) = ([0; 4096], Instant::now());
            while !end.load(Ordering::SeqCst) {
                if let Ok((count, _)) = socket.recv_from(&mut buffer) {
                    let _ = part.handle_datagram(now(), unix + now(), &buffer[..count]);
                }
                if ticked.elapsed() >= TICK {
                    ticked = Instant::now();
                    part.handle_timeout(now(), unix + now(), RpcCounts::default());
                    // It acts on whatever is there: nobody shuts it out for that.
                    if let Some(pending) = part.pending_version(now()) {
                        part.activate(now(), unix + now(), pending.id);
                    }
                }
                part.take_events();
                for datagram in part.take_datagrams() {
                    let _ = socket.send_to(&datagram.bytes, datagram.destination);
                }
            }
        });
        Ok(Guest {
            stop,
            thread: Some(thread),
        })
    }
}
