//! A write-ahead journal of tokens. A run under a token begins only once that is on the disk; its end follows with a bounded result. What
//! is known of a token after a restart is one of three: it did not begin, it ended so, or nobody knows — and then it never runs again.
//!
//! Records go to segments, one after the other; a segment goes whole once all windows in it are over. Writes are gathered: [`Journal::due`] says
//! when the next commit has to be, so that no run waits longer than [`WAIT_MS`]. A disk that fails or is full turns the journal to
//! unprotected, which its owner is told; it never stalls.
use std::collections::{HashMap, VecDeque};
use std::io;

use serde::{Deserialize, Serialize};

use crate::files::Files;
use crate::frame::{self, HEAD, Kind};

pub const VERSION: u16 = 1;
/// A run waits for its commit at most so long, and a commit gathers at most so many records.
pub const WAIT_MS: u64 = 5;
pub const GATHER: usize = 64;
/// A segment is closed past so many bytes; all together are bounded by what is agreed at start.
pub const SEGMENT: usize = 4 << 20;
/// The longest result that is kept; a longer one is an end whose result is not known.
pub const RESULT: usize = 4 << 10;
/// The longest token.
pub const TOKEN: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Record {
    Began {
        token: Vec<u8>,
        until_ms: u64,
    },
    /// With its result, where that is short enough.
    Ended {
        token: Vec<u8>,
        good: bool,
        result: Option<Vec<u8>>,
    },
    /// It provably never ran.
    NeverRan {
        token: Vec<u8>,
    },
}

/// What became of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Good(Vec<u8>),
    Bad,
    NeverRan,
}

/// What a token's repeat is to hear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Fresh,
    Replay(Vec<u8>),
    /// It ran, or nobody knows: an error, and never a run.
    Aborted,
    /// Recovery still reads: nothing is known yet.
    Wait,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Begun,
    Good(Option<Vec<u8>>),
    Bad,
}

#[derive(Clone, Debug)]
struct Known {
    until_ms: u64,
    state: State,
}

#[derive(Clone, Debug)]
struct Segment {
    number: u64,
    bytes: usize,
    /// When the last window in it is over.
    until_ms: u64,
}

/// What an operator hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Tokens are no longer protected, and why.
    Unprotected(String),
    Protected,
    /// Bytes of a segment belong to no record.
    Spoilt(String, usize),
    /// A segment of a later version is left alone.
    Later(String, u16),
}

/// Recovery reads a segment at a time, so that serving goes on meanwhile.
#[derive(Debug, Default)]
struct Recovery {
    left: VecDeque<(u64, String)>,
}

pub struct Journal<F> {
    files: F,
    known: HashMap<Vec<u8>, Known>,
    segments: VecDeque<Segment>,
    /// Records that are not on the disk yet, since when, and their tokens.
    gathered: Vec<u8>,
    count: usize,
    since_ms: u64,
    /// The end of the last window among them.
    until_ms: u64,
    most: usize,
    recovery: Recovery,
    unprotected: bool,
    /// After a failure it is tried again then.
    again_ms: u64,
    events: Vec<Event>,
}

/// After a failure the disk is left alone for so long.
const AGAIN_MS: u64 = 5_000;

fn name(number: u64) -> String {
    format!("tokens.{number:016x}")
}

impl<F: Files> Journal<F> {
    /// Over a folder, with segments of at most so many bytes in all. What is there is read by [`Journal::recover`].
    pub fn open(files: F, most: usize) -> io::Result<Journal<F>> {
        let mut left: Vec<(u64, String)> = Vec::new();
        for file in files.list()? {
            if let Some(number) = file
                .strip_prefix("tokens.")
                .and_then(|hex| u64::from_str_radix(hex, 16).ok())
            {
                left.push((number, file));
            }
        }
        left.sort();
        Ok(Journal {
            files,
            known: HashMap::new(),
            segments: VecDeque::new(),
            gathered: Vec::new(),
            count: 0,
            since_ms: 0,
            until_ms: 0,
            most,
            recovery: Recovery { left: left.into() },
            unprotected: false,
            again_ms: 0,
            events: Vec::new(),
        })
    }

