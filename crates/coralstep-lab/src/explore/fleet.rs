//! Model of version distribution in a small scope: three servers with the real `VersionStore`, two of which may publish. Messages are
//! lost or corrupted, and servers are killed and restart without state. Invariants: no two contents share an id, an RPC is counted
//! under the version that was active when it was read, and all servers converge to one version after the faults end.
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_fleet::versions::{Version, VersionMessage, VersionStore};
use coralstep_fleet::{Member, VersionId};

use super::Model;

const SERVERS: usize = 3;
/// Maximum number of messages in flight to one server; more are lost.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of versions published in one history.
const MAX_PUBLISHED: u8 = 2;
/// Time between two actions, in milliseconds: long enough that every request is due.
const STEP_MS: u64 = 10_000;
/// Rounds of requests and replies after which all servers must have converged.
const CONVERGENCE_ROUNDS: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    /// A chunk is accepted without a check of its hash.
    SkipsChecksum,
    /// An RPC is counted under the version that is active when it is answered.
    CountsAtAnswer,
    /// A fetched version is never activated.
    NeverActivates,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub injected_fault: InjectedFault,
}

#[derive(Debug, Default)]
struct Server {
    versions: VersionStore,
    active: VersionId,
    /// Version that was active when the open RPC was read.
    open_rpc: Option<VersionId>,
    /// Messages in flight to this server, each with the index of its sender.
    inbox: Vec<(usize, VersionMessage)>,
}

pub struct Fleet {
    injected_fault: InjectedFault,
    servers: Vec<Server>,
    published: u8,
    now: u64,
    contents: BTreeMap<VersionId, String>,
    violation: Option<String>,
}

/// Kinds of actions; each exists once per server.
const ACTIONS: [&str; 8] = [
    "publishes a version",
    "learns of the newest version",
    "requests chunks",
    "receives a message",
    "loses a message",
    "receives a corrupt message",
    "activates the newest version",
    "is killed",
];
const RPC: u8 = (ACTIONS.len() * SERVERS) as u8;

fn member(at: usize) -> Member {
    Member::new(
        &format!("n{at}"),
        std::net::SocketAddr::from(([127, 0, 0, 1], 1 + at as u16)),
        1,
    )
}

impl Fleet {
    fn report_violation(&mut self, why: String) {
        self.violation.get_or_insert(why);
    }

    /// Reports a violation if another server holds different content under the same id.
    fn record_content(&mut self, id: VersionId, content: String) {
        match self.contents.get(&id) {
            Some(known) if *known != content => {
                self.report_violation(format!("two contents under version {id}"))
            }
            Some(_) => {}
            None => drop(self.contents.insert(id, content)),
        }
    }

    fn learn_newest(&mut self, at: usize) {
        let known = self
            .servers
            .iter()
            .map(|server| server.versions.newest_held())
            .max()
            .unwrap_or_default();
        self.servers[at].versions.record_reported(known);
    }

    fn request_chunks(&mut self, at: usize) {
        let holds: Vec<Vec<VersionId>> = self
            .servers
            .iter()
            .map(|server| server.versions.iter().map(|stored| stored.id).collect())
            .collect();
        let holders = |id: VersionId| {
            (0..SERVERS)
                .filter(|other| *other != at && holds[*other].contains(&id))
                .map(member)
                .collect()
        };
        let now = self.now;
        for request in self.servers[at].versions.poll_fetch(now, holders, 0.0) {
            let to = usize::from(request.holder.address.port()) - 1;
            if self.servers[to].inbox.len() < MAX_IN_FLIGHT {
                self.servers[to].inbox.push((at, request.message));
            }
        }
    }

    fn deliver(&mut self, at: usize, corrupt: bool) {
        if self.servers[at].inbox.is_empty() {
            return;
        }
        let (from, mut message) = self.servers[at].inbox.remove(0);
        if corrupt && let VersionMessage::Chunk { data, .. } = &mut message {
            data.iter_mut().rev().take(1).for_each(|byte| *byte ^= 1);
        }
        if self.injected_fault == InjectedFault::SkipsChecksum
            && let VersionMessage::Chunk { id, data, .. } = &message
        {
            self.record_content(*id, format!("{data:?}"));
        }
        let outcome = self.servers[at].versions.handle_message(self.now, message);
        for answer in outcome.replies {
            if self.servers[from].inbox.len() < MAX_IN_FLIGHT {
                self.servers[from].inbox.push((at, answer));
            }
        }
        if let Some(id) = outcome.completed
            && self.injected_fault != InjectedFault::SkipsChecksum
        {
            let content = self.servers[at]
                .versions
                .get(id)
                .map(|version| version.content.clone());
            content
                .into_iter()
                .for_each(|content| self.record_content(id, content));
        }
    }

