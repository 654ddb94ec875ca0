//! Keeps what the decisions learned over a restart, where the site file names a folder. A thread of its own reads and writes: a disk that is
//! slow, full or gone costs snapshots and an event, never an RPC.
use std::cell::RefCell;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

use async_io::Timer;
use coralstep::LearnedState;
use coralstep_config::site::StateConfig;
use coralstep_state::DirStorage;
use coralstep_state::background::{BackgroundScheduler, Budget, StepCost, TaskConfig};
use coralstep_state::fingerprint::Fingerprint;
use coralstep_state::snapshot::{self, LoadedSnapshots, RejectedSnapshot, SnapshotError};
use coralstep_state::storage::StorageError;

use crate::base::config::Config;
use crate::decisions::SchedulerHandle;
use crate::note;

/// What is due is looked at this often.
const LOOK: Duration = Duration::from_secs(1);
/// The last snapshot, at the end of a drain, is waited for at most so long; then the one before it counts.
const LAST: Duration = Duration::from_millis(60);
/// A snapshot costs about so much, before any was taken.
const GUESS: StepCost = StepCost {
    time_ms: 20.0,
    cpu_ms: 1.0,
    bytes: 4_000.0,
};
const SNAPSHOT: &str = "snapshot";

fn now_s() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

fn fingerprint(config: &Config) -> Fingerprint {
    Fingerprint {
        server: config.name.clone(),
        cores: config.terms.cores,
        methods: config.names.methods.clone(),
        dependency_share: config.terms.dependency.share(),
        tenants: config.names.tenants.clone(),
    }
}

/// To be written by the thread; it says how long each took.
type Work = Box<LearnedState>;

pub struct Keeper {
    works: RefCell<Option<SyncSender<Work>>>,
    done: Receiver<Duration>,
    thread: RefCell<Option<JoinHandle<()>>>,
    every: Duration,
}

fn tell(found: &LoadedSnapshots) {
    for RejectedSnapshot { file: name, error } in &found.rejected {
        match error {
            SnapshotError::Storage(StorageError::Io { source, .. }) => {
                note!("state: {name}: {source}");
            }
            SnapshotError::Storage(error) => note!("state: {name}: {error}"),
            SnapshotError::UnsupportedVersion { version } => {
                note!("state: {name} is of version {version}, later than ours; it is left alone")
            }
            SnapshotError::Corrupt(_) => {
                note!("state: {name} is spoilt; nothing of it is believed")
            }
            SnapshotError::OtherServer { server: of } => {
                note!("state: {name} is of another server, {of:.64}; it is left alone")
            }
            SnapshotError::UntrustedAge { age_s } => {
                note!("state: {name} is {age_s} s old; nothing of it is believed")
            }
            SnapshotError::NotFound => {}
        }
    }
}

impl Keeper {
    /// Opens the folder and takes in what is there; none where the folder can't be had, which is told, and serving goes on without.
    pub fn start(terms: &StateConfig, config: &Config, facade: &SchedulerHandle) -> Option<Keeper> {
        let of = fingerprint(config);
        let mut folder = match DirStorage::open(&terms.folder) {
            Ok(folder) => folder,
            Err(why) => {
                note!("state: {}: {why}; nothing is kept", terms.folder.display());
                return None;
            }
        };
        let found = snapshot::load(&folder, &of, now_s());
        tell(&found);
        if let Some(restored) = found.restored {
            let trust = restored.confidence;
            note!(
                "state: snapshot {} is taken in, trusted {trust:.2}",
                found.last_sequence_number
            );
            facade.restore_at_start(restored.learned, trust);
        }
        let (works, inbox) = sync_channel::<Work>(1);
        let (told, done) = sync_channel(4);
        let mut number = found.last_sequence_number;
        let write = move || {
            let mut failed = false;
            while let Ok(learned) = inbox.recv() {
                number += 1;
                let began = Instant::now();
                let saved = snapshot::save(&mut folder, &learned, &of, number, now_s());
                // Told once a change, not once a try.
                match saved {
                    Err(why) if !std::mem::replace(&mut failed, true) => {
                        note!("state: no snapshot: {why}; tried again at each interval")
                    }
                    Ok(()) if std::mem::take(&mut failed) => {
                        note!("state: snapshots are written again")
                    }
                    _ => {}
                }
                let _ = told.try_send(began.elapsed());
            }
        };
        let thread = std::thread::Builder::new()
            .name("state".to_owned())
            .spawn(write);
        if let Err(why) = &thread {
            note!("state: no thread: {why}; nothing is kept");
        }
        Some(Keeper {
            works: RefCell::new(Some(works)),
            done,
            thread: RefCell::new(Some(thread.ok()?)),
            every: Duration::from_secs(u64::from(terms.every_s)),
        })
    }

    /// Hands a snapshot over; not where one is still on its way.
    fn save(&self, learned: LearnedState) -> bool {
        let works = self.works.borrow();
        let sent = works
            .as_ref()
            .map(|works| works.try_send(Box::new(learned)));
        !matches!(
            sent,
            None | Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_)))
        )
    }

    /// Snapshots at their intervals, serving first.
    pub async fn run(&self, facade: &SchedulerHandle) {
        let mut scheduler = BackgroundScheduler::new(
            Budget::default(),
            &[TaskConfig {
                name: SNAPSHOT,
                weight: 1.0,
            }],
        );
        let (start, mut last) = (Instant::now(), Instant::now());
        loop {
            Timer::after(LOOK).await;
            while let Ok(took) = self.done.try_recv() {
                let cost = StepCost {
                    time_ms: took.as_secs_f64() * 1_000.0,
                    ..GUESS
                };
                scheduler.step_done(SNAPSHOT, cost);
            }
            let now_ms = start.elapsed().as_secs_f64() * 1_000.0;
            if last.elapsed() >= self.every {
                scheduler.request_step(SNAPSHOT, now_ms);
            }
            if scheduler.next_step(now_ms, facade.utilization()).is_some()
                && let Some(learned) = facade.learned_state()
                && self.save(learned)
            {
                last = Instant::now();
                // Its real cost comes with its end; till then it is not asked for again.
                scheduler.step_done(SNAPSHOT, StepCost::default());
            }
        }
    }

    /// The last snapshot, within a stated time: the process is about to end.
    pub fn end(&self, facade: &SchedulerHandle) {
        while self.done.try_recv().is_ok() {}
        let sent = facade
            .learned_state()
            .is_some_and(|learned| self.save(learned));
        if sent && self.done.recv_timeout(LAST).is_err() {
            note!("state: the last snapshot took too long; the one before it counts");
        }
        // Without work the thread ends; one that hangs in the disk is left to the system.
        self.works.borrow_mut().take();
        if let Some(thread) = self
            .thread
            .borrow_mut()
            .take()
            .filter(JoinHandle::is_finished)
        {
            let _ = thread.join();
        }
    }
}
