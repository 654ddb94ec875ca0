//! VersionStore in a small scope: three servers on the real `VersionStore`, two of which may publish, with letters that are lost, doubled or spoilt,
//! and servers that are killed and start with nothing. Whatever happens, two contents never pass under one id, an RPC is counted under
//! the version it was read under, and when the trouble is over all who are there act on one version.
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use coralstep_fleet::versions::{Version, VersionMessage, VersionStore};
use coralstep_fleet::{Member, VersionId};

use super::Play;

const SERVERS: usize = 3;
/// Letters under way to one server; more are lost.
const WAY_MOST: usize = 2;
/// VersionStore of one history.
const PUBLISHED_MOST: u8 = 2;
/// Between two moves, in milliseconds: every question is due.
const STEP: u64 = 10_000;
/// Rounds of all questions and answers after which all have come together.
const ROUNDS: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cheat {
    #[default]
    None,
    /// A piece is believed without its hash.
    Unchecked,
    /// An RPC is counted under what holds when it is answered.
    CountsLate,
    /// A version that was fetched is not acted on.
    Sticks,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    pub cheat: Cheat,
}

#[derive(Debug, Default)]
struct Server {
    versions: VersionStore,
    acts_on: VersionId,
    /// The version that the open RPC was read under.
    open: Option<VersionId>,
    /// Letters on their way to it, and from whom.
    way: Vec<(usize, VersionMessage)>,
}

pub struct Fleet {
    cheat: Cheat,
    servers: Vec<Server>,
    published: u8,
    now: u64,
    contents: BTreeMap<VersionId, String>,
    broken: Option<String>,
}

/// Moves: a kind for each server.
const KINDS: [&str; 8] = [
    "publishes",
    "hears of it",
    "asks",
    "reads a letter",
    "loses a letter",
    "gets one spoilt",
    "takes it up",
    "is killed",
];
const RPC: u8 = (KINDS.len() * SERVERS) as u8;

fn member(at: usize) -> Member {
    Member::new(
        &format!("n{at}"),
        std::net::SocketAddr::from(([127, 0, 0, 1], 1 + at as u16)),
        1,
    )
}

impl Fleet {
    fn breaks(&mut self, why: String) {
        self.broken.get_or_insert(why);
    }

    /// Who holds a version must hold what all others hold under its id.
    fn holds(&mut self, id: VersionId, content: String) {
        match self.contents.get(&id) {
            Some(known) if *known != content => {
                self.breaks(format!("two contents under version {id}"))
            }
            Some(_) => {}
            None => drop(self.contents.insert(id, content)),
        }
    }

    fn hears_of(&mut self, at: usize) {
        let known = self
            .servers
            .iter()
            .map(|server| server.versions.newest_held())
            .max()
            .unwrap_or_default();
        self.servers[at].versions.record_reported(known);
    }

    fn asks(&mut self, at: usize) {
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
            if self.servers[to].way.len() < WAY_MOST {
                self.servers[to].way.push((at, request.message));
            }
        }
    }

    fn reads(&mut self, at: usize, spoilt: bool) {
        if self.servers[at].way.is_empty() {
            return;
        }
        let (from, mut letter) = self.servers[at].way.remove(0);
        if spoilt && let VersionMessage::Chunk { data: piece, .. } = &mut letter {
            piece.iter_mut().rev().take(1).for_each(|byte| *byte ^= 1);
        }
        if self.cheat == Cheat::Unchecked
            && let VersionMessage::Chunk {
                id, data: piece, ..
            } = &letter
        {
            self.holds(*id, format!("{piece:?}"));
        }
        let outcome = self.servers[at].versions.handle_message(self.now, letter);
        for answer in outcome.replies {
            if self.servers[from].way.len() < WAY_MOST {
                self.servers[from].way.push((at, answer));
            }
        }
        if let Some(id) = outcome.completed
            && self.cheat != Cheat::Unchecked
        {
            let content = self.servers[at]
                .versions
                .get(id)
                .map(|version| version.content.clone());
            content
                .into_iter()
                .for_each(|content| self.holds(id, content));
        }
    }

    fn takes(&mut self, at: usize) {
        let server = &mut self.servers[at];
        if self.cheat != Cheat::Sticks
            && let Some(newest) = server.versions.newest_accepted()
        {
            server.acts_on = server.acts_on.max(newest.id);
        }
    }

    /// An RPC is read, or the open one is answered.
    fn rpc(&mut self, at: usize) {
        let server = &mut self.servers[at];
        let Some(read) = server.open.take() else {
            return server.open = Some(server.acts_on);
        };
        let counted = if self.cheat == Cheat::CountsLate {
            server.acts_on
        } else {
            read
        };
        if counted != read {
            self.breaks(format!(
                "an RPC read under {read} is counted under {counted}"
            ));
        }
    }
}

