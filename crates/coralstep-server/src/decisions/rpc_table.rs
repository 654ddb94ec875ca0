//! Table of the RPCs known to the scheduler, indexed by its ids. Holds decisions until the RPC's
//! task receives them, and results for repeats.
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use coralstep::{RpcId, Span};

use crate::decisions::idempotency_keys::{IdempotencyKey, PayloadFingerprint};
use crate::decisions::request::{AdmissionError, Decision, RunOutcome};

/// How the run of an RPC with an idempotency key ended.
#[derive(Clone, Default)]
enum RunResult {
    #[default]
    Pending,
    /// The run failed, or its result was not kept.
    Unavailable,
    Kept(Rc<[u8]>),
}

/// Entry of one RPC.
#[derive(Default)]
pub(super) struct RpcEntry {
    decisions: VecDeque<Decision>,
    waker: Option<Waker>,
    /// The RPC's ticket was dropped, so no task receives its decisions.
    abandoned: bool,
    pub(super) idempotency_key: Option<IdempotencyKey>,
    pub(super) fingerprint: PayloadFingerprint,
    result: RunResult,
    /// The RPC that this one repeats.
    repeat_of: Option<RpcId>,
    /// Repeats that wait for the result of this RPC.
    waiting_repeats: Vec<RpcId>,
    /// Minimum time before this server can try the run again.
    pub(super) retry_after: Span,
}

impl RpcEntry {
    /// Creates the entry of an RPC that repeats `repeat_of`, if any.
    pub(super) fn new(
        idempotency_key: Option<IdempotencyKey>,
        fingerprint: PayloadFingerprint,
        repeat_of: Option<RpcId>,
    ) -> RpcEntry {
        RpcEntry {
            idempotency_key,
            fingerprint,
            repeat_of,
            ..RpcEntry::default()
        }
    }
}

/// A repeat whose original RPC has ended, with the original's result if it is available.
pub(super) struct CompletedRepeat {
    pub(super) id: RpcId,
    pub(super) result: Option<Rc<[u8]>>,
}

/// Table of all RPCs known to the scheduler, and of the results kept for repeats.
pub(super) struct RpcTable {
    entries: Vec<Option<RpcEntry>>,
    free_ids: Vec<u32>,
    max_entries: usize,
    completed_repeats: VecDeque<CompletedRepeat>,
    kept_bytes: usize,
    max_kept_bytes: usize,
}

impl RpcTable {
    pub(super) fn new(max_entries: usize, max_kept_bytes: usize) -> RpcTable {
        RpcTable {
            entries: Vec::new(),
            free_ids: Vec::new(),
            max_entries,
            completed_repeats: VecDeque::new(),
            kept_bytes: 0,
            max_kept_bytes,
        }
    }

    pub(super) fn insert(&mut self, entry: RpcEntry) -> Result<RpcId, AdmissionError> {
        let id = match self.free_ids.pop() {
            Some(id) => RpcId(id),
            None if self.entries.len() >= self.max_entries => {
                return Err(AdmissionError::TableFull);
            }
            None => {
                self.entries.push(None);
                RpcId(self.entries.len() as u32 - 1)
            }
        };
        self.entries[id.0 as usize] = Some(entry);
        Ok(id)
    }

    pub(super) fn get_mut(&mut self, id: RpcId) -> Option<&mut RpcEntry> {
        self.entries.get_mut(id.0 as usize)?.as_mut()
    }

    pub(super) fn push_decision(&mut self, id: RpcId, decision: Decision) {
        if let Some(entry) = self.get_mut(id) {
            entry.decisions.push_back(decision);
            entry.waker.take().inspect(Waker::wake_by_ref);
        }
    }

