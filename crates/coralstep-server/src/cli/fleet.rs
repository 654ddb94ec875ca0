//! `coralstep fleet`: members, versions of the settings, and which server had which version active.
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;

use coralstep_config::site::ListenAddress;
use coralstep_server::operators::ops::OperatorRequest;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use serde_json::Value as Json;

use crate::cli::levels::send_request;

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

/// Maximum number of rollout stages of a version.
const MAX_STAGES: usize = 16;
/// Pause between two rollout stages if `--pause` is not given, in seconds.
const DEFAULT_PAUSE_S: f64 = 30.0;
/// Maximum pause between two rollout stages, in seconds.
const MAX_PAUSE_S: f64 = 86_400.0;
/// Maximum number of positional arguments: a sub-command and its argument.
const MAX_POSITIONALS: usize = 2;
/// Keys of responses that contain rows of a table.
const ROW_KEYS: [&str; 5] = ["members", "versions", "audit", "limits", "verdicts"];

/// A parsed `coralstep fleet` command.
pub(crate) enum Command {
    Help,
    Send(Request),
    Publish(Publish),
}

/// A request to a server.
pub(crate) struct Request {
    body: OperatorRequest,
    /// Address of the server's operator listener.
    address: ListenAddress,
    json: bool,
}

/// Options of `coralstep fleet publish`.
pub(crate) struct Publish {
    file: PathBuf,
    mandatory: bool,
    /// Cumulative fractions of the fleet, from 0 to 1; empty to roll out to all servers at once.
    stages: Vec<f32>,
    stage_pause_ms: u64,
    address: ListenAddress,
    json: bool,
}

/// Error of executing a `coralstep fleet` command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetCommandError {
    #[error("{}: {source}", path.display())]
    ReadFile { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    ParseFile {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[error("{address}: {source}")]
    Connection {
        address: ListenAddress,
        source: io::Error,
    },
    /// The server returned this error.
    #[error("{0}")]
    Server(String),
}

/// Command-line options and positional arguments.
struct Options {
    positionals: Vec<OsString>,
    address: Option<ListenAddress>,
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
            positionals: Vec::new(),
            address: None,
            json: false,
            mandatory: false,
            stages: Vec::new(),
            pause_s: DEFAULT_PAUSE_S,
            version: None,
            server: None,
            time_ms: None,
        }
    }

    /// Parses all options; returns `None` if help is requested.
    fn parse(parser: &mut lexopt::Parser) -> Result<Option<Options>, lexopt::Error> {
        let mut options = Options::new();
        while let Some(arg) = parser.next()? {
            match arg {
                Short('h') | Long("help") => return Ok(None),
                Long("at") => options.address = Some(parse_address(&parser.value()?.string()?)?),
                Long("json") => options.json = true,
                Long("must") => options.mandatory = true,
                Long("waves") => options.stages = parse_stages(&parser.value()?.string()?)?,
                Long("pause") => options.pause_s = parser.value()?.parse::<f64>()?,
                Long("version") => options.version = Some(parser.value()?.string()?),
                Long("server") => options.server = Some(parser.value()?.string()?),
                Long("time") => options.time_ms = Some(parser.value()?.parse::<u64>()?),
                Value(argument) if options.positionals.len() < MAX_POSITIONALS => {
                    options.positionals.push(argument);
                }
                other => return Err(other.unexpected()),
            }
        }
        Ok(Some(options))
    }

    fn positional(&self, index: usize) -> Option<String> {
        let argument = self.positionals.get(index)?;
        Some(argument.to_string_lossy().into_owned())
    }

    fn into_command(self) -> Result<Command, lexopt::Error> {
        let body = match (self.positional(0).as_deref(), self.positional(1)) {
            (Some("members"), None) => OperatorRequest::FleetMembers,
            (Some("versions"), None) => OperatorRequest::FleetVersions,
            (Some("audit"), None) => OperatorRequest::FleetAudit {
                version: self.version,
                server: self.server,
                at_ms: self.time_ms,
            },
            (Some("limits"), None) => OperatorRequest::FleetLimits,
            (Some("verdicts"), None) => OperatorRequest::FleetVerdicts,
            (Some("shut-out"), Some(server)) => OperatorRequest::FleetShutOut { server },
            (Some("let-in"), Some(server)) => OperatorRequest::FleetLetIn { server },
            (Some("publish"), Some(file)) => return self.into_publish(file.into()),
            (None, _) => return Err("fleet: no sub-command; see coralstep fleet --help".into()),
            (Some(other), _) => {
                let error =
                    format!("fleet: {other:?} is not understood; see coralstep fleet --help");
                return Err(error.into());
            }
        };
        Ok(Command::Send(Request {
            body,
            address: required_address(self.address)?,
            json: self.json,
        }))
    }

    fn into_publish(self, file: PathBuf) -> Result<Command, lexopt::Error> {
        if !(0.0..=MAX_PAUSE_S).contains(&self.pause_s) {
            return Err(format!("--pause: {} is not from 0 to {MAX_PAUSE_S}", self.pause_s).into());
        }
        Ok(Command::Publish(Publish {
            file,
            mandatory: self.mandatory,
            stages: self.stages,
            stage_pause_ms: (self.pause_s * 1000.0) as u64,
            address: required_address(self.address)?,
            json: self.json,
        }))
    }
}