impl Play for Fleet {
    type Scope = Scope;

    fn start(scope: &Scope) -> Fleet {
        Fleet {
            cheat: scope.cheat,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            published: 0,
            now: 0,
            contents: BTreeMap::new(),
            broken: None,
        }
    }

    fn moves(&self) -> Vec<u8> {
        let possible = |what: &u8| {
            if *what >= RPC {
                return usize::from(*what - RPC) == 0;
            }
            let (kind, at) = (what / SERVERS as u8, usize::from(what % SERVERS as u8));
            match kind {
                0 => at < 2 && self.published < PUBLISHED_MOST,
                3..=5 => !self.servers[at].way.is_empty(),
                _ => true,
            }
        };
        (0..=RPC).filter(possible).collect()
    }

    fn step(&mut self, what: u8) {
        self.now += STEP;
        if what >= RPC {
            return self.rpc(0);
        }
        let (kind, at) = (what / SERVERS as u8, usize::from(what % SERVERS as u8));
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
                    && self.cheat != Cheat::Unchecked
                {
                    self.holds(id, content);
                }
            }
            1 => self.hears_of(at),
            2 => self.asks(at),
            3 => self.reads(at, false),
            4 => drop(self.servers[at].way.pop()),
            5 => self.reads(at, true),
            6 => self.takes(at),
            _ => self.servers[at] = Server::default(),
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        // Times are left out: every question is due at every move.
        let told = |server: &Server| {
            let held: Vec<VersionId> = server.versions.iter().map(|stored| stored.id).collect();
            format!(
                "{held:?} {:?} {:?} {:?} {:?}",
                server.versions.newest(),
                server.acts_on,
                server.open,
                server.way
            )
        };
        self.servers
            .iter()
            .map(told)
            .for_each(|told| told.hash(&mut hasher));
        self.published.hash(&mut hasher);
        hasher.finish()
    }

    fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    fn comes_free(mut self) -> Option<String> {
        for _ in 0..ROUNDS {
            self.now += 60_000;
            (0..SERVERS).for_each(|at| self.hears_of(at));
            (0..SERVERS).for_each(|at| self.asks(at));
            for at in (0..SERVERS).chain(0..SERVERS).chain(0..SERVERS) {
                while !self.servers[at].way.is_empty() {
                    self.reads(at, false);
                }
            }
            (0..SERVERS).for_each(|at| self.takes(at));
        }
        let newest = self
            .servers
            .iter()
            .map(|server| server.versions.newest_held())
            .max()
            .unwrap_or_default();
        let on: Vec<VersionId> = self.servers.iter().map(|server| server.acts_on).collect();
        let apart = on.iter().any(|on| *on != newest);
        self.broken
            .or_else(|| apart.then(|| format!("they act on {on:?}, and {newest} is there")))
    }

    fn name(what: u8) -> &'static str {
        if what >= RPC {
            "an RPC"
        } else {
            KINDS[usize::from(what / SERVERS as u8)]
        }
    }
}

#[cfg(test)]
mod tests;
