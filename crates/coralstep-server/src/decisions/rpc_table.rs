//! The RPCs known to the scheduler, by its ids: decisions that their tasks have not taken yet, and
//! the results kept for repeats.
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
    /// It failed, or its result was not kept.
    Unavailable,
    Kept(Rc<[u8]>),
}

/// One RPC in the table.
#[derive(Default)]
pub(super) struct RpcEntry {
    decisions: VecDeque<Decision>,
    waker: Option<Waker>,
    /// Nobody waits for decisions any more.
    abandoned: bool,
    pub(super) idempotency_key: Option<IdempotencyKey>,
    pub(super) fingerprint: PayloadFingerprint,
    result: RunResult,
    /// The RPC that it repeats.
    repeat_of: Option<RpcId>,
    /// Repeats of it that wait for its result.
    waiting_repeats: Vec<RpcId>,
    /// Its run cannot be tried again sooner.
    pub(super) retry_after: Span,
}

impl RpcEntry {
    /// The entry of an RPC that repeats `repeats`, where it does.
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

/// A repeat that has come to its end, with the result of what it repeats where there is one.
pub(super) struct CompletedRepeat {
    pub(super) id: RpcId,
    pub(super) result: Option<Rc<[u8]>>,
}

/// All RPCs known to the scheduler.
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
            // It stays in the queue: what it stands for is freed with the ticket.
            Some(Decision::Finished) => Poll::Ready(Decision::Finished),
            Some(_) => Poll::Ready(entry.decisions.pop_front().unwrap_or(Decision::Finished)),
            None => {
                entry.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// The scheduler is done with `id`: frees it, unless its task has still to take that decision.
    pub(super) fn finish(&mut self, id: RpcId) {
        self.push_decision(id, Decision::Finished);
        if self.get_mut(id).is_some_and(|entry| entry.abandoned) {
            self.remove(id);
        }
    }

    /// Nobody waits for decisions on `id` any more: frees it, unless the scheduler still holds it.
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
        // Guards against a late result that goes to whatever RPC has this index by then.
        if let Some(repeated) = entry.repeat_of.and_then(|repeated| self.get_mut(repeated)) {
            repeated.waiting_repeats.retain(|waiting| *waiting != id);
        }
        if let RunResult::Kept(result) = entry.result {
            self.kept_bytes -= result.len();
        }
        self.complete_repeats(entry.waiting_repeats, None);
        self.free_ids.push(id.0);
    }

    /// Keeps the result of an RPC with an idempotency key for its repeat_of, while there is room.
    pub(super) fn record_result(&mut self, id: RpcId, outcome: &RunOutcome) {
        let free_bytes = self.max_kept_bytes.saturating_sub(self.kept_bytes);
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        if entry.idempotency_key.is_none() || !matches!(entry.result, RunResult::Pending) {
            return;
        }
        // Repeats that wait get it even where it is not kept.
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

    /// Answers `id` with the result of the RPC that it repeat_of, now or when that has ended.
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
