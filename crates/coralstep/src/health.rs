//! What the health check answers: not healthy while nothing can be answered in time here.
use crate::actions::Actions;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::drain::Drain;
use crate::event::Event;
use crate::orphans;
use crate::queue;
use crate::request_table::Phase;
use crate::shared_state::SharedState;
use crate::time::{Span, Time};

/// Full cores that finish nothing for so long are stalled: several times any ordinary run.
const MAX_TIME_WITHOUT_PROGRESS: Span = Span::ms(1_500);
/// A read backlog begins when work is read later than this many latency objectives after its arrival, and
/// ends when it is read within its queue limit.
const MAX_READ_DELAY_OBJECTIVES: f64 = 2.0;
/// Kept of the longest wait unread at each review.
const READ_DELAY_DECAY: f64 = 0.8;

/// What the server's health is judged by.
#[derive(Debug)]
pub(crate) struct Health {
    /// When the cores last got something done, or had room.
    last_progress: Time,
    stalled: bool,
    /// The longest wait unread of late, in queue limits.
    read_delay: f64,
    read_backlog: bool,
    /// As many runs are orphaned as may be.
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

    /// Whether full cores finish nothing.
    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled
    }

    pub(crate) fn read_delay(&self) -> f64 {
        self.read_delay
    }

    pub(crate) fn record_progress(&mut self, now: Time) {
        self.last_progress = now;
    }

    /// Notes how long a request waited unread, in queue limits.
    pub(crate) fn record_read_delay(&mut self, waited: f64) {
        self.read_delay = waited.max(self.read_delay);
    }

    pub(crate) fn decay_read_delay(&mut self) {
        self.read_delay *= READ_DELAY_DECAY;
    }

    /// Judges the health anew, and whether a fault is this server's alone.
    ///
    /// Guards against a server that reads and queues but gets nothing done, whatever stopped its cores, and
    /// against one that reads too late for any answer in time: it leaves until it has read up.
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
        let is_away = limit.is_warming_up(shared.now) || drain.is_draining();
        shared.fault_is_local = stalled || read_backlog || orphans_exhausted || is_away;
        let orphans_changed = orphans_exhausted != self.orphans_exhausted;
        let cores_changed = (stalled, read_backlog) != (self.stalled, self.read_backlog);
        if orphans_changed {
            out.log(Event::OrphanLimit {
                reached: orphans_exhausted,
                orphaned,
                max_orphaned,
            });
        }
        if cores_changed {
            out.log(Event::HealthChanged {
                stalled,
                read_backlog,
            });
        }
        self.stalled = stalled;
        self.read_backlog = read_backlog;
        self.orphans_exhausted = orphans_exhausted;
        if orphans_changed || cores_changed {
            let healthy = !stalled && !read_backlog && !orphans_exhausted;
            out.set_health(healthy && !drain.is_draining());
        }
    }

    /// The longest wait unread that is no read backlog, in queue limits.
    fn max_read_delay(&self) -> f64 {
        if self.read_backlog {
            1.0
        } else {
            MAX_READ_DELAY_OBJECTIVES / queue::MAX_WAIT_PART
        }
    }
}
