//! Snapshots of the state that the scheduler has learned, if the site file names a folder for them.
//!
//! A snapshot is restored at start, and snapshots are written at intervals and at the end of a drain.
//! A separate thread writes them, so a slow, full or failed disk causes missing snapshots and a log
//! line but delays no RPC.
use std::cell::RefCell;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use async_io::Timer;
use coralstep::LearnedState;
use coralstep_config::site::StateConfig;
use coralstep_state::DirStorage;
use coralstep_state::background::{BackgroundScheduler, Budget, StepCost, TaskConfig};
use coralstep_state::fingerprint::ConfigFingerprint;
use coralstep_state::snapshot::{
    self, LoadedSnapshots, RejectedSnapshot, SaveError, SequenceNumber, SnapshotError,
};

use crate::base::config::Config;
use crate::decisions::SchedulerHandle;
use crate::note;

/// Interval at which the service checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to wait for the final snapshot at the end of a drain.
const MAX_FINAL_WAIT: Duration = Duration::from_millis(60);
/// Assumed cost of a snapshot. The time is replaced by the measured time of each snapshot.
const ASSUMED_COST: StepCost = StepCost {
    time_ms: 20.0,
    cpu_ms: 1.0,
    bytes: 4_000.0,
};
/// Maximum number of completions that wait to be read.
const MAX_UNREAD_COMPLETIONS: usize = 4;

const TASK: TaskConfig = TaskConfig {
    name: "snapshot",
    weight: 1.0,
};

/// Restores the latest snapshot at start and writes snapshots in the background.
pub struct SnapshotService {
    /// Sends one snapshot at a time to the thread; `None` after the final one.
    requests: RefCell<Option<SyncSender<Box<LearnedState>>>>,
    /// Receives the time that each snapshot took.
    completions: Receiver<Duration>,
    thread: RefCell<Option<JoinHandle<()>>>,
    interval: Duration,
}

impl SnapshotService {
    /// Opens the folder, restores the latest snapshot and starts the thread.
    ///
    /// Returns `None` and logs the error if the folder can't be opened or the thread can't be
    /// started: the server then runs without snapshots.
    pub fn start(
        state_config: &StateConfig,
        config: &Config,
        scheduler: &SchedulerHandle,
    ) -> Option<SnapshotService> {
        let folder = state_config.folder.display();
        let storage = DirStorage::open(&state_config.folder)
            .inspect_err(|error| {
                note!(%folder, %error, "state folder unavailable, keeping no snapshots");
            })
            .ok()?;
        let fingerprint = fingerprint(config);
        let loaded = snapshot::load(&storage, &fingerprint, unix_time_s());
        log_rejected(&loaded);
        let last_sequence_number = loaded.last_sequence_number;
        restore(loaded, scheduler);

        let (requests, request_receiver) = sync_channel(1);
        let (completion_sender, completions) = sync_channel(MAX_UNREAD_COMPLETIONS);
        let writer = SnapshotWriter {
            storage,
            fingerprint,
            last_sequence_number,
            is_failing: false,
        };
        let thread = std::thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || writer.run(&request_receiver, &completion_sender))
            .inspect_err(
                |error| note!(%error, "snapshot thread could not be started, keeping no snapshots"),
            )
            .ok()?;
        Some(SnapshotService {
            requests: RefCell::new(Some(requests)),
            completions,
            thread: RefCell::new(Some(thread)),
            interval: Duration::from_secs(u64::from(state_config.every_s)),
        })
    }

    /// Requests snapshots at their interval, if the budget for background work allows it.
    pub async fn run(&self, scheduler: &SchedulerHandle) {
        let mut background = BackgroundScheduler::new(Budget::default(), &[TASK]);
        let start = Instant::now();
        let mut last_requested = start;
        loop {
            Timer::after(CHECK_INTERVAL).await;
            while let Ok(elapsed) = self.completions.try_recv() {
                background.complete_step(TASK.name, cost_of(elapsed));
            }
            let now_ms = start.elapsed().as_secs_f64() * 1_000.0;
            if last_requested.elapsed() >= self.interval {
                background.request_step(TASK.name, now_ms);
            }
            let may_request = background
                .next_step(now_ms, scheduler.utilization())
                .is_some();
            if may_request && self.request_snapshot(scheduler) {
                last_requested = Instant::now();
                // The completion reports the actual cost.
                background.complete_step(TASK.name, StepCost::default());
            }
        }
    }

    /// Writes the final snapshot before the process exits, waiting at most `MAX_FINAL_WAIT` for it.
    pub fn finish(&self, scheduler: &SchedulerHandle) {
        while self.completions.try_recv().is_ok() {}
        let is_requested = self.request_snapshot(scheduler);
        if is_requested && self.completions.recv_timeout(MAX_FINAL_WAIT).is_err() {
            note!("final snapshot not confirmed in time, the previous one may be restored");
        }
        // Dropping the sender ends the thread. A thread that is blocked on the disk is not joined.
        self.requests.borrow_mut().take();
        let thread = self.thread.borrow_mut().take();
        if let Some(thread) = thread.filter(JoinHandle::is_finished) {
            let _ = thread.join();
        }
    }

    /// Passes a snapshot to the thread. Returns `false` if one is still being written or the scheduler
    /// is not started.
    fn request_snapshot(&self, scheduler: &SchedulerHandle) -> bool {
        let Some(learned) = scheduler.learned_state() else {
            return false;
        };
        let requests = self.requests.borrow();
        requests
            .as_ref()
            .is_some_and(|requests| requests.try_send(Box::new(learned)).is_ok())
    }
}

