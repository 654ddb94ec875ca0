//! A fleet member that runs inside the test instead of in a process of its own. It takes part in the membership protocol with extensions
//! of the test, which may send false reports, and communicates over the same relays.
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use coralstep_fleet::extension::Registration;
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::{Fleet as FleetMember, FleetConfig, Member};

use super::Fleet;

/// Interval between two calls of `handle_timeout`.
const TIMEOUT_INTERVAL: Duration = Duration::from_millis(50);

/// A running guest member; it stops when dropped.
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
    /// Joins the fleet as `name`; `extension` creates the guest's extension on the guest's thread.
    pub fn join(
        fleet: &Fleet,
        name: &str,
        extension: impl FnOnce(&Member) -> Registration + Send + 'static,
    ) -> std::io::Result<Guest> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(TIMEOUT_INTERVAL / 5))?;
        let at = socket.local_addr()?;
        fleet.links.add_guest(at);
        let peers: Vec<SocketAddr> = fleet.links.addresses.iter().copied().take(4).collect();
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let own = Member::new(name, at, unix);
        let config = FleetConfig {
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
            let mut member = FleetMember::new(config, 0, unix);
            member.register(extension(&own));
            let (mut buffer, mut last_timeout) = ([0; 4096], Instant::now());
            while !end.load(Ordering::SeqCst) {
                if let Ok((count, _)) = socket.recv_from(&mut buffer) {
                    let _ = member.handle_datagram(now(), unix + now(), &buffer[..count]);
                }
                if last_timeout.elapsed() >= TIMEOUT_INTERVAL {
                    last_timeout = Instant::now();
                    member.handle_timeout(now(), unix + now(), RpcCounts::default());
                    // Activates every version, so that the guest is never excluded as lagging.
                    if let Some(pending) = member.pending_version(now()) {
                        member.activate(now(), unix + now(), pending.id);
                    }
                }
                member.take_events();
                for datagram in member.take_datagrams() {
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
