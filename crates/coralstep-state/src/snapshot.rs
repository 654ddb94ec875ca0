//! Snapshots of what was learned, in two generations. A new one is written beside them, synced, renamed onto the older one, and the
//! folder synced: at any moment one whole file is there. Files of a later version are left alone.
use std::io;

use coralstep::LearnedState;
use serde::{Deserialize, Serialize};

use crate::files::{Files, Look};
use crate::frame::{self, HEAD, Kind};
use crate::trust::{self, Fingerprint};

/// This version of the format. Version 1 had no tenants.
pub const VERSION: u16 = 2;
const NAMES: [&str; 2] = ["learned.0", "learned.1"];
const PART: &str = "learned.part";
/// The longest file that is looked at: a thousand methods and tenants fit many times.
pub const MOST: usize = 1 << 20;

/// Of the format; the module's own record knows no serializer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Stored {
    /// Counts up with each snapshot.
    number: u64,
    written_s: u64,
    server: String,
    cores: u32,
    methods: Vec<String>,
    dependency: Option<f64>,
    runs: Vec<[u32; 12]>,
    calls: [u32; 12],
    limit: Option<u32>,
    permits: Option<f64>,
    best: Option<u64>,
    tenants: Vec<(String, [f64; 2])>,
}

/// As version 1 had it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredOne {
    number: u64,
    written_s: u64,
    server: String,
    cores: u32,
    methods: Vec<String>,
    dependency: Option<f64>,
    runs: Vec<[u32; 12]>,
    calls: [u32; 12],
    limit: Option<u32>,
    permits: Option<f64>,
    best: Option<u64>,
}

impl From<StoredOne> for Stored {
    fn from(one: StoredOne) -> Stored {
        Stored {
            number: one.number,
            written_s: one.written_s,
            server: one.server,
            cores: one.cores,
            methods: one.methods,
            dependency: one.dependency,
            runs: one.runs,
            calls: one.calls,
            limit: one.limit,
            permits: one.permits,
            best: one.best,
            tenants: Vec::new(),
        }
    }
}

/// Why a file is not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    Unreadable(String),
    NoSuchFile,
    /// Of a later version: to be left alone.
    Later(u16),
    Spoilt,
    OtherServer(String),
    /// Trusted for nothing, by its age in seconds.
    Age(i64),
}

/// What was found, and what was refused, each with its file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    pub learned: Option<(LearnedState, f64)>,
    pub number: u64,
    pub refused: Vec<(String, Refused)>,
}

fn parse(bytes: &[u8]) -> Result<Stored, Refused> {
    let version = frame::version(bytes, Kind::Learned).ok_or(Refused::Spoilt)?;
    if version > VERSION {
        return Err(Refused::Later(version));
    }
    let (payload, used) = frame::take(&bytes[HEAD..]).ok_or(Refused::Spoilt)?;
    // What stands behind the record is nobody's.
    if HEAD + used != bytes.len() {
        return Err(Refused::Spoilt);
    }
    match version {
        2 => postcard::from_bytes(payload).map_err(|_| Refused::Spoilt),
        1 => postcard::from_bytes::<StoredOne>(payload)
            .map(Stored::from)
            .map_err(|_| Refused::Spoilt),
        _ => Err(Refused::Spoilt),
    }
}

fn read(files: &impl Files, name: &str) -> Result<Stored, Refused> {
    match files.read(name, MOST) {
        Ok(bytes) => parse(&bytes),
        Err(why) if why.kind() == io::ErrorKind::NotFound => Err(Refused::NoSuchFile),
        Err(why) => Err(Refused::Unreadable(why.to_string())),
    }
}

