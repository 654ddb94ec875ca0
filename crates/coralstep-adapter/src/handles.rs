//! Mapping between the protocol's RPC handles and the scheduler's ids.
use std::collections::{HashMap, VecDeque};

use coralstep::{EarlierAttempt, RpcId};

use crate::error::LineError;

/// Time for which a handle stays known after its RPC was released, for late events.
const LATE_EVENTS_NS: u64 = 60_000_000_000;

/// Bidirectional map of handles and ids.
#[derive(Default)]
pub(crate) struct HandleMap {
    ids: HashMap<u64, RpcId>,
    /// HandleMap, indexed by id.
    handles: Vec<u64>,
    /// Released ids, oldest first.
    released: VecDeque<Released>,
}

struct Released {
    at_ns: u64,
    id: RpcId,
}

impl HandleMap {
    /// Returns the id of `handle`.
    pub(crate) fn id(&self, handle: u64) -> Result<RpcId, LineError> {
        let id = self.ids.get(&handle).copied();
        id.ok_or(LineError::UnknownHandle(handle))
    }

    /// Returns the handle of `id`.
    pub(crate) fn handle(&self, id: RpcId) -> u64 {
        self.handles[id.0 as usize]
    }

    /// Returns the earlier attempt with `handle`; an absent handle or 0 means that there is none.
    pub(crate) fn earlier_attempt(&self, handle: Option<u64>) -> EarlierAttempt {
        match handle {
            None | Some(0) => EarlierAttempt::None,
            Some(handle) => match self.ids.get(&handle) {
                Some(id) => EarlierAttempt::Known(*id),
                None => EarlierAttempt::Forgotten,
            },
        }
    }

    /// Assigns an id to `handle`.
    pub(crate) fn add(&mut self, handle: u64, now_ns: u64) -> Result<RpcId, LineError> {
        if self.ids.contains_key(&handle) {
            return Err(LineError::DuplicateHandle(handle));
        }
        let reusable = self
            .released
            .pop_front_if(|released| released.at_ns + LATE_EVENTS_NS <= now_ns);
        let id = match reusable {
            Some(Released { id, .. }) => {
                self.ids.remove(&self.handle(id));
                self.handles[id.0 as usize] = handle;
                id
            }
            None => {
                self.handles.push(handle);
                RpcId(self.handles.len() as u32 - 1)
            }
        };
        self.ids.insert(handle, id);
        Ok(id)
    }

    /// Releases `id`, which the scheduler no longer uses.
    pub(crate) fn release(&mut self, id: RpcId, now_ns: u64) {
        self.released.push_back(Released { at_ns: now_ns, id });
    }
}
