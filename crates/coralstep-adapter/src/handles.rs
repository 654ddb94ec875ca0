//! The protocol's handles of RPCs and the small ids that the scheduler knows them by.
use std::collections::{HashMap, VecDeque};

use coralstep::{EarlierAttempt, RpcId};

use crate::error::LineError;

/// A handle stays known this long after its RPC is over, for events that come late.
const LATE_EVENTS_NS: u64 = 60_000_000_000;

/// A two-way table of handles and ids.
#[derive(Default)]
pub(crate) struct Handles {
    ids: HashMap<u64, RpcId>,
    /// The handle of each id.
    handles: Vec<u64>,
    /// Ids that may be given out again, oldest first.
    released: VecDeque<Released>,
}

struct Released {
    at_ns: u64,
    id: RpcId,
}

impl Handles {
    /// The id of `handle`.
    pub(crate) fn id(&self, handle: u64) -> Result<RpcId, LineError> {
        let id = self.ids.get(&handle).copied();
        id.ok_or(LineError::UnknownHandle(handle))
    }

    /// The handle of `id`.
    pub(crate) fn handle(&self, id: RpcId) -> u64 {
        self.handles[id.0 as usize]
    }

    /// The earlier attempt that `handle` names; absent or 0: there is none.
    pub(crate) fn earlier_attempt(&self, handle: Option<u64>) -> EarlierAttempt {
        match handle {
            None | Some(0) => EarlierAttempt::None,
            Some(handle) => match self.ids.get(&handle) {
                Some(id) => EarlierAttempt::Known(*id),
                None => EarlierAttempt::Forgotten,
            },
        }
    }

    /// Gives `handle` an id.
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

    /// The scheduler is done with `id`.
    pub(crate) fn release(&mut self, id: RpcId, now_ns: u64) {
        self.released.push_back(Released { at_ns: now_ns, id });
    }
}
