//! Health of the server: unhealthy while it cannot answer requests in time.
use crate::actions::Actions;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::drain::Drain;
use crate::event::Event;
use crate::orphans;
use crate::queue;
use crate::request_table::Phase;
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// Maximum time without a completion while all cores are in use; several times the duration of any
/// ordinary run.
const MAX_TIME_WITHOUT_PROGRESS: Span = Span::ms(1_500);
/// Read delay, in latency objectives, beyond which a read backlog begins. It ends once the read delay is
/// within the queue limit.
const MAX_READ_DELAY_OBJECTIVES: f64 = 2.0;
/// Factor applied to the maximum read delay at each adjustment.
const READ_DELAY_DECAY: f64 = 0.8;

/// State behind the server's health.
#[derive(Debug)]
pub(crate) struct Health {
    /// Time of the last completion or free core.
    last_progress: Time,
    stalled: bool,
    /// Recent maximum of the read delay, as a multiple of the queue limit.
    read_delay: f64,
    read_backlog: bool,
    /// Whether the maximum number of runs is orphaned.
    orphans_exhausted: bool,
}

impl Health {
    pub(crate) fn new(now: Time) -> Health {
        Health {
            last_progress: now,
            stalled: false,
            read_delay: 0.0,
            read_backlog: false,
            orphans_exhausted: false,
        }
    }

    /// Returns whether all cores are in use and no run finishes.
    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled
    }

    pub(crate) fn read_delay(&self) -> f64 {
        self.read_delay
    }

    pub(crate) fn record_progress(&mut self, now: Time) {
        self.last_progress = now;
    }

    /// Records the read delay of a request, as a multiple of its queue limit.
    pub(crate) fn record_read_delay(&mut self, waited: f64) {
        self.read_delay = waited.max(self.read_delay);
    }

    pub(crate) fn decay_read_delay(&mut self) {
        self.read_delay *= READ_DELAY_DECAY;
    }

    /// Updates the health, and whether a fault is local to this server.
    ///
    /// Guards against a server that reads and queues requests but completes none, whatever the cause, and
    /// against one that reads requests too late to answer in time: it is unhealthy until it has caught up.
    pub(crate) fn update(
        &mut self,
        shared: &mut SharedState,
        limit: &ConcurrencyLimit,
        drain: &Drain,
        out: &mut dyn Actions,
    ) {
        if shared.requests.count(Phase::Running) < shared.settings.cores {
            self.last_progress = shared.now;
        }
        let stalled = shared.now - self.last_progress > MAX_TIME_WITHOUT_PROGRESS;
        let read_backlog = self.read_delay > self.max_read_delay();
        let orphaned = shared.requests.count(Phase::Orphaned);
        let max_orphaned = orphans::max_orphans(limit.max_started(shared));
        let orphans_exhausted = orphaned >= max_orphaned;
        let is_warming_up_or_draining = limit.is_warming_up(shared.now) || drain.is_draining();
        shared.fault_is_local =
            stalled || read_backlog || orphans_exhausted || is_warming_up_or_draining;
        let orphans_changed = orphans_exhausted != self.orphans_exhausted;
        let health_changed = (stalled, read_backlog) != (self.stalled, self.read_backlog);
        if orphans_changed {
            out.log(Event::OrphanLimit {
                reached: orphans_exhausted,
                orphaned,
                max_orphaned,
            });
        }
        if health_changed {
            out.log(Event::HealthChanged {
                stalled,
                read_backlog,
            });
        }
        self.stalled = stalled;
        self.read_backlog = read_backlog;
        self.orphans_exhausted = orphans_exhausted;
        if orphans_changed || health_changed {
            let healthy = !stalled && !read_backlog && !orphans_exhausted;
            out.set_health(healthy && !drain.is_draining());
        }
    }

    /// Returns the maximum read delay without a read backlog, as a multiple of the queue limit.
    fn max_read_delay(&self) -> f64 {
        if self.read_backlog {
            1.0
        } else {
            MAX_READ_DELAY_OBJECTIVES / queue::MAX_WAIT_FRACTION
        }
    }
}
