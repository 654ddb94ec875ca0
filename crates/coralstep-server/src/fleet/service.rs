//! Runs the fleet protocol of `coralstep-fleet`: receives and sends datagrams, drives its timers and applies new
//! configuration versions.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use coralstep::Span;
use coralstep_config::site::{FleetConfig, Silent};
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
use super::quotas::{LimitVersions, LimitsForVersion};
use super::recorder::Recorder;
use super::socket::{FleetSocket, ReceivedDatagram};
use super::wall_clock::{WallClock, unix_ms};
use crate::decisions::SchedulerHandle;
use crate::note;

/// Interval between two periodic updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of datagrams handled before the task yields to others.
const MAX_DATAGRAMS_PER_BATCH: usize = 32;
/// Pause after a socket error. The error is not logged: members detect an unreachable peer themselves.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Applies the content of a version as settings, or returns the reason why it is rejected.
pub type ApplyVersion = Box<dyn Fn(&str) -> Result<(), String>>;

/// Error that prevents this server from joining its fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetStartError {
    /// The listen address can't be bound.
    #[error("fleet.listen: {address}: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error returned by the system.
        source: io::Error,
    },
    /// The bound address can't be read.
    #[error("fleet.listen: {0}")]
    LocalAddress(#[source] io::Error),
    /// Peers would reject this server's name or address.
    #[error("name: {name:?} is not a valid member name")]
    InvalidName {
        /// The configured name.
        name: String,
    },
}

/// This server's membership in its fleet.
pub struct FleetService {
    pub(super) fleet: RefCell<Fleet>,
    pub(super) socket: FleetSocket,
    pub(super) wall_clock: WallClock,
    start: Instant,
    /// Number of datagrams that were rejected.
    pub(super) rejected_datagrams: Cell<u64>,
    recorder: Option<Recorder>,
    /// Whether persisted state has changed since the last record was queued.
    has_unsaved_changes: Cell<bool>,
    /// Fleet-wide limits; `None` if no servers are configured to grant shares.
    pub(super) quota: Option<Rc<RefCell<QuotaExtension>>>,
    pub(super) limits_for_version: LimitsForVersion,
    pub(super) limit_versions: Cell<Option<LimitVersions>>,
    /// Shared health of dependencies; `None` if sharing is not configured.
    pub(super) shared_health: Option<Rc<RefCell<SharedHealth>>>,
}

impl FleetService {
    /// Binds the fleet socket of the server `name` and restores its state from `state_dir`, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the name is not valid.
    pub fn bind(
        config: &FleetConfig,
        name: &str,
        seed: u64,
        state_dir: Option<&Path>,
        limits_for_version: LimitsForVersion,
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
            limits_for_version,
            limit_versions: Cell::new(None),
            shared_health,
        })
    }

    /// Returns the socket's local address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_address().ok()
    }

    pub(super) fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Makes the scheduler check each RPC against this server's exclusion and the fleet-wide limits.
    pub fn attach_to(self: &Rc<Self>, scheduler: &SchedulerHandle) {
        let service = self.clone();
        scheduler.set_exclusion_check(Rc::new(move || service.retry_after()));
        if self.quota.is_some() {
            scheduler.set_quota_limiter(self.clone());
        }
    }

    fn retry_after(&self) -> Option<Span> {
        // Skipped while the fleet is mutably borrowed.
        let mut fleet = self.fleet.try_borrow_mut().ok()?;
        fleet.retry_after(self.now()).map(Span::ms)
    }

    /// Receives datagrams, runs periodic updates and sends datagrams; never returns.
    pub async fn run(
        &self,
        scheduler: &SchedulerHandle,
        apply: &ApplyVersion,
        health_sources: &HealthSources,
    ) {
        let mut next_update = Instant::now();
        let mut buffer = vec![0; MAX_RECEIVED_BYTES + 1];
        loop {
            let update_due = async {
                Timer::at(next_update).await;
                None
            };
            let received = async { Some(self.socket.receive(&mut buffer).await) };
            // Guards against a flood of datagrams that starves the periodic update, which is polled first.
            match update_due.or(received).await {
                Some(Ok(received)) => {
                    self.receive_batch(received, &mut buffer);
                    yield_now().await;
                }
                Some(Err(_)) => drop(Timer::after(SOCKET_ERROR_PAUSE).await),
                None => {
                    next_update = Instant::now() + UPDATE_INTERVAL;
                    let update = || self.update(scheduler, apply, health_sources);
                    // Guards against a panic that ends the fleet task and all checks that depend on it.
                    if catch_unwind(AssertUnwindSafe(update)).is_err() {
                        note!("fleet: periodic update panicked");
                    }
                }
            }
            self.flush();
        }
    }

    fn receive_batch(&self, first: ReceivedDatagram, buffer: &mut [u8]) {
        self.handle_datagram(&buffer[..first.bytes], first.from);
        for _ in 1..MAX_DATAGRAMS_PER_BATCH {
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
        // Guards against a malformed datagram that makes the decoder panic.
        let is_accepted =
            self.socket.accepts(from) && catch_unwind(AssertUnwindSafe(handle)).unwrap_or(false);
        if !is_accepted {
            self.rejected_datagrams
                .set(self.rejected_datagrams.get() + 1);
        }
    }

    fn update(
        &self,
        scheduler: &SchedulerHandle,
        apply: &ApplyVersion,
        health_sources: &HealthSources,
    ) {
        let now = self.now();
        let counts = scheduler.request_counts();
        let rpcs = RpcCounts {
            submitted: counts.submitted,
            succeeded: counts.succeeded,
        };
        self.fleet
            .borrow_mut()
            .handle_timeout(now, self.wall_clock.now_ms(), rpcs);
        self.apply_pending_version(now, scheduler, apply);
        self.update_limits(now);
        self.exchange_health(now, scheduler, health_sources);
        self.save_changes();
        scheduler.update_exclusion();
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
        // The fleet must not be borrowed here: applying the version may call back into it.
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
        let is_queued = recorder.save(FleetRecord {
            active_version: snapshot.active_version,
            audit_entries: snapshot.audit_entries,
        });
        self.has_unsaved_changes.set(!is_queued);
    }

    /// Logs pending events and sends pending datagrams.
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

    /// Announces to the fleet that this server is leaving.
    pub fn leave(&self) {
        let wall_ms = self.wall_clock.now_ms();
        self.fleet.borrow_mut().leave(self.now(), wall_ms);
        self.flush();
    }
}

fn fleet_config(config: &FleetConfig, own: Member, seed: u64) -> coralstep_fleet::FleetConfig {
    coralstep_fleet::FleetConfig {
        name: config.name.clone(),
        own,
        peers: config.peers.clone(),
        max_lag: u64::from(config.behind_s) * 1_000,
        max_silence: u64::from(config.silent_s) * 1_000,
        exclude_when_isolated: config.silent == Silent::ShutOut,
        seed,
    }
}

/// Registers the quota extension, if servers are configured to grant shares.
fn register_quota(
    fleet: &mut Fleet,
    config: &FleetConfig,
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

/// Registers the shared-health extension, if it is configured.
fn register_shared_health(
    fleet: &mut Fleet,
    config: &FleetConfig,
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

/// Opens the record in `state_dir` and restores the fleet state from it.
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