impl Stored {
    fn new(learned: &LearnedState, of: &Fingerprint, number: u64, now_s: u64) -> Stored {
        let tenants = of
            .tenants
            .iter()
            .cloned()
            .zip(learned.tenants.iter().copied());
        Stored {
            number,
            written_s: now_s,
            server: of.server.clone(),
            cores: of.cores,
            methods: of.methods.clone(),
            dependency: of.dependency,
            runs: learned.run_times.clone(),
            calls: learned.call_times,
            limit: learned.concurrency_limit,
            permits: learned.call_permits,
            best: learned.best_call_time,
            tenants: tenants.collect(),
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        Fingerprint {
            server: self.server.clone(),
            cores: self.cores,
            methods: self.methods.clone(),
            dependency: self.dependency,
            tenants: self.tenants.iter().map(|(name, _)| name.clone()).collect(),
        }
    }

    fn learned(&self) -> LearnedState {
        LearnedState {
            run_times: self.runs.clone(),
            call_times: self.calls,
            concurrency_limit: self.limit,
            call_permits: self.permits,
            best_call_time: self.best,
            tenants: self.tenants.iter().map(|(_, tally)| *tally).collect(),
        }
    }
}

/// The newest snapshot that may be believed at `now_s`, under the terms that hold now, and how far.
pub fn load(files: &impl Files, now: &Fingerprint, now_s: u64) -> Found {
    let mut found = Found::default();
    let mut best: Option<Stored> = None;
    for name in NAMES {
        match read(files, name) {
            Ok(stored) => {
                found.number = found.number.max(stored.number);
                let age = now_s as i64 - stored.written_s as i64;
                if stored.server != now.server {
                    found
                        .refused
                        .push((name.to_owned(), Refused::OtherServer(stored.server)));
                } else if trust::by_age(age as f64) == 0.0 {
                    found.refused.push((name.to_owned(), Refused::Age(age)));
                } else if best.as_ref().is_none_or(|best| stored.number > best.number) {
                    best = Some(stored);
                }
            }
            Err(Refused::NoSuchFile) => {}
            Err(why) => found.refused.push((name.to_owned(), why)),
        }
    }
    found.learned = best.and_then(|stored| {
        let trust = trust::by_age(now_s as f64 - stored.written_s as f64);
        trust::applies(&stored.learned(), &stored.fingerprint(), now)
            .map(|learned| (learned, trust))
    });
    found
}

/// Writes the snapshot with this number. It takes the place of the older generation, or of one that is spoilt; never of one of a later
/// version or another server's, which somebody may still want.
pub fn save(
    files: &mut impl Files,
    learned: &LearnedState,
    of: &Fingerprint,
    number: u64,
    now_s: u64,
) -> io::Result<()> {
    let mut places: Vec<(u64, &str)> = Vec::new();
    for name in NAMES {
        match read(files, name) {
            Ok(stored) if stored.server == of.server => places.push((stored.number, name)),
            Err(Refused::NoSuchFile | Refused::Spoilt) => places.push((0, name)),
            _ => {}
        }
    }
    places.sort();
    let Some((_, to)) = places.first() else {
        return Err(io::Error::new(
            io::ErrorKind::AlreadyExists,
            "both snapshots are another version's or server's",
        ));
    };
    let stored = Stored::new(learned, of, number, now_s);
    let payload = postcard::to_stdvec(&stored).map_err(io::Error::other)?;
    let mut bytes = frame::head(Kind::Learned, VERSION);
    frame::put(&mut bytes, &payload);
    if bytes.len() > MOST {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    files.create(PART)?;
    files.append(PART, &bytes)?;
    files.sync(PART)?;
    files.rename(PART, to)?;
    files.sync_folder()
}

/// A snapshot as an operator sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    pub name: String,
    /// None where nothing is believed of it.
    pub number: Option<u64>,
    pub server: String,
    pub age_s: i64,
    /// How far it is trusted, or why it isn't.
    pub told: String,
}

/// All snapshots of a folder that is only looked at.
pub fn views(look: &Look, now_s: u64) -> Vec<View> {
    let view = |name: &str| {
        let stored = match look.read(name, MOST) {
            Ok(bytes) => parse(&bytes),
            Err(why) if why.kind() == io::ErrorKind::NotFound => return None,
            Err(why) => Err(Refused::Unreadable(why.to_string())),
        };
        Some(match stored {
            Ok(stored) => {
                let age_s = now_s as i64 - stored.written_s as i64;
                let told = format!("trusted {:.2}", trust::by_age(age_s as f64));
                View {
                    name: name.to_owned(),
                    number: Some(stored.number),
                    server: stored.server,
                    age_s,
                    told,
                }
            }
            Err(why) => {
                let told = match why {
                    Refused::Later(version) => format!("of version {version}, later than ours"),
                    Refused::Unreadable(why) => why,
                    _ => "spoilt".to_owned(),
                };
                View {
                    name: name.to_owned(),
                    number: None,
                    server: String::new(),
                    age_s: 0,
                    told,
                }
            }
        })
    };
    NAMES.into_iter().filter_map(view).collect()
}

/// All that a snapshot holds, as JSON.
pub fn export(look: &Look, name: &str) -> Option<String> {
    let stored = parse(&look.read(name, MOST).ok()?).ok()?;
    serde_json::to_string_pretty(&stored).ok()
}

#[cfg(test)]
mod tests;