fn parse_address(text: &str) -> Result<ListenAddress, lexopt::Error> {
    text.parse()
        .map_err(|error| lexopt::Error::from(format!("--at: {error}")))
}

fn required_address(address: Option<ListenAddress>) -> Result<ListenAddress, lexopt::Error> {
    address.ok_or_else(|| lexopt::Error::from("--at: missing"))
}

/// Parses increasing cumulative fractions of the fleet, the last of which is 1.
fn parse_stages(text: &str) -> Result<Vec<f32>, String> {
    let stages: Result<Vec<f32>, _> = text.split(',').map(str::parse).collect();
    let stages = stages.map_err(|_| format!("--waves: {text:?} is no list of parts"))?;
    let is_increasing = stages.windows(2).all(|pair| pair[0] < pair[1]);
    let starts_above_zero = stages.first().is_some_and(|first| *first > 0.0);
    let ends_with_whole_fleet = stages.last() == Some(&1.0);
    if stages.len() > MAX_STAGES || !is_increasing || !starts_above_zero || !ends_with_whole_fleet {
        return Err(format!(
            "--waves: {text}: parts rise from above 0 to 1, {MAX_STAGES} at most"
        ));
    }
    Ok(stages)
}

/// Parses the command line after `coralstep fleet`.
pub(crate) fn parse(parser: &mut lexopt::Parser) -> Result<Command, lexopt::Error> {
    match Options::parse(parser)? {
        None => Ok(Command::Help),
        Some(options) => options.into_command(),
    }
}

/// Executes a command and prints the response.
pub(crate) fn run(command: Command) -> Result<(), FleetCommandError> {
    let request = match command {
        Command::Help => {
            print!("{USAGE}");
            return Ok(());
        }
        Command::Send(request) => request,
        Command::Publish(publish) => publish_request(publish)?,
    };
    let Request {
        body,
        address,
        json,
    } = request;
    let response = match send_request(&address, &body) {
        Ok(response) => response,
        Err(source) => return Err(FleetCommandError::Connection { address, source }),
    };
    if let Some(error) = response["error"].as_str() {
        return Err(FleetCommandError::Server(error.to_owned()));
    }
    print_response(&response, json);
    Ok(())
}

/// Builds the publish request from the file's content.
fn publish_request(publish: Publish) -> Result<Request, FleetCommandError> {
    let path = publish.file;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(FleetCommandError::ReadFile { path, source }),
    };
    let content = match serde_json::from_str(&text) {
        Ok(content) => content,
        Err(source) => return Err(FleetCommandError::ParseFile { path, source }),
    };
    Ok(Request {
        body: OperatorRequest::FleetPublish {
            content,
            must: publish.mandatory,
            waves: publish.stages,
            pause_ms: publish.stage_pause_ms,
        },
        address: publish.address,
        json: publish.json,
    })
}

fn print_response(response: &Json, json: bool) {
    let rows = ROW_KEYS.iter().find_map(|key| response[key].as_array());
    match rows {
        None => println!("{response}"),
        Some(rows) if json => rows.iter().for_each(|row| println!("{row}")),
        Some(rows) => print!("{}", format_table(rows)),
    }
}

/// Formats rows as tab-separated lines below a header line with the keys.
fn format_table(rows: &[Json]) -> String {
    let Some(first) = rows.first().and_then(Json::as_object) else {
        return String::new();
    };
    let keys: Vec<&str> = first.keys().map(String::as_str).collect();
    let mut table = keys.join("\t") + "\n";
    for row in rows {
        let cells: Vec<String> = keys.iter().map(|key| format_cell(&row[*key])).collect();
        table += &(cells.join("\t") + "\n");
    }
    table
}

fn format_cell(value: &Json) -> String {
    match value {
        Json::Null => "-".to_owned(),
        Json::String(text) => text.clone(),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests;