    /// Reads the next segment; whether there are more.
    pub fn recover(&mut self, now_ms: u64) -> bool {
        let Some((number, file)) = self.recovery.left.pop_front() else {
            return false;
        };
        let bytes = match self.files.read(&file, SEGMENT * 2) {
            Ok(bytes) => bytes,
            Err(why) => {
                // Guards against a run of a token whose record can't be read: nothing is promised any more.
                self.fails(now_ms, &why);
                return !self.recovery.left.is_empty();
            }
        };
        let mut segment = Segment {
            number,
            bytes: bytes.len(),
            until_ms: 0,
        };
        match frame::version(&bytes, Kind::Tokens) {
            Some(VERSION) => {
                let (records, lost) = frame::records(&bytes[HEAD..]);
                // The last bytes of the last segment may be torn by a cut; their runs had not begun.
                let last = self.recovery.left.is_empty();
                if lost > 0 && !last {
                    self.events.push(Event::Spoilt(file, lost));
                }
                for record in records {
                    if let Ok(record) = postcard::from_bytes(record) {
                        segment.until_ms = segment.until_ms.max(self.take(record, now_ms));
                    }
                }
                self.segments.push_back(segment);
            }
            Some(version) => self.events.push(Event::Later(file, version)),
            // Cut before its head was whole: nothing in it was ever promised.
            None if bytes.len() < HEAD => self.segments.push_back(segment),
            None => {
                self.events.push(Event::Spoilt(file, bytes.len()));
                self.segments.push_back(segment);
            }
        }
        if self.recovery.left.is_empty() {
            self.expire(now_ms);
        }
        !self.recovery.left.is_empty()
    }

    pub fn recovered(&self) -> bool {
        self.recovery.left.is_empty()
    }

    /// Until when the record counts.
    fn take(&mut self, record: Record, now_ms: u64) -> u64 {
        match record {
            Record::Began { token, until_ms } => {
                if until_ms > now_ms {
                    self.known.insert(
                        token,
                        Known {
                            until_ms,
                            state: State::Begun,
                        },
                    );
                }
                until_ms
            }
            Record::Ended {
                token,
                good,
                result,
            } => {
                let Some(known) = self.known.get_mut(&token) else {
                    return 0;
                };
                known.state = if good {
                    State::Good(result)
                } else {
                    State::Bad
                };
                known.until_ms
            }
            Record::NeverRan { token } => {
                self.known.remove(&token).map_or(0, |known| known.until_ms)
            }
        }
    }

    pub fn verdict(&self, token: &[u8], now_ms: u64) -> Verdict {
        match self
            .known
            .get(token)
            .filter(|known| known.until_ms > now_ms)
            .map(|known| &known.state)
        {
            Some(State::Good(Some(result))) => Verdict::Replay(result.clone()),
            Some(_) => Verdict::Aborted,
            None if !self.recovered() => Verdict::Wait,
            None => Verdict::Fresh,
        }
    }

    fn put(&mut self, record: &Record, now_ms: u64) {
        let Ok(payload) = postcard::to_stdvec(record) else {
            return;
        };
        if self.count == 0 {
            self.since_ms = now_ms;
        }
        self.count += 1;
        frame::put(&mut self.gathered, &payload);
    }

    /// A run is about to begin; it may once the next commit went well. `false` where tokens are unprotected: what then is to be done is
    /// for who agreed on it.
    pub fn begin(&mut self, token: &[u8], until_ms: u64, now_ms: u64) -> bool {
        if self.unprotected || token.len() > TOKEN || !self.recovered() {
            return false;
        }
        self.put(
            &Record::Began {
                token: token.to_vec(),
                until_ms,
            },
            now_ms,
        );
        self.until_ms = self.until_ms.max(until_ms);
        self.known.insert(
            token.to_vec(),
            Known {
                until_ms,
                state: State::Begun,
            },
        );
        true
    }

