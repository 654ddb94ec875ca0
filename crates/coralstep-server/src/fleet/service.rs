//! The fleet at work: datagrams in and out, ticks at their times, a version taken up as settings. What a datagram means is
//! decided in `coralstep-fleet`.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use coralstep::Span;
use coralstep_config::site::{FleetSection, IsolationPolicy};
use coralstep_fleet::datagram::MAX_RECEIVED_BYTES;
use coralstep_fleet::extension::{ExtensionId, Registration};
use coralstep_fleet::fleet::Snapshot;
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::versions::PublishedVersion;
use coralstep_fleet::{Fleet, Member, Millis};
use coralstep_quota::QuotaExtension;
use coralstep_shared_health::SharedHealth;
use coralstep_state::fleet_record::FleetRecord;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;

use super::event_log::log_event;
use super::health_exchange::HealthSources;
use super::quotas::{LimitVersions, LimitsOfVersion};
use super::recorder::Recorder;
use super::socket::{FleetSocket, Received};
use super::wall_clock::{WallClock, unix_ms};
use crate::decisions::SchedulerHandle;
use crate::note;

/// Between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Datagrams that are read in a row before other tasks have their turn.
const MAX_DATAGRAMS_IN_A_ROW: usize = 32;
/// Pause after an error of the socket. It says nothing that the members don't find out.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Takes up the content of a version as settings, or says why it can't be.
pub type ApplyVersion = Box<dyn Fn(&str) -> Result<(), String>>;

/// The fleet can't be joined.
#[derive(Debug, thiserror::Error)]
pub enum FleetStartError {
    /// The address can't be bound.
    #[error("fleet.listen: {address}: {source}")]
    Bind {
        /// The address as it is configured.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The system does not tell the address that was bound.
    #[error("fleet.listen: {0}")]
    LocalAddress(#[source] io::Error),
    /// The server's name or address is none that other servers accept.
    #[error("name: {name:?} is none that a fleet can hear")]
    InvalidName {
        /// The name as it is configured.
        name: String,
    },
}

/// This server's part in its fleet.
pub struct FleetService {
    pub(super) fleet: RefCell<Fleet>,
    pub(super) socket: FleetSocket,
    pub(super) wall_clock: WallClock,
    start: Instant,
    /// Datagrams that were not believed.
    pub(super) rejected_datagrams: Cell<u64>,
    recorder: Option<Recorder>,
    /// Whether what outlives a restart has changed and was not handed to the recorder yet.
    has_unsaved_changes: Cell<bool>,
    /// The fleet's limits, where servers are named that may grant shares of them.
    pub(super) quota: Option<Rc<RefCell<QuotaExtension>>>,
    pub(super) limits_of: LimitsOfVersion,
    pub(super) limit_versions: Cell<Option<LimitVersions>>,
    /// The health of dependencies, where it is shared.
    pub(super) shared_health: Option<Rc<RefCell<SharedHealth>>>,
}

impl FleetService {
    /// Binds the fleet's socket for the server `name`. What outlives a restart is kept in `state_dir`, where there is one.
    ///
    /// # Errors
    ///
    /// Why the fleet can't be joined.
    pub fn bind(
        config: &FleetSection,
        name: &str,
        seed: u64,
        state_dir: Option<&Path>,
        limits_of: LimitsOfVersion,
    ) -> Result<FleetService, FleetStartError> {
        let address = config.listen;
        let socket = FleetSocket::bind(address, config.networks.clone())
            .map_err(|source| FleetStartError::Bind { address, source })?;
        let bound = socket
            .local_address()
            .map_err(FleetStartError::LocalAddress)?;
        let own = Member::new(name, config.advertise.unwrap_or(bound), unix_ms());
        if !own.is_valid() {
            let name = name.to_owned();
            return Err(FleetStartError::InvalidName { name });
        }
        let mut fleet = Fleet::new(fleet_config(config, own, seed), 0, unix_ms());
        let quota = register_quota(&mut fleet, config, seed);
        let shared_health = register_shared_health(&mut fleet, config, seed);
        let recorder = state_dir.and_then(|dir| restore(&mut fleet, dir));
        Ok(FleetService {
            fleet: RefCell::new(fleet),
            socket,
            wall_clock: WallClock::new(config.clock_steps),
            start: Instant::now(),
            rejected_datagrams: Cell::new(0),
            recorder,
            has_unsaved_changes: Cell::new(false),
            quota,
            limits_of,
            limit_versions: Cell::new(None),
            shared_health,
        })
    }

    /// Returns the address of the socket.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_address().ok()
    }

    pub(super) fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// From here on the scheduler asks before each RPC whether this server is excluded, and for the fleet's limits.
    pub fn guard(self: &Rc<Self>, scheduler: &SchedulerHandle) {
        let service = self.clone();
        scheduler.set_fence_check(Rc::new(move || service.retry_after()));
        if self.quota.is_some() {
            scheduler.set_quota_limiter(self.clone());
        }
    }

    fn retry_after(&self) -> Option<Span> {
        // Not asked while the fleet itself is at work.
        let mut fleet = self.fleet.try_borrow_mut().ok()?;
        fleet.retry_after(self.now()).map(Span::ms)
    }

    /// Receives, ticks and sends without end.
    pub async fn run(
        &self,
        scheduler: &SchedulerHandle,
        apply: &ApplyVersion,
        health_sources: &HealthSources,
    ) {
        let mut next_tick = Instant::now();
        let mut buffer = vec![0; MAX_RECEIVED_BYTES + 1];
        loop {
            let tick = async {
                Timer::at(next_tick).await;
                None
            };
            let received = async { Some(self.socket.receive(&mut buffer).await) };
            // Guards against a flood of datagrams that lets no time pass: the tick comes first.
            match tick.or(received).await {
                Some(Ok(received)) => {
                    self.receive_in_a_row(received, &mut buffer);
                    yield_now().await;
                }
                Some(Err(_)) => drop(Timer::after(SOCKET_ERROR_PAUSE).await),
                None => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    let tick = || self.tick(scheduler, apply, health_sources);
                    // Guards against one fault that ends the fleet's task, and with it all that it guards.
                    if catch_unwind(AssertUnwindSafe(tick)).is_err() {
                        note!("a tick of the fleet ended by a panic");
                    }
                }
            }
            self.flush();
        }
    }

