//! Carries the fleet's datagrams: UDP from listed networks alone, a bounded number of bytes a second, ticks at their times. What a datagram
//! means is decided in `coralstep-fleet`; here its events become log lines, and a version becomes settings.
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_io::{Async, Timer};
use coralstep::Span;
use coralstep_config::site::{FleetConfig, Silent};
use coralstep_fleet::audit::AuditFilter;
use coralstep_fleet::datagram::MAX_RECEIVED_BYTES;
use coralstep_fleet::extension::{ExtensionId, Registration};
use coralstep_fleet::fleet::{MemberView, Publication, Snapshot, Transmit};
use coralstep_fleet::rollout::RpcCounts;
use coralstep_fleet::versions::{Fork, PublishedVersion, StoredVersion};
use coralstep_fleet::{Event, Fleet, Member, MemberState, Millis, VersionId};
use coralstep_quota::limit::stricter_limits;
use coralstep_quota::{Limit, Permit, QuotaExhausted, QuotaExtension, RequestKey};
use coralstep_shared_health::{BreakerState, LocalHealth, SharedHealth};
use coralstep_state::fleet_record::FleetRecord;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use ipnet::IpNet;
use serde_json::{Value, json};

use crate::base::log;
use crate::decisions::{BreakerStatus, QuotaLimiter, SchedulerHandle};
use crate::fleet::record::Recorder;
use crate::note;

/// Between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Bytes that may be sent a second, whatever the fleet's size, and at once.
const BYTES_A_SECOND: f64 = 64.0 * 1024.0;
/// Datagrams read in a row before others have their turn.
const AT_ONCE: usize = 32;

/// The dependency that the decisions know, by its name among the fleet.
const STORE: &str = "store";

/// Takes up the content of a version, or says why not.
pub type Take = Box<dyn Fn(&str) -> Result<(), String>>;

/// The limits of a version's content, or of the site file alone.
pub type LimitsOf = Box<dyn Fn(Option<&str>) -> Vec<Limit>>;

