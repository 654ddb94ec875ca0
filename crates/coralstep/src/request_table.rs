//! The requests known to the scheduler, their phases and their memory. No decisions are made here.
use crate::request::{EarlierAttempt, Request, RpcId};
use crate::time::{Span, Time};

/// Processing phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the admission queue.
    Queued,
    Running,
    /// Waiting for permission to call the dependency.
    AwaitingCall,
    Calling,
    /// Waiting for the result of its earlier attempt.
    Replaying,
    /// Started and answered, but without an end for too long: no longer counts against the concurrency
    /// limit.
    Orphaned,
    /// Started and answered, but without an end after its call ended: it cannot return to the cores.
    OrphanedAtCall,
    Finished,
}

const PHASES: usize = 8;

/// A request and its progress.
#[derive(Debug)]
pub(crate) struct TrackedRequest {
    pub(crate) method: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
    /// Memory while queued, in kilobytes.
    pub(crate) queued_kb: f64,
    pub(crate) is_retry: bool,
    pub(crate) phase: Phase,
    /// Start of the current phase.
    pub(crate) phase_since: Time,
    pub(crate) time_on_cores: Span,
    pub(crate) has_run: bool,
    pub(crate) answered: bool,
    pub(crate) answered_at: Time,
    /// Time of the last status query; initially the time of the answer.
    pub(crate) queried_at: Time,
    /// Time at which the current call times out.
    pub(crate) call_timeout_at: Time,
    /// Whether the deadline expired during the call.
    pub(crate) expired_at_call: bool,
    /// Number of attempts of the current call.
    pub(crate) call_attempts: u32,
    /// Time until which the idempotency key is retained.
    pub(crate) key_until: Option<Time>,
    /// Configuration version under which the request was read.
    pub(crate) config_version: u32,
    /// Attempt that took over the idempotency key.
    pub(crate) superseded_by: Option<RpcId>,
}

impl TrackedRequest {
    /// Creates the entry of a request that was just read, in the admission queue.
    pub(crate) fn queued(
        now: Time,
        request: &Request,
        default_deadline: Span,
        config_version: u32,
    ) -> TrackedRequest {
        let arrived_at = now - request.age;
        let deadline = request.deadline.unwrap_or(arrived_at + default_deadline);
        TrackedRequest {
            method: request.method,
            tenant: request.tenant,
            arrived_at,
            deadline: deadline.max(now),
            queued_kb: request.queued_kb,
            is_retry: request.is_retry,
            phase: Phase::Queued,
            phase_since: now,
            time_on_cores: Span::ZERO,
            has_run: false,
            answered: false,
            answered_at: now,
            queried_at: now,
            call_timeout_at: now,
            expired_at_call: false,
            call_attempts: 0,
            key_until: None,
            config_version,
            superseded_by: None,
        }
    }

    /// Returns the memory of the request in `phase`, in kilobytes.
    fn memory_kb(&self, phase: Phase, run_memory_factor: f64) -> f64 {
        match phase {
            Phase::Queued | Phase::Replaying => self.queued_kb,
            Phase::Running
            | Phase::AwaitingCall
            | Phase::Calling
            | Phase::Orphaned
            | Phase::OrphanedAtCall => self.queued_kb * run_memory_factor,
            Phase::Finished => 0.0,
        }
    }
}

/// All requests that are unfinished or whose idempotency key is retained.
#[derive(Debug)]
pub(crate) struct RequestTable {
    requests: Vec<Option<TrackedRequest>>,
    /// Ids of all requests, in order of arrival.
    live: Vec<RpcId>,
    phase_counts: [usize; PHASES],
    /// Memory reserved for requests and idempotency keys, in kilobytes.
    pub(crate) used_kb: f64,
    pub(crate) run_memory_factor: f64,
}

impl RequestTable {
    pub(crate) fn new(run_memory_factor: f64) -> RequestTable {
        RequestTable {
            requests: Vec::new(),
            live: Vec::new(),
            phase_counts: [0; PHASES],
            used_kb: 0.0,
            run_memory_factor,
        }
    }

