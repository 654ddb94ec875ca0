//! `coralstep fleet`: members, versions of the settings, and which server had which version active.
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;

use coralstep_config::site::ListenAddress;
use coralstep_server::operators::ops::Question;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use serde_json::Value as Json;

use crate::levels::ask;

pub(crate) const USAGE: &str = "\
usage: coralstep fleet members --at WHERE [--json]
       coralstep fleet publish FILE [--must] [--waves 0.05,0.3,1 [--pause SECONDS]] --at WHERE [--json]
       coralstep fleet versions --at WHERE [--json]
       coralstep fleet audit [--version V] [--server S] [--time MS] --at WHERE [--json]
       coralstep fleet limits|verdicts --at WHERE [--json]
       coralstep fleet shut-out|let-in SERVER --at WHERE [--json]

WHERE is the site file's operator.listen: ADDRESS:PORT or unix:PATH. FILE is JSON with sections of the site file: levels, scgi, applications, limits.
V is a version or its number, MS a moment in Unix milliseconds. --json: one object a line. Exit status: 0, 1 where the server or the file
says no, 2 for a call that is not understood.
";

/// Rollout stages of one version at the most.
const MAX_STAGES: usize = 16;
/// Pause between two rollout stages where `--pause` is not given, and the longest one, in seconds.
const DEFAULT_PAUSE_S: f64 = 30.0;
const MAX_PAUSE_S: f64 = 86_400.0;
/// A sub-command and its argument.
const MAX_WORDS: usize = 2;
/// Keys under which a server answers with rows.
const ROW_KEYS: [&str; 5] = ["members", "versions", "audit", "limits", "verdicts"];

/// What is to be done.
pub(crate) enum Call {
    Help,
    Ask(Request),
    Publish(Publish),
}

/// A question to a server.
pub(crate) struct Request {
    question: Question,
    /// Where the server answers operators.
    at: ListenAddress,
    json: bool,
}

/// A version to be published.
pub(crate) struct Publish {
    file: PathBuf,
    mandatory: bool,
    /// Cumulative fractions of the fleet, 0 to 1; none for all servers at once.
    stages: Vec<f32>,
    stage_pause_ms: u64,
    at: ListenAddress,
    json: bool,
}