/// Hears what is seen of a dependency (name, state, failures and calls of late) and says what others saw: how much evidence does, and how
/// long a cooldown lasts from now.
pub type See<'a> = &'a mut dyn FnMut(&str, &'static str, u32, u32) -> (u32, Option<Duration>);

/// Passes on what is seen of dependencies beside the store: name, state, failures and calls of late; what others saw comes back.
pub type Watch = Box<dyn Fn(See<'_>)>;

pub struct Carrier {
    fleet: RefCell<Fleet>,
    socket: Async<UdpSocket>,
    networks: Vec<IpNet>,
    start: Instant,
    /// Bytes that may be sent now, and since when that is reckoned.
    budget: Cell<(f64, Instant)>,
    /// Datagrams that were not sent for it, and not believed.
    held_back: Cell<u64>,
    faults: Cell<u64>,
    recorder: Option<Recorder>,
    /// The record has changed and was not handed over yet.
    changed: Cell<bool>,
    /// Shares of the limits, where somebody may give them; whose limits hold now: acted on, and to be acted on.
    limits: Option<Rc<RefCell<QuotaExtension>>>,
    limits_of: LimitsOf,
    /// What is said of dependencies, where that is gone by.
    verdicts: Option<Rc<RefCell<SharedHealth>>>,
    hold: Cell<Option<(VersionId, VersionId)>>,
    /// For tests: whether the wall clock may be stepped, and by how much it is.
    steps: bool,
    offset_ms: Cell<i64>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn named(member: &Member) -> String {
    format!("{} at {}", member.name, member.address)
}

fn tell(event: &Event) {
    let said = match event {
        Event::MemberStateChanged { member, state } => {
            format!("{} is {}", named(member), state.name())
        }
        Event::Rejoined => "the others took this server for gone; it is back".to_owned(),
        Event::DuplicateName { known, joined } => {
            format!(
                "one name, two processes: {} and {}",
                named(known),
                named(joined)
            )
        }
        Event::VersionReceived(id) => format!("version {id} is here"),
        Event::VersionActivated(id) => format!("acts on version {id}"),
        Event::VersionRejected { version, reason } => {
            format!("turned version {version} down: {reason}")
        }
        Event::VersionFork(Fork { superseded, winner }) => {
            format!("a fork: {superseded} and {winner} replace the same version; {winner} holds")
        }
        Event::RolloutHalted { version, reason } => {
            format!("the wave of version {version} goes no further: {reason}")
        }
        Event::Excluded(why) => format!("shut out: {why:?}"),
        Event::Readmitted => "let in".to_owned(),
        Event::ExclusionLimitReached(id) => {
            format!(
                "too many would be shut out for version {id}: the version or the network is at fault"
            )
        }
        Event::AuditRecordAltered(name) => format!("the record of {name} is not what it was"),
        Event::ClockSkewed(name) => format!("the clock of {name} is too far ahead to be believed"),
        Event::ProcessPaused(ms) => format!("this process was paused for {ms} ms"),
    };
    // Guards against members that come and go without end, and talk all other lines away: their lines are a peer's.
    if matches!(
        event,
        Event::MemberStateChanged { .. } | Event::DuplicateName { .. } | Event::ClockSkewed(_)
    ) && log::admitted(Instant::now(), true).is_none()
    {
        return;
    }
    tracing::info!(target: "fleet", "fleet: {said}");
}

impl Carrier {
    /// `folder`: where the record is kept, where it is.
    pub fn bind(
        terms: &FleetConfig,
        name: &str,
        seed: u64,
        folder: Option<&Path>,
        limits_of: LimitsOf,
    ) -> Result<Carrier, String> {
        let socket = UdpSocket::bind(terms.listen).and_then(Async::new);
        let socket = socket.map_err(|why| format!("fleet.listen: {}: {why}", terms.listen))?;
        let bound = socket
            .get_ref()
            .local_addr()
            .map_err(|why| format!("fleet.listen: {why}"))?;
        let start = Instant::now();
        let own = Member::new(name, terms.advertise.unwrap_or(bound), unix_ms());
        if !own.is_valid() {
            return Err(format!("name: {name:?} is none that a fleet can hear"));
        }
        let config = coralstep_fleet::FleetConfig {
            name: terms.name.clone(),
            own,
            peers: terms.peers.clone(),
            max_lag: u64::from(terms.behind_s) * 1_000,
            max_silence: u64::from(terms.silent_s) * 1_000,
            exclude_when_isolated: terms.silent == Silent::ShutOut,
            seed,
        };
        let mut fleet = Fleet::new(config, 0, unix_ms());
        let limits = (!terms.keepers.is_empty()).then(|| {
            let lease = u64::from(terms.lease_ms);
            let limits = QuotaExtension::new(fleet.local_member(), &terms.keepers, lease, seed, 0);
            let limits = Rc::new(RefCell::new(limits));
            fleet.register(Registration::new(ExtensionId::Quota, limits.clone()));
            limits
        });
        let verdicts = terms.verdicts.map(|parts| {
            let verdicts = Rc::new(RefCell::new(SharedHealth::new(
                fleet.local_member(),
                parts,
                seed,
            )));
            fleet.register(Registration::new(
                ExtensionId::SharedHealth,
                verdicts.clone(),
            ));
            verdicts
        });
        let recorder = folder.and_then(Recorder::start).map(|(recorder, found)| {
            let found = Snapshot {
                active_version: found.active_version,
                audit_entries: found.audit_entries,
            };
            if found != Snapshot::default()
                && let Some(id) = fleet.restore(&found)
            {
                note!("fleet: version {id} was acted on before the restart");
            }
            recorder
        });
        Ok(Carrier {
            recorder,
            changed: Cell::new(false),
            limits,
            limits_of,
            verdicts,
            hold: Cell::new(None),
            steps: terms.clock_steps,
            offset_ms: Cell::new(0),
            fleet: RefCell::new(fleet),
            socket,
            networks: terms.networks.clone(),
            start,
            budget: Cell::new((BYTES_A_SECOND, start)),
            held_back: Cell::new(0),
            faults: Cell::new(0),
        })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.get_ref().local_addr().ok()
    }

    /// The Unix clock, for people and for the order across servers.
    fn wall_ms(&self) -> u64 {
        unix_ms().saturating_add_signed(self.offset_ms.get())
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// From here on each RPC is preceded by a look at whether this server is shut out.
    pub fn guard(self: &Rc<Self>, facade: &SchedulerHandle) {
        let carrier = self.clone();
        facade.set_fence_check(Rc::new(move || carrier.back()));
        if self.limits.is_some() {
            facade.set_quota_limiter(self.clone());
        }
    }

    fn back(&self) -> Option<Span> {
        // Never while something of the fleet's own is under way.
        let mut fleet = self.fleet.try_borrow_mut().ok()?;
        fleet.retry_after(self.now()).map(Span::ms)
    }

    /// Hears and speaks for good.
    pub async fn run(&self, facade: &SchedulerHandle, take: &Take, watch: &Watch) {
        let mut next = Instant::now();
        let mut buffer = vec![0; MAX_RECEIVED_BYTES + 1];
        loop {
            let beat = async {
                Timer::at(next).await;
                None
            };
            let heard = async { Some(self.socket.recv_from(&mut buffer).await) };
            // Guards against a flood of datagrams that lets no time pass: the beat comes first.
            match beat.or(heard).await {
                Some(Ok((count, from))) => {
                    self.heard(&buffer[..count], from);
                    for _ in 1..AT_ONCE {
                        let Ok((count, from)) = self.socket.get_ref().recv_from(&mut buffer) else {
                            break;
                        };
                        self.heard(&buffer[..count], from);
                    }
                    yield_now().await;
                }
                // A datagram that came back unreachable says nothing that the members don't find out.
                Some(Err(_)) => drop(Timer::after(Duration::from_millis(1)).await),
                None => {
                    next = Instant::now() + TICK;
                    // Guards against a fault of one moment that ends the part, and with it all that it guards.
                    if catch_unwind(AssertUnwindSafe(|| self.tick(facade, take, watch))).is_err() {
                        note!("a tick of the fleet ended by a panic");
                    }
                }
            }
            self.flush();
        }
    }

    fn heard(&self, bytes: &[u8], from: SocketAddr) {
        let listed = self
            .networks
            .iter()
            .any(|network| network.contains(&from.ip()));
        // Guards against a peer's bytes that end the process by a fault in what reads them.
        let read = || {
            self.fleet
                .borrow_mut()
                .handle_datagram(self.now(), self.wall_ms(), bytes)
                .is_ok()
        };
        let heard = listed && catch_unwind(AssertUnwindSafe(read)).unwrap_or(false);
        self.faults.set(self.faults.get() + u64::from(!heard));
    }

    fn tick(&self, facade: &SchedulerHandle, take: &Take, watch: &Watch) {
        let now = self.now();
        let counts = facade.request_counts();
        let rpcs = RpcCounts {
            decided: counts.submitted,
            succeeded: counts.succeeded,
        };
        self.fleet.borrow_mut().tick(now, self.wall_ms(), rpcs);
        let pending = self.fleet.borrow_mut().pending_version(now);
        if let Some(PublishedVersion { id, version }) = pending {
            // Taken up without a hold on the fleet: what it changes may ask.
            let taken = take(&version.content);
            let mut fleet = self.fleet.borrow_mut();
            match taken {
                Ok(()) => {
                    facade.handle_config_change();
                    fleet.activate(now, self.wall_ms(), id);
                    self.changed.set(true);
                }
                Err(why) => fleet.reject(now, id, &why),
            }
        }
        self.set_limits(now);
        self.see(now, facade, watch);
        if self.changed.get()
            && let Some(recorder) = &self.recorder
        {
            let snapshot = self.fleet.borrow().snapshot();
            let record = FleetRecord {
                active_version: snapshot.active_version,
                audit_entries: snapshot.audit_entries,
            };
            self.changed.set(!recorder.save(record));
        }
        facade.apply_fence();
    }

    /// What this server's breakers see is said; what the others say is passed to the decisions, and to who chooses among applications.
    fn see(&self, now: Millis, facade: &SchedulerHandle, watch: &Watch) {
        let Some(verdicts) = &self.verdicts else {
            return;
        };
        let all = [
            BreakerState::Closed,
            BreakerState::Open,
            BreakerState::HalfOpen,
        ];
        let see = |name: &str, state: &str, failures: u32, calls: u32| {
            let state = all
                .into_iter()
                .find(|one| one.name() == state)
                .unwrap_or_default();
            let advice = verdicts.borrow_mut().observe(
                now,
                name,
                LocalHealth {
                    state,
                    failures,
                    calls,
                },
            );
            (
                advice.min_outcomes,
                advice.cooldown_left_ms.map(Duration::from_millis),
            )
        };
        if let Some(status) = facade.breaker_status() {
            let BreakerStatus {
                state,
                failures,
                calls,
            } = status;
            let (need, left) = see(STORE, state, failures, calls);
            facade.apply_peer_reports(need, left);
        }
        watch(&mut |name, state, failures, calls| see(name, state, failures, calls));
    }

    /// Of the version that is acted on and the one that is to be acted on the lower limits hold: during a wave both are in use.
    fn set_limits(&self, now: Millis) {
        let Some(limits) = &self.limits else { return };
        let fleet = self.fleet.borrow();
        let (acts_on, wanted) = (fleet.active_version(), fleet.versions().newest_accepted());
        let to_come = wanted.filter(|stored| stored.id > acts_on);
        let hold = (acts_on, to_come.map(|stored| stored.id).unwrap_or_default());
        if self.hold.replace(Some(hold)) == Some(hold) {
            return;
        }
        let content = fleet
            .versions()
            .get(acts_on)
            .map(|version| version.content.as_str());
        let mut all = (self.limits_of)(content);
        if let Some(stored) = to_come {
            let content = &stored.version.content;
            all = stricter_limits(&all, &(self.limits_of)(Some(content)));
        }
        limits.borrow_mut().set_limits(now, &all);
    }

    fn flush(&self) {
        if let Some(limits) = &self.limits {
            let events = limits.borrow_mut().take_events();
            events
                .iter()
                .for_each(|event| tracing::info!(target: "limits", "limits: {event}"));
        }
        if let Some(verdicts) = &self.verdicts {
            let events = verdicts.borrow_mut().take_events();
            events
                .iter()
                .for_each(|event| tracing::info!(target: "verdicts", "verdicts: {event}"));
        }
        let (events, send) = {
            let mut fleet = self.fleet.borrow_mut();
            (fleet.take_events(), fleet.take_datagrams())
        };
        events.iter().for_each(tell);
        for Transmit { destination, bytes } in send {
            let (left, since) = self.budget.get();
            let left = (left + since.elapsed().as_secs_f64() * BYTES_A_SECOND).min(BYTES_A_SECOND);
            let may = left >= bytes.len() as f64;
            self.budget.set((
                left - if may { bytes.len() as f64 } else { 0.0 },
                Instant::now(),
            ));
            if !may || self.socket.get_ref().send_to(&bytes, destination).is_err() {
                self.held_back.set(self.held_back.get() + 1);
            }
        }
    }

    /// Tells the others that this server leaves.
    pub fn leave(&self) {
        self.fleet.borrow_mut().leave(self.now(), self.wall_ms());
        self.flush();
    }

    /// Members, an object each.
    pub fn members(&self) -> Value {
        let fleet = self.fleet.borrow();
        let one = |view: MemberView| {
            json!({
                "server": view.member.name, "address": view.member.address.to_string(), "state": view.state.name(),
                "version": view.active_version.map(|id| id.to_string()), "age_ms": view.age_ms,
            })
        };
        let members: Vec<Value> = fleet.members(self.now()).into_iter().map(one).collect();
        json!({ "members": members, "shut": fleet.exclusion(), "not_believed": self.faults.get(), "held_back": self.held_back.get() })
    }

    /// Servers of the fleet that are not known to have gone, this one among them.
    pub fn count(&self) -> usize {
        let members = self.fleet.borrow().members(self.now());
        members
            .iter()
            .filter(|view| view.state != MemberState::Down)
            .count()
            .max(1)
    }

    pub fn versions(&self) -> Value {
        let fleet = self.fleet.borrow();
        let versions = fleet.versions();
        let one = |StoredVersion { id, version, .. }: &StoredVersion| {
            json!({
                "version": id.to_string(), "replaces": version.replaces.to_string(), "by": version.publisher, "at_ms": version.published_at_ms,
                "must": version.mandatory, "waves": version.stages, "pause_ms": version.stage_pause_ms, "bytes": version.content.len(),
                "acts_on": fleet.active_version() == *id, "turned_down": versions.rejection_reason(*id),
            })
        };
        let forks: Vec<[String; 2]> = versions
            .forks()
            .iter()
            .map(|fork| [fork.superseded.to_string(), fork.winner.to_string()])
            .collect();
        json!({ "versions": versions.iter().map(one).collect::<Vec<Value>>(), "forks": forks })
    }

    pub fn audit(&self, filter: &AuditFilter) -> Value {
        let one = |row: coralstep_fleet::audit::AuditRow| {
            json!({
                "server": row.server, "version": row.version.to_string(), "from_ms": row.from_ms, "to_ms": row.to_ms,
                "rpcs": row.rpcs, "age_ms": row.age_ms, "known": row.known,
            })
        };
        let rows = self.fleet.borrow().audit(self.now(), filter);
        json!({ "audit": rows.into_iter().map(one).collect::<Vec<Value>>() })
    }

    pub fn publish(
        &self,
        content: String,
        must: bool,
        waves: Vec<f32>,
        pause_ms: u64,
    ) -> Result<VersionId, String> {
        let publication = Publication {
            content,
            mandatory: must,
            stages: waves,
            stage_pause_ms: pause_ms,
        };
        let published = self
            .fleet
            .borrow_mut()
            .publish(self.now(), self.wall_ms(), publication);
        let id = published.map_err(|error| error.to_string())?;
        self.flush();
        Ok(id)
    }

    /// Shuts a server out or lets it in, by hand: this one, or any that is known here.
    pub fn by_hand(&self, server: &str, shut: bool) -> Result<(), String> {
        self.fleet
            .borrow_mut()
            .set_excluded(self.now(), server, shut)
            .map_err(|error| error.to_string())?;
        self.flush();
        Ok(())
    }

    /// Shares of the limits by server.
    pub fn limits(&self) -> Value {
        let rows = self
            .limits
            .as_ref()
            .map(|limits| limits.borrow().share_rows(self.now()))
            .unwrap_or_default();
        json!({ "limits": rows })
    }

    /// What each server says of each dependency, and whose trouble it is as far as this one can tell.
    pub fn verdicts(&self) -> Value {
        let Some(verdicts) = &self.verdicts else {
            return json!({ "verdicts": [] });
        };
        let verdicts = verdicts.borrow();
        let whose: std::collections::BTreeMap<&str, &str> = verdicts
            .fault_sources()
            .map(|(name, source)| (name, source.json_name()))
            .collect();
        json!({ "verdicts": verdicts.rows(self.now()), "whose": whose })
    }

    /// For tests: steps the wall clock that this server goes by, where its site file lets it.
    pub fn step_clock(&self, offset_ms: i64) -> Result<(), String> {
        if !self.steps {
            return Err("the site file's fleet.clock_steps is not set".to_owned());
        }
        self.offset_ms.set(offset_ms);
        Ok(())
    }
}

impl QuotaLimiter for Carrier {
    fn take(&self, request: RequestKey, covers_ms: u64) -> Result<Permit, QuotaExhausted> {
        let Some(limits) = &self.limits else {
            return Ok(Permit::default());
        };
        limits.borrow_mut().admit(self.now(), request, covers_ms)
    }

    fn give_back(&self, permit: Permit) {
        if let Some(limits) = &self.limits {
            limits.borrow_mut().release(permit);
        }
    }
}
