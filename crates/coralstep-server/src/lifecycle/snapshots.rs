//! Snapshots of what the scheduler learned, where the site file names a folder for them.
//!
//! They are restored once at start, and written at intervals and at the end of a drain. A thread of
//! its own writes: a disk that is slow, full or gone costs snapshots and a line in the log, never an
//! RPC.
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

/// Time between two looks at whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The last snapshot, at the end of a drain, is waited for at most this long.
const MAX_FINAL_WAIT: Duration = Duration::from_millis(60);
/// What a snapshot costs; its time is replaced by what it really took.
const ASSUMED_COST: StepCost = StepCost {
    time_ms: 20.0,
    cpu_ms: 1.0,
    bytes: 4_000.0,
};
/// Completions that may wait to be read.
const MAX_UNREAD_COMPLETIONS: usize = 4;

const TASK: TaskConfig = TaskConfig {
    name: "snapshot",
    weight: 1.0,
};

/// Writes snapshots beside serving, and restored the last one at start.
pub struct SnapshotService {
    /// Takes one snapshot at a time; `None` after the last.
    requests: RefCell<Option<SyncSender<Box<LearnedState>>>>,
    /// How long each snapshot took.
    completions: Receiver<Duration>,
    thread: RefCell<Option<JoinHandle<()>>>,
    interval: Duration,
}

impl SnapshotService {
    /// Opens the folder, restores what is there and starts the thread.
    ///
    /// Returns `None` if the folder or the thread is not to be had, which is logged: serving goes on
    /// without.
    pub fn start(
        terms: &StateConfig,
        config: &Config,
        scheduler: &SchedulerHandle,
    ) -> Option<SnapshotService> {
        let folder = terms.folder.display();
        let storage = DirStorage::open(&terms.folder)
            .inspect_err(|error| {
                note!(%folder, %error, "state folder unavailable, keeping no snapshots");
            })
            .ok()?;
        let fingerprint = fingerprint(config);
        let loaded = snapshot::load(&storage, &fingerprint, unix_time_s());
        log_rejected(&loaded);
        let last_sequence_number = loaded.last_sequence_number;
        restore(loaded, scheduler);

        let (requests, inbox) = sync_channel(1);
        let (outbox, completions) = sync_channel(MAX_UNREAD_COMPLETIONS);
        let writer = SnapshotWriter {
            storage,
            fingerprint,
            last_sequence_number,
            is_failing: false,
        };
        let thread = std::thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || writer.run(&inbox, &outbox))
            .inspect_err(|error| note!(%error, "no thread for snapshots, keeping none"))
            .ok()?;
        Some(SnapshotService {
            requests: RefCell::new(Some(requests)),
            completions,
            thread: RefCell::new(Some(thread)),
            interval: Duration::from_secs(u64::from(terms.every_s)),
        })
    }

    /// Requests snapshots at their interval, as far as the budget beside serving allows.
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
                // Its real cost follows with its completion.
                background.complete_step(TASK.name, StepCost::default());
            }
        }
    }

    /// Writes the last snapshot and waits for it for `MAX_FINAL_WAIT` at most: the process is about to end.
    pub fn finish(&self, scheduler: &SchedulerHandle) {
        while self.completions.try_recv().is_ok() {}
        let is_requested = self.request_snapshot(scheduler);
        if is_requested && self.completions.recv_timeout(MAX_FINAL_WAIT).is_err() {
            note!("last snapshot too slow, the one before it counts");
        }
        // Without a sender the thread ends; one that hangs in the disk is left to the system.
        self.requests.borrow_mut().take();
        let thread = self.thread.borrow_mut().take();
        if let Some(thread) = thread.filter(JoinHandle::is_finished) {
            let _ = thread.join();
        }
    }

    /// Hands a snapshot to the thread; `false` if one is still being written or there is nothing to
    /// write.
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

/// The part that runs on the thread.
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
            self.log_change(saved);
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

    /// Logs once that writing fails and once that it works again, not each attempt.
    fn log_change(&mut self, saved: Result<(), SaveError>) {
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