    fn receive_in_a_row(&self, first: Received, buffer: &mut [u8]) {
        self.handle_datagram(&buffer[..first.bytes], first.from);
        for _ in 1..MAX_DATAGRAMS_IN_A_ROW {
            let Ok(next) = self.socket.try_receive(buffer) else {
                break;
            };
            self.handle_datagram(&buffer[..next.bytes], next.from);
        }
    }

    fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) {
        let handle = || {
            self.fleet
                .borrow_mut()
                .handle_datagram(self.now(), self.wall_clock.now_ms(), bytes)
                .is_ok()
        };
        // Guards against a peer's bytes that end the process by a fault in what reads them.
        let is_believed =
            self.socket.accepts(from) && catch_unwind(AssertUnwindSafe(handle)).unwrap_or(false);
        if !is_believed {
            self.rejected_datagrams
                .set(self.rejected_datagrams.get() + 1);
        }
    }

    fn tick(
        &self,
        scheduler: &SchedulerHandle,
        apply: &ApplyVersion,
        health_sources: &HealthSources,
    ) {
        let now = self.now();
        let counts = scheduler.request_counts();
        let rpcs = RpcCounts {
            decided: counts.submitted,
            succeeded: counts.succeeded,
        };
        self.fleet
            .borrow_mut()
            .handle_timeout(now, self.wall_clock.now_ms(), rpcs);
        self.apply_pending_version(now, scheduler, apply);
        self.update_limits(now);
        self.exchange_health(now, scheduler, health_sources);
        self.save_changes();
        scheduler.update_fence();
    }

    fn apply_pending_version(
        &self,
        now: Millis,
        scheduler: &SchedulerHandle,
        apply: &ApplyVersion,
    ) {
        let pending = self.fleet.borrow_mut().pending_version(now);
        let Some(PublishedVersion { id, version }) = pending else {
            return;
        };
        // Applied without a borrow of the fleet: what it changes may ask the fleet.
        let applied = apply(&version.content);
        let mut fleet = self.fleet.borrow_mut();
        match applied {
            Ok(()) => {
                scheduler.handle_config_change();
                fleet.activate(now, self.wall_clock.now_ms(), id);
                self.has_unsaved_changes.set(true);
            }
            Err(reason) => fleet.reject(now, id, &reason),
        }
    }

    fn save_changes(&self) {
        let Some(recorder) = &self.recorder else {
            return;
        };
        if !self.has_unsaved_changes.get() {
            return;
        }
        let snapshot = self.fleet.borrow().snapshot();
        let is_handed_over = recorder.save(FleetRecord {
            active_version: snapshot.active_version,
            audit_entries: snapshot.audit_entries,
        });
        self.has_unsaved_changes.set(!is_handed_over);
    }

    /// Logs the events and sends the datagrams that wait.
    pub(super) fn flush(&self) {
        if let Some(quota) = &self.quota {
            for event in quota.borrow_mut().take_events() {
                tracing::info!(target: "limits", "limits: {event}");
            }
        }
        if let Some(shared_health) = &self.shared_health {
            for event in shared_health.borrow_mut().take_events() {
                tracing::info!(target: "verdicts", "verdicts: {event}");
            }
        }
        let mut fleet = self.fleet.borrow_mut();
        let events = fleet.take_events();
        let datagrams = fleet.take_datagrams();
        drop(fleet);
        events.iter().for_each(log_event);
        self.socket.send(&datagrams);
    }

    /// Announces that this server leaves.
    pub fn leave(&self) {
        let wall_ms = self.wall_clock.now_ms();
        self.fleet.borrow_mut().leave(self.now(), wall_ms);
        self.flush();
    }
}