/// Writes the snapshots on the thread.
struct SnapshotWriter {
    storage: DirStorage,
    fingerprint: ConfigFingerprint,
    last_sequence_number: SequenceNumber,
    is_failing: bool,
}

impl SnapshotWriter {
    fn run(mut self, requests: &Receiver<Box<LearnedState>>, completions: &SyncSender<Duration>) {
        while let Ok(learned) = requests.recv() {
            let started = Instant::now();
            let saved = self.save(&learned);
            self.log_state_change(saved);
            let _ = completions.try_send(started.elapsed());
        }
    }

    fn save(&mut self, learned: &LearnedState) -> Result<(), SaveError> {
        self.last_sequence_number = self.last_sequence_number.next();
        snapshot::save(
            &mut self.storage,
            learned,
            &self.fingerprint,
            self.last_sequence_number,
            unix_time_s(),
        )
    }

    /// Logs the first failure to write and the first success after failures.
    fn log_state_change(&mut self, saved: Result<(), SaveError>) {
        let was_failing = std::mem::replace(&mut self.is_failing, saved.is_err());
        match saved {
            Err(error) if !was_failing => {
                note!(%error, "snapshot not written, retrying at each interval");
            }
            Ok(()) if was_failing => note!("snapshots are written again"),
            _ => {}
        }
    }
}

fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_secs())
}

fn cost_of(elapsed: Duration) -> StepCost {
    StepCost {
        time_ms: elapsed.as_secs_f64() * 1_000.0,
        ..ASSUMED_COST
    }
}

fn fingerprint(config: &Config) -> ConfigFingerprint {
    ConfigFingerprint {
        server: config.name.clone(),
        cores: config.scheduler.cores,
        methods: config.names.methods.clone(),
        dependency_share: config.scheduler.dependency.share(),
        tenants: config.names.tenants.clone(),
    }
}

fn restore(loaded: LoadedSnapshots, scheduler: &SchedulerHandle) {
    let Some(restored) = loaded.restored else {
        return;
    };
    let confidence = restored.confidence;
    note!(
        sequence_number = %loaded.last_sequence_number,
        confidence = %format_args!("{confidence:.2}"),
        "snapshot restored"
    );
    scheduler.restore_at_start(restored.learned, confidence);
}

fn log_rejected(loaded: &LoadedSnapshots) {
    for RejectedSnapshot { file, error } in &loaded.rejected {
        match error {
            SnapshotError::NotFound => {}
            SnapshotError::Storage(error) => note!(file, %error, "snapshot unreadable"),
            SnapshotError::UnsupportedVersion { version } => {
                note!(file, version, "snapshot of a later version, left alone");
            }
            SnapshotError::Corrupt(part) => note!(file, error = %part, "snapshot corrupt"),
            SnapshotError::OtherServer { server } => {
                note!(file, server = %format_args!("{server:.64}"), "snapshot of another server, left alone");
            }
            SnapshotError::UntrustedAge { age_s } => note!(file, age_s, "snapshot too old"),
        }
    }
}
