//! Who acted on what. A server's own record is a chain: each entry holds the hash of the one before, so a changed or missing one shows.
//! Of the others it keeps what they said of themselves, with its age; of a silent one it says since when nothing is known.
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Ms;
use crate::versions::{Id, hash};
use crate::words::{Past, Word};

/// Entries that are kept: the last of this server's, and of each other one.
pub const OWN_KEPT: usize = 256;
pub const OTHERS_KEPT: usize = 16;
/// Servers whose rows are kept.
pub const SERVERS_MOST: usize = 8_192;
/// Who was not heard of for so long may act on anything.
pub const KNOWN: Ms = 10_000;

/// It acted on a version from when to when (hybrid clock, Unix milliseconds).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub number: u32,
    pub version: Id,
    pub from_ms: u64,
    pub to_ms: u64,
    pub rpcs: u64,
    /// The hash of the entry before.
    pub before: [u8; 12],
}

impl Entry {
    fn sum(&self) -> [u8; 12] {
        hash(&postcard::to_allocvec(self).unwrap_or_default())
    }
}

/// A server's own record.
#[derive(Default)]
pub struct Chain {
    entries: VecDeque<Entry>,
    last: [u8; 12],
    count: u32,
}

/// What is wrong with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// An entry is missing before this one.
    Gap(u32),
    /// The entry before this one is not what it was.
    Changed(u32),
}

impl Chain {
    pub fn add(&mut self, version: Id, from_ms: u64, to_ms: u64, rpcs: u64) {
        let entry = Entry {
            number: self.count,
            version,
            from_ms,
            to_ms,
            rpcs,
            before: self.last,
        };
        self.last = entry.sum();
        self.count += 1;
        if self.entries.len() == OWN_KEPT {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Goes on where a record left off.
    pub fn resume(entries: Vec<Entry>) -> Result<Chain, Broken> {
        verify(entries.iter())?;
        let last = entries.last().map_or([0; 12], Entry::sum);
        let count = entries
            .last()
            .map_or(0, |entry| entry.number.wrapping_add(1));
        Ok(Chain {
            entries: entries.into(),
            last,
            count,
        })
    }

    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The last entry, as others are told of it.
    pub fn last(&self) -> Option<Past> {
        let of = |entry: &Entry| Past {
            version: entry.version,
            from_ms: entry.from_ms,
            to_ms: entry.to_ms,
            rpcs: entry.rpcs,
        };
        self.entries.back().map(of)
    }

    /// The end of the chain, for others to compare, and its length.
    pub fn head(&self) -> ([u8; 8], u32) {
        (std::array::from_fn(|at| self.last[at]), self.count)
    }
}

/// Whether what is left of a record hangs together.
pub fn verify<'a>(entries: impl Iterator<Item = &'a Entry>) -> Result<(), Broken> {
    let mut before: Option<&Entry> = None;
    for entry in entries {
        if let Some(before) = before {
            if entry.number != before.number + 1 {
                return Err(Broken::Gap(entry.number));
            }
            if entry.before != before.sum() {
                return Err(Broken::Changed(entry.number));
            }
        }
        before = Some(entry);
    }
    Ok(())
}

/// A row of the audit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub server: String,
    pub version: Id,
    pub from_ms: u64,
    /// None while it acts on it.
    pub to_ms: Option<u64>,
    pub rpcs: u64,
    /// How old this knowledge is.
    pub age_ms: u64,
    /// False where the server has been silent for too long: what it has acted on since then nobody can say.
    pub known: bool,
}

struct Seen {
    version: Id,
    from_ms: u64,
    to_ms: Option<u64>,
    rpcs: u64,
}

/// Rows of one process, and when it was last heard of.
#[derive(Default)]
struct Server {
    rows: VecDeque<Seen>,
    heard: Ms,
    head: ([u8; 8], u32),
}

/// What the others said of themselves.
#[derive(Default)]
pub struct Others {
    servers: BTreeMap<(String, SocketAddr, u64), Server>,
}

impl Others {
    /// False where a server's record is shorter than it was, or another of the same length: it was changed.
    pub fn heard(&mut self, at: Ms, word: &Word) -> bool {
        let key = (word.of.name.clone(), word.of.at, word.of.started);
        if !self.servers.contains_key(&key) && self.servers.len() >= SERVERS_MOST {
            // Whoever was heard of last the longest ago makes room.
            let oldest = self
                .servers
                .iter()
                .min_by_key(|(_, server)| server.heard)
                .map(|(key, _)| key.clone());
            oldest.map(|oldest| self.servers.remove(&oldest));
        }
        let server = self.servers.entry(key).or_default();
        server.heard = server.heard.max(at);
        let head = (word.chain, word.entries);
        let sound = head.1 > server.head.1 || head == server.head;
        server.head = head;
        let known = |row: &&mut Seen| row.version == word.acts_on && row.from_ms == word.since_ms;
        if let Some(row) = server.rows.back_mut().filter(known) {
            row.rpcs = word.rpcs;
            return sound;
        }
        // What it acted on before, with its last figures: the words in between may have been lost, or were never said.
        let past = word.before.map(|past| Seen {
            version: past.version,
            from_ms: past.from_ms,
            to_ms: Some(past.to_ms),
            rpcs: past.rpcs,
        });
        if let Some(past) = past {
            let of_it = server
                .rows
                .iter_mut()
                .find(|row| row.version == past.version && row.from_ms == past.from_ms);
            match of_it {
                Some(row) => *row = past,
                None => server.rows.push_back(past),
            }
        }
        // One whose end nobody told ended before this one began.
        for row in server.rows.iter_mut().filter(|row| row.to_ms.is_none()) {
            row.to_ms = Some(word.since_ms);
        }
        server.rows.push_back(Seen {
            version: word.acts_on,
            from_ms: word.since_ms,
            to_ms: None,
            rpcs: word.rpcs,
        });
        while server.rows.len() > OTHERS_KEPT {
            server.rows.pop_front();
        }
        sound
    }

    pub fn rows(&self, now: Ms) -> impl Iterator<Item = Row> {
        self.servers.iter().flat_map(move |((name, _, _), server)| {
            let age_ms = now.saturating_sub(server.heard);
            server.rows.iter().map(move |seen| Row {
                server: name.clone(),
                version: seen.version,
                from_ms: seen.from_ms,
                to_ms: seen.to_ms,
                rpcs: seen.rpcs,
                age_ms,
                known: seen.to_ms.is_some() || age_ms <= KNOWN,
            })
        })
    }
}

/// What an audit is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    pub version: Option<Id>,
    pub server: Option<String>,
    /// Unix milliseconds.
    pub at_ms: Option<u64>,
}

impl Filter {
    pub fn takes(&self, row: &Row) -> bool {
        // A version may be named by its number alone.
        let version =
            |id: Id| row.version == id || (id.hash == [0; 12] && id.number == row.version.number);
        self.version.is_none_or(version)
            && self
                .server
                .as_ref()
                .is_none_or(|server| *server == row.server)
            && self
                .at_ms
                .is_none_or(|at| row.from_ms <= at && row.to_ms.is_none_or(|to| at < to))
    }
}

/// The latest of what is known of a server that was heard of.
pub fn is_known(now: Ms, heard: &crate::spread::Heard<Word>) -> bool {
    now.saturating_sub(heard.at) <= KNOWN
}

#[cfg(test)]
mod tests;