    pub(super) fn poll_decision(&mut self, id: RpcId, cx: &mut Context<'_>) -> Poll<Decision> {
        let Some(entry) = self.get_mut(id) else {
            return Poll::Ready(Decision::Finished);
        };
        match entry.decisions.front() {
            // Stays in the queue: `abandon` frees the entry when the ticket is dropped.
            Some(Decision::Finished) => Poll::Ready(Decision::Finished),
            Some(_) => Poll::Ready(entry.decisions.pop_front().unwrap_or(Decision::Finished)),
            None => {
                entry.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Marks `id` as finished by the scheduler. Frees the entry unless its task still has to receive
    /// this decision.
    pub(super) fn finish(&mut self, id: RpcId) {
        self.push_decision(id, Decision::Finished);
        if self.get_mut(id).is_some_and(|entry| entry.abandoned) {
            self.remove(id);
        }
    }

    /// Marks `id` as abandoned by its task. Frees the entry unless the scheduler still uses the id.
    pub(super) fn abandon(&mut self, id: RpcId) {
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        if entry.decisions.contains(&Decision::Finished) {
            self.remove(id);
        } else {
            entry.abandoned = true;
        }
    }

    fn remove(&mut self, id: RpcId) {
        let Some(entry) = self.entries.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        // Guards against a late result that is delivered to another RPC which reuses this id.
        if let Some(repeated) = entry.repeat_of.and_then(|repeated| self.get_mut(repeated)) {
            repeated.waiting_repeats.retain(|waiting| *waiting != id);
        }
        if let RunResult::Kept(result) = entry.result {
            self.kept_bytes -= result.len();
        }
        self.complete_repeats(entry.waiting_repeats, None);
        self.free_ids.push(id.0);
    }

    /// Records the outcome of an RPC with an idempotency key and completes the repeats that wait for
    /// it. Keeps the result for later repeats if it fits into the memory limit.
    pub(super) fn record_result(&mut self, id: RpcId, outcome: &RunOutcome) {
        let free_bytes = self.max_kept_bytes.saturating_sub(self.kept_bytes);
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        if entry.idempotency_key.is_none() || !matches!(entry.result, RunResult::Pending) {
            return;
        }
        // Waiting repeats get the result even if it is not kept.
        let result = match outcome {
            RunOutcome::Ok(result) => Some(result.clone()),
            _ => None,
        };
        let kept = result.clone().filter(|result| result.len() <= free_bytes);
        let waiting = std::mem::take(&mut entry.waiting_repeats);
        entry.result = kept.clone().map_or(RunResult::Unavailable, RunResult::Kept);
        self.kept_bytes += kept.map_or(0, |result| result.len());
        self.complete_repeats(waiting, result);
    }

    /// Returns the result of `id` if it has run successfully and the result was kept.
    pub(super) fn kept_result(&self, id: RpcId) -> Option<Rc<[u8]>> {
        match &self.entries.get(id.0 as usize)?.as_ref()?.result {
            RunResult::Kept(result) => Some(result.clone()),
            RunResult::Pending | RunResult::Unavailable => None,
        }
    }

    /// Completes `id` with the result of the RPC that it repeats, at once or when that RPC ends.
    pub(super) fn replay(&mut self, id: RpcId) {
        let repeated = self.get_mut(id).and_then(|entry| entry.repeat_of);
        let result = match repeated.and_then(|repeated| self.get_mut(repeated)) {
            Some(entry) => match &entry.result {
                RunResult::Pending => return entry.waiting_repeats.push(id),
                RunResult::Unavailable => None,
                RunResult::Kept(result) => Some(result.clone()),
            },
            None => None,
        };
        self.complete_repeats(vec![id], result);
    }

    fn complete_repeats(&mut self, ids: Vec<RpcId>, result: Option<Rc<[u8]>>) {
        let completed = ids.into_iter().map(|id| CompletedRepeat {
            id,
            result: result.clone(),
        });
        self.completed_repeats.extend(completed);
    }

    pub(super) fn next_completed_repeat(&mut self) -> Option<CompletedRepeat> {
        self.completed_repeats.pop_front()
    }
}