fn fleet_config(config: &FleetSection, own: Member, seed: u64) -> coralstep_fleet::FleetConfig {
    coralstep_fleet::FleetConfig {
        name: config.name.clone(),
        own,
        peers: config.peers.clone(),
        max_lag: u64::from(config.behind_s) * 1_000,
        max_silence: u64::from(config.silent_s) * 1_000,
        exclude_when_isolated: config.silent == IsolationPolicy::Exclude,
        seed,
    }
}

/// Registers the fleet's limits, where servers are named that may grant shares of them.
fn register_quota(
    fleet: &mut Fleet,
    config: &FleetSection,
    seed: u64,
) -> Option<Rc<RefCell<QuotaExtension>>> {
    if config.keepers.is_empty() {
        return None;
    }
    let lease_ms = u64::from(config.lease_ms);
    let own = fleet.local_member();
    let quota = QuotaExtension::new(own, &config.keepers, lease_ms, seed, 0);
    let quota = Rc::new(RefCell::new(quota));
    fleet.register(Registration::new(ExtensionId::Quota, quota.clone()));
    Some(quota)
}

/// Registers the shared health of dependencies, where it is configured.
fn register_shared_health(
    fleet: &mut Fleet,
    config: &FleetSection,
    seed: u64,
) -> Option<Rc<RefCell<SharedHealth>>> {
    let sharing = config.verdicts?;
    let shared_health = SharedHealth::new(fleet.local_member(), sharing, seed);
    let shared_health = Rc::new(RefCell::new(shared_health));
    fleet.register(Registration::new(
        ExtensionId::SharedHealth,
        shared_health.clone(),
    ));
    Some(shared_health)
}

/// Opens the record in `state_dir` and takes in what it holds.
fn restore(fleet: &mut Fleet, state_dir: &Path) -> Option<Recorder> {
    let (recorder, record) = Recorder::start(state_dir)?;
    let snapshot = Snapshot {
        active_version: record.active_version,
        audit_entries: record.audit_entries,
    };
    if snapshot != Snapshot::default()
        && let Some(version) = fleet.restore(&snapshot)
    {
        note!("fleet: version {version} was active before the restart");
    }
    Some(recorder)
}