/// A call that could not be carried out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetCallError {
    #[error("{}: {source}", path.display())]
    ReadFile { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    ParseFile {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[error("{at}: {source}")]
    Connection {
        at: ListenAddress,
        source: io::Error,
    },
    /// The server's own words.
    #[error("{0}")]
    Refused(String),
}

/// The options of the command line as they are read.
struct Options {
    words: Vec<OsString>,
    at: Option<ListenAddress>,
    json: bool,
    mandatory: bool,
    stages: Vec<f32>,
    pause_s: f64,
    version: Option<String>,
    server: Option<String>,
    time_ms: Option<u64>,
}

impl Options {
    fn new() -> Options {
        Options {
            words: Vec::new(),
            at: None,
            json: false,
            mandatory: false,
            stages: Vec::new(),
            pause_s: DEFAULT_PAUSE_S,
            version: None,
            server: None,
            time_ms: None,
        }
    }

    /// Reads all options; none where help is asked for.
    fn parse(parser: &mut lexopt::Parser) -> Result<Option<Options>, lexopt::Error> {
        let mut options = Options::new();
        while let Some(arg) = parser.next()? {
            match arg {
                Short('h') | Long("help") => return Ok(None),
                Long("at") => options.at = Some(parse_address(&parser.value()?.string()?)?),
                Long("json") => options.json = true,
                Long("must") => options.mandatory = true,
                Long("waves") => options.stages = parse_stages(&parser.value()?.string()?)?,
                Long("pause") => options.pause_s = parser.value()?.parse::<f64>()?,
                Long("version") => options.version = Some(parser.value()?.string()?),
                Long("server") => options.server = Some(parser.value()?.string()?),
                Long("time") => options.time_ms = Some(parser.value()?.parse::<u64>()?),
                Value(word) if options.words.len() < MAX_WORDS => options.words.push(word),
                other => return Err(other.unexpected()),
            }
        }
        Ok(Some(options))
    }

    fn word(&self, index: usize) -> Option<String> {
        let word = self.words.get(index)?;
        Some(word.to_string_lossy().into_owned())
    }

    fn into_call(self) -> Result<Call, lexopt::Error> {
        let question = match (self.word(0).as_deref(), self.word(1)) {
            (Some("members"), None) => Question::FleetMembers,
            (Some("versions"), None) => Question::FleetVersions,
            (Some("audit"), None) => Question::FleetAudit {
                version: self.version,
                server: self.server,
                at_ms: self.time_ms,
            },
            (Some("limits"), None) => Question::FleetLimits,
            (Some("verdicts"), None) => Question::FleetVerdicts,
            (Some("shut-out"), Some(server)) => Question::FleetShutOut { server },
            (Some("let-in"), Some(server)) => Question::FleetLetIn { server },
            (Some("publish"), Some(file)) => return self.into_publish(file.into()),
            (None, _) => return Err("fleet: no sub-command; see coralstep fleet --help".into()),
            (Some(other), _) => {
                let error =
                    format!("fleet: {other:?} is not understood; see coralstep fleet --help");
                return Err(error.into());
            }
        };
        Ok(Call::Ask(Request {
            question,
            at: required_address(self.at)?,
            json: self.json,
        }))
    }

    fn into_publish(self, file: PathBuf) -> Result<Call, lexopt::Error> {
        if !(0.0..=MAX_PAUSE_S).contains(&self.pause_s) {
            return Err(format!("--pause: {} is not from 0 to {MAX_PAUSE_S}", self.pause_s).into());
        }
        Ok(Call::Publish(Publish {
            file,
            mandatory: self.mandatory,
            stages: self.stages,
            stage_pause_ms: (self.pause_s * 1000.0) as u64,
            at: required_address(self.at)?,
            json: self.json,
        }))
    }
}

fn parse_address(text: &str) -> Result<ListenAddress, lexopt::Error> {
    text.parse()
        .map_err(|error| lexopt::Error::from(format!("--at: {error}")))
}

fn required_address(at: Option<ListenAddress>) -> Result<ListenAddress, lexopt::Error> {
    at.ok_or_else(|| lexopt::Error::from("--at: missing"))
}

/// Reads cumulative fractions of the fleet, rising to all of it.
fn parse_stages(text: &str) -> Result<Vec<f32>, String> {
    let stages: Result<Vec<f32>, _> = text.split(',').map(str::parse).collect();
    let stages = stages.map_err(|_| format!("--waves: {text:?} is no list of parts"))?;
    let is_rising = stages.windows(2).all(|two| two[0] < two[1]);
    let starts_above_none = stages.first().is_some_and(|first| *first > 0.0);
    let ends_with_all = stages.last() == Some(&1.0);
    if stages.len() > MAX_STAGES || !is_rising || !starts_above_none || !ends_with_all {
        return Err(format!(
            "--waves: {text}: parts rise from above 0 to 1, {MAX_STAGES} at most"
        ));
    }
    Ok(stages)
}

/// Reads the command line behind `coralstep fleet`.
pub(crate) fn call(parser: &mut lexopt::Parser) -> Result<Call, lexopt::Error> {
    match Options::parse(parser)? {
        None => Ok(Call::Help),
        Some(options) => options.into_call(),
    }
}

/// Carries out a call and prints the answer.
pub(crate) fn run(call: Call) -> Result<(), FleetCallError> {
    let request = match call {
        Call::Help => {
            print!("{USAGE}");
            return Ok(());
        }
        Call::Ask(request) => request,
        Call::Publish(publish) => publish_request(publish)?,
    };
    let Request { question, at, json } = request;
    let answer = match ask(&at, &question) {
        Ok(answer) => answer,
        Err(source) => return Err(FleetCallError::Connection { at, source }),
    };
    if let Some(error) = answer["error"].as_str() {
        return Err(FleetCallError::Refused(error.to_owned()));
    }
    print_answer(&answer, json);
    Ok(())
}

/// Reads the file of a version to be published.
fn publish_request(publish: Publish) -> Result<Request, FleetCallError> {
    let path = publish.file;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(FleetCallError::ReadFile { path, source }),
    };
    let content = match serde_json::from_str(&text) {
        Ok(content) => content,
        Err(source) => return Err(FleetCallError::ParseFile { path, source }),
    };
    Ok(Request {
        question: Question::FleetPublish {
            content,
            must: publish.mandatory,
            waves: publish.stages,
            pause_ms: publish.stage_pause_ms,
        },
        at: publish.at,
        json: publish.json,
    })
}

fn print_answer(answer: &Json, json: bool) {
    let rows = ROW_KEYS.iter().find_map(|key| answer[key].as_array());
    match rows {
        None => println!("{answer}"),
        Some(rows) if json => rows.iter().for_each(|row| println!("{row}")),
        Some(rows) => print!("{}", table(rows)),
    }
}

/// Renders rows as lines of cells that are separated by tabs, below a line of the keys.
fn table(rows: &[Json]) -> String {
    let Some(first) = rows.first().and_then(Json::as_object) else {
        return String::new();
    };
    let keys: Vec<&str> = first.keys().map(String::as_str).collect();
    let mut table = keys.join("\t") + "\n";
    for row in rows {
        let cells: Vec<String> = keys.iter().map(|key| cell(&row[*key])).collect();
        table += &(cells.join("\t") + "\n");
    }
    table
}

fn cell(value: &Json) -> String {
    match value {
        Json::Null => "-".to_owned(),
        Json::String(text) => text.clone(),
        other => other.to_string(),
    }
}

#[cfg(test)]
#[path = "fleet/tests.rs"]
mod tests;