    pub(crate) fn get(&self, id: RpcId) -> Option<&TrackedRequest> {
        self.requests.get(id.0 as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, id: RpcId) -> Option<&mut TrackedRequest> {
        self.requests.get_mut(id.0 as usize)?.as_mut()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Returns all ids, in order of arrival.
    pub(crate) fn ids(&self) -> Vec<RpcId> {
        self.live.clone()
    }

    /// Returns all requests, in order of arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RpcId, &TrackedRequest)> {
        self.live
            .iter()
            .filter_map(|id| Some((*id, self.get(*id)?)))
    }

    /// Returns the unanswered requests in `phase`, in order of arrival.
    pub(crate) fn unanswered_in(
        &self,
        phase: Phase,
    ) -> impl Iterator<Item = (RpcId, &TrackedRequest)> {
        self.iter()
            .filter(move |(_, request)| request.phase == phase && !request.answered)
    }

    /// Returns the number of requests in `phase`, including answered ones.
    pub(crate) fn count(&self, phase: Phase) -> usize {
        self.phase_counts[phase as usize]
    }

    /// Returns the number of started requests that are on the cores or may return to them.
    pub(crate) fn started(&self) -> usize {
        self.count(Phase::Running)
            + self.count(Phase::AwaitingCall)
            + self.count(Phase::Calling)
            + self.count(Phase::Orphaned)
    }

    /// Follows the chain of attempts that superseded `earlier` and returns the latest one.
    pub(crate) fn latest_attempt(&self, mut earlier: EarlierAttempt) -> EarlierAttempt {
        while let EarlierAttempt::Known(id) = earlier {
            let Some(request) = self.get(id) else {
                return EarlierAttempt::Forgotten;
            };
            match request.superseded_by {
                Some(next) if !request.has_run => earlier = EarlierAttempt::Known(next),
                _ => break,
            }
        }
        earlier
    }

    pub(crate) fn insert(&mut self, id: RpcId, request: TrackedRequest) {
        self.used_kb += request.queued_kb;
        self.phase_counts[Phase::Queued as usize] += 1;
        let index = id.0 as usize;
        if self.requests.len() <= index {
            self.requests.resize_with(index + 1, || None);
        }
        self.requests[index] = Some(request);
        self.live.push(id);
    }

    pub(crate) fn move_to(&mut self, now: Time, id: RpcId, phase: Phase) {
        let factor = self.run_memory_factor;
        let Some(request) = self.get_mut(id) else {
            return;
        };
        let left = request.phase;
        if left == Phase::Running {
            request.time_on_cores = request.time_on_cores + (now - request.phase_since);
        }
        (request.phase, request.phase_since) = (phase, now);
        request.has_run |= phase == Phase::Running;
        request.call_attempts += u32::from(phase == Phase::Calling);
        let added_kb = request.memory_kb(phase, factor) - request.memory_kb(left, factor);
        self.used_kb += added_kb;
        self.phase_counts[left as usize] -= 1;
        self.phase_counts[phase as usize] += 1;
    }

    /// Marks a request as answered. One that has not started is finished.
    pub(crate) fn mark_answered(&mut self, now: Time, id: RpcId) {
        let Some(request) = self.get_mut(id) else {
            return;
        };
        if !request.answered {
            request.answered = true;
            (request.answered_at, request.queried_at) = (now, now);
        }
        if matches!(request.phase, Phase::Queued | Phase::Replaying) {
            self.move_to(now, id, Phase::Finished);
        }
    }

    pub(crate) fn remove(&mut self, id: RpcId) {
        let Some(request) = self.requests.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        self.live.retain(|live| *live != id);
        self.used_kb -= request.memory_kb(request.phase, self.run_memory_factor);
        self.phase_counts[request.phase as usize] -= 1;
    }
}
