//! In-memory index of idempotency keys and the state of their runs.
use std::collections::HashMap;

use super::ReplayDecision;
use super::entry::LogEntry;

#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyState {
    /// The run started and its outcome is unknown.
    Started,
    /// The run succeeded, with its result if that is known.
    Succeeded(Option<Vec<u8>>),
    Failed,
}

#[derive(Clone, Debug)]
struct KnownKey {
    expires_at_ms: u64,
    state: KeyState,
}

#[derive(Debug, Default)]
pub(super) struct KeyIndex {
    keys: HashMap<Vec<u8>, KnownKey>,
}

impl KeyIndex {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn contains(&self, key: &[u8]) -> bool {
        self.keys.contains_key(key)
    }

    pub(super) fn insert_started(&mut self, key: Vec<u8>, expires_at_ms: u64) {
        let known = KnownKey {
            expires_at_ms,
            state: KeyState::Started,
        };
        self.keys.insert(key, known);
    }

    /// Applies an entry and returns the expiry of its key, in ms; 0 if the key is unknown.
    pub(super) fn apply(&mut self, entry: LogEntry, now_ms: u64) -> u64 {
        match entry {
            LogEntry::Started { key, expires_at_ms } => {
                if expires_at_ms > now_ms {
                    self.insert_started(key, expires_at_ms);
                }
                expires_at_ms
            }
            LogEntry::Ended {
                key,
                succeeded,
                result,
            } => {
                let Some(known) = self.keys.get_mut(&key) else {
                    return 0;
                };
                known.state = if succeeded {
                    KeyState::Succeeded(result)
                } else {
                    KeyState::Failed
                };
                known.expires_at_ms
            }
            LogEntry::NeverStarted { key } => self
                .keys
                .remove(&key)
                .map_or(0, |known| known.expires_at_ms),
        }
    }

    /// Returns how to handle a request with this key, or `None` if the key is unknown.
    pub(super) fn decide(&self, key: &[u8], now_ms: u64) -> Option<ReplayDecision> {
        let known = self.keys.get(key)?;
        if known.expires_at_ms <= now_ms {
            return None;
        }
        Some(match &known.state {
            KeyState::Succeeded(Some(result)) => ReplayDecision::Replay(result.clone()),
            KeyState::Succeeded(None) | KeyState::Failed | KeyState::Started => {
                ReplayDecision::Aborted
            }
        })
    }

    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.keys.retain(|_, known| known.expires_at_ms > now_ms);
    }
}