    fn activate_newest(&mut self, at: usize) {
        let server = &mut self.servers[at];
        if self.injected_fault != InjectedFault::NeverActivates
            && let Some(newest) = server.versions.newest_accepted()
        {
            server.active = server.active.max(newest.id);
        }
    }

    /// Reads an RPC, or answers the open one.
    fn step_rpc(&mut self, at: usize) {
        let server = &mut self.servers[at];
        let Some(read) = server.open_rpc.take() else {
            return server.open_rpc = Some(server.active);
        };
        let counted = if self.injected_fault == InjectedFault::CountsAtAnswer {
            server.active
        } else {
            read
        };
        if counted != read {
            self.report_violation(format!(
                "an RPC read under {read} is counted under {counted}"
            ));
        }
    }
}

impl Model for Fleet {
    type Scope = Scope;

    fn start(scope: &Scope) -> Fleet {
        Fleet {
            injected_fault: scope.injected_fault,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            published: 0,
            now: 0,
            contents: BTreeMap::new(),
            violation: None,
        }
    }

    fn actions(&self) -> Vec<u8> {
        let possible = |action: &u8| {
            if *action >= RPC {
                return usize::from(*action - RPC) == 0;
            }
            let (kind, at) = (action / SERVERS as u8, usize::from(action % SERVERS as u8));
            match kind {
                0 => at < 2 && self.published < MAX_PUBLISHED,
                3..=5 => !self.servers[at].inbox.is_empty(),
                _ => true,
            }
        };
        (0..=RPC).filter(possible).collect()
    }

    fn apply(&mut self, action: u8) {
        self.now += STEP_MS;
        if action >= RPC {
            return self.step_rpc(0);
        }
        let (kind, at) = (action / SERVERS as u8, usize::from(action % SERVERS as u8));
        match kind {
            0 => {
                let replaces = self.servers[at].versions.newest();
                self.published += 1;
                let version = Version {
                    number: replaces.number + 1,
                    replaces,
                    mandatory: false,
                    publisher: format!("n{at}"),
                    published_at_ms: 0,
                    stages: Vec::new(),
                    stage_pause_ms: 0,
                    content: format!("{{\"{at}\":{}}}", self.published),
                };
                let content = version.content.clone();
                if let Ok(id) = self.servers[at].versions.publish(self.now, version)
                    && self.injected_fault != InjectedFault::SkipsChecksum
                {
                    self.record_content(id, content);
                }
            }
            1 => self.learn_newest(at),
            2 => self.request_chunks(at),
            3 => self.deliver(at, false),
            4 => drop(self.servers[at].inbox.pop()),
            5 => self.deliver(at, true),
            6 => self.activate_newest(at),
            _ => self.servers[at] = Server::default(),
        }
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        // Times are left out: every request is due at every action.
        let state_text = |server: &Server| {
            let held: Vec<VersionId> = server.versions.iter().map(|stored| stored.id).collect();
            format!(
                "{held:?} {:?} {:?} {:?} {:?}",
                server.versions.newest(),
                server.active,
                server.open_rpc,
                server.inbox
            )
        };
        self.servers
            .iter()
            .map(state_text)
            .for_each(|text| text.hash(&mut hasher));
        self.published.hash(&mut hasher);
        hasher.finish()
    }

    fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn check_recovery(mut self) -> Option<String> {
        for _ in 0..CONVERGENCE_ROUNDS {
            self.now += 60_000;
            (0..SERVERS).for_each(|at| self.learn_newest(at));
            (0..SERVERS).for_each(|at| self.request_chunks(at));
            for at in (0..SERVERS).chain(0..SERVERS).chain(0..SERVERS) {
                while !self.servers[at].inbox.is_empty() {
                    self.deliver(at, false);
                }
            }
            (0..SERVERS).for_each(|at| self.activate_newest(at));
        }
        let newest = self
            .servers
            .iter()
            .map(|server| server.versions.newest_held())
            .max()
            .unwrap_or_default();
        let active: Vec<VersionId> = self.servers.iter().map(|server| server.active).collect();
        let diverged = active.iter().any(|id| *id != newest);
        self.violation.or_else(|| {
            diverged.then(|| format!("servers act on {active:?}, but {newest} is the newest"))
        })
    }

    fn action_name(action: u8) -> &'static str {
        if action >= RPC {
            "an RPC"
        } else {
            ACTIONS[usize::from(action / SERVERS as u8)]
        }
    }
}

#[cfg(test)]
mod tests;