    pub fn ended(&mut self, token: &[u8], end: End, now_ms: u64) {
        if !self.known.contains_key(token) {
            return;
        }
        let record = match end {
            End::Good(result) => {
                let result = Some(result).filter(|result| result.len() <= RESULT);
                Record::Ended {
                    token: token.to_vec(),
                    good: true,
                    result,
                }
            }
            End::Bad => Record::Ended {
                token: token.to_vec(),
                good: false,
                result: None,
            },
            End::NeverRan => Record::NeverRan {
                token: token.to_vec(),
            },
        };
        if !self.unprotected {
            self.put(&record, now_ms);
        }
        self.take(record, now_ms);
    }

    /// When the next commit has to be, if any.
    pub fn due(&self) -> Option<u64> {
        match self.count {
            0 => None,
            count if count >= GATHER => Some(self.since_ms),
            _ => Some(self.since_ms + WAIT_MS),
        }
    }

    /// Writes what was gathered. Where that fails, what was gathered is not on the disk: runs that wait for it don't begin.
    pub fn commit(&mut self, now_ms: u64) -> Result<(), Event> {
        if self.count == 0 {
            return Ok(());
        }
        let bytes = std::mem::take(&mut self.gathered);
        (self.count, self.since_ms) = (0, 0);
        match self.write(&bytes) {
            Ok(()) => Ok(()),
            Err(why) => {
                self.fails(now_ms, &why);
                Err(Event::Unprotected(why.to_string()))
            }
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let all: usize = self.segments.iter().map(|segment| segment.bytes).sum();
        if all + bytes.len() > self.most {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal has all the room that was agreed on",
            ));
        }
        let full = self
            .segments
            .back()
            .is_none_or(|last| last.bytes + bytes.len() > SEGMENT || last.bytes < HEAD);
        if full || self.again_ms > 0 {
            // Guards against records behind a torn one, which a failed write may have left.
            let number = self.segments.back().map_or(0, |last| last.number + 1);
            let head = frame::head(Kind::Tokens, VERSION);
            self.files.create(&name(number))?;
            self.segments.push_back(Segment {
                number,
                bytes: head.len(),
                until_ms: 0,
            });
            self.files.append(&name(number), &head)?;
            self.files.sync_folder()?;
        }
        let until_ms = self.until_ms;
        let Some(last) = self.segments.back_mut() else {
            return Ok(());
        };
        last.bytes += bytes.len();
        last.until_ms = last.until_ms.max(until_ms);
        let file = name(last.number);
        self.files.append(&file, bytes)?;
        self.files.sync(&file)?;
        self.until_ms = 0;
        Ok(())
    }

    fn fails(&mut self, now_ms: u64, why: &io::Error) {
        if !std::mem::replace(&mut self.unprotected, true) {
            self.events.push(Event::Unprotected(why.to_string()));
        }
        self.again_ms = now_ms + AGAIN_MS;
    }

    /// Retires what is over, and tries the disk again after a failure. To be called now and then.
    pub fn expire(&mut self, now_ms: u64) {
        self.known.retain(|_, known| known.until_ms > now_ms);
        while self.segments.len() > 1
            && self
                .segments
                .front()
                .is_some_and(|segment| segment.until_ms <= now_ms && self.recovery.left.is_empty())
        {
            let Some(segment) = self.segments.pop_front() else {
                return;
            };
            if self.files.remove(&name(segment.number)).is_err() {
                // It is read again after a restart, and its windows are over then, too.
                break;
            }
        }
        if self.unprotected && now_ms >= self.again_ms {
            let probe = Record::NeverRan { token: Vec::new() };
            let mut bytes = Vec::new();
            frame::put(&mut bytes, &postcard::to_stdvec(&probe).unwrap_or_default());
            match self.write(&bytes) {
                Ok(()) => {
                    (self.unprotected, self.again_ms) = (false, 0);
                    self.events.push(Event::Protected);
                }
                Err(_) => self.again_ms = now_ms + AGAIN_MS,
            }
        }
    }

    pub fn protected(&self) -> bool {
        !self.unprotected
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Tokens known, and bytes of all segments.
    pub fn size(&self) -> (usize, usize) {
        (
            self.known.len(),
            self.segments.iter().map(|segment| segment.bytes).sum(),
        )
    }

    pub fn into_files(self) -> F {
        self.files
    }

    pub fn files(&mut self) -> &mut F {
        &mut self.files
    }
}

#[cfg(test)]
mod tests;
