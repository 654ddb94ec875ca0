//! `coralstep levels`: shows, holds and releases the degradation level of a running server, and replays recorded signals
//! through other conditions.
use std::ffi::OsString;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

use coralstep_config::site::{Listen, SiteConfig};
use coralstep_degradation::{DegradationConfig, replay};
use coralstep_server::operators::ops::OperatorRequest;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use serde_json::Value as Json;

pub const USAGE: &str = "\
usage: coralstep levels show --at WHERE [--json]            the level, why, since when, what would change it
       coralstep levels history --at WHERE [--json]         the last 200 changes
       coralstep levels hold LEVEL --for SECONDS --at WHERE [--json]
       coralstep levels release --at WHERE [--json]
       coralstep levels replay FILE [--site FILE] [--json]  play a recorded log through the site file's conditions,
                                                            else through the built-in ones; FILE - is standard input

WHERE is the site file's operator.listen: ADDRESS:PORT or unix:PATH. Exit status: 0, 1 where the server or the
file says no, 2 for a call that is not understood.
";

/// Timeout for connecting to the server and for its response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A parsed `coralstep levels` command.
pub enum Command {
    Help,
    Send {
        request: OperatorRequest,
        address: Listen,
        json: bool,
    },
    Replay {
        file: PathBuf,
        site: Option<PathBuf>,
        json: bool,
    },
}

/// Parses the command line after `coralstep levels`.
pub fn parse(parser: &mut lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut positionals, mut address, mut duration_s, mut site, mut json) =
        (Vec::<OsString>::new(), None, None, None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Long("at") => {
                address = Some(
                    parser
                        .value()?
                        .string()?
                        .parse::<Listen>()
                        .map_err(|error| format!("--at: {error}"))?,
                )
            }
            Long("for") => duration_s = Some(parser.value()?.parse::<f64>()?),
            Long("site") => site = Some(PathBuf::from(parser.value()?)),
            Long("json") => json = true,
            Value(argument) if positionals.len() < 2 => positionals.push(argument),
            other => return Err(other.unexpected()),
        }
    }
    let positional = |index: usize| {
        positionals
            .get(index)
            .map(|argument| argument.to_string_lossy().into_owned())
    };
    let required_address = || {
        address
            .clone()
            .ok_or_else(|| lexopt::Error::from("--at: missing"))
    };
    let request = match (positional(0).as_deref(), positional(1)) {
        (Some("show"), None) => OperatorRequest::Levels,
        (Some("history"), None) => OperatorRequest::History,
        (Some("release"), None) => OperatorRequest::Release,
        (Some("hold"), Some(level)) => {
            let seconds = duration_s
                .filter(|seconds| *seconds > 0.0 && *seconds < 1e6)
                .ok_or("--for: seconds above 0 are missing")?;
            OperatorRequest::Hold {
                level,
                ms: (seconds * 1000.0) as u64,
            }
        }
        (Some("replay"), Some(file)) => {
            return Ok(Command::Replay {
                file: file.into(),
                site,
                json,
            });
        }
        (None, _) => return Err("levels: no sub-command; see coralstep levels --help".into()),
        (Some(other), _) => {
            return Err(format!(
                "levels: {other:?} is not understood; see coralstep levels --help"
            )
            .into());
        }
    };
    Ok(Command::Send {
        request,
        address: required_address()?,
        json,
    })
}

/// Executes a command and prints its result.
pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Send {
            request,
            address,
            json,
        } => {
            let response =
                send_request(&address, &request).map_err(|error| format!("{address}: {error}"))?;
            if let Some(error) = response["error"].as_str() {
                return Err(error.to_owned());
            }
            if json {
                println!("{response}");
            } else {
                print!("{}", format_response(&response));
            }
        }
        Command::Replay { file, site, json } => replay_file(&file, site, json)?,
    }
    Ok(())
}

/// Sends a request to a server's operator listener and returns the response.
///
/// # Errors
/// Fails if the connection fails or times out, or if the response is not JSON.
pub fn send_request(address: &Listen, request: &OperatorRequest) -> io::Result<Json> {
    fn exchange(mut stream: impl Read + Write, request: &OperatorRequest) -> io::Result<String> {
        stream.write_all(format!("{}\n", serde_json::to_string(request)?).as_bytes())?;
        let mut response = String::new();
        BufReader::new(stream)
            .take(1 << 20)
            .read_line(&mut response)?;
        Ok(response)
    }
    let response = match address {
        Listen::Address(address) => {
            let stream = TcpStream::connect_timeout(address, TIMEOUT)?;
            stream.set_read_timeout(Some(TIMEOUT))?;
            exchange(stream, request)?
        }
        Listen::Path(path) => {
            let stream = UnixStream::connect(path)?;
            stream.set_read_timeout(Some(TIMEOUT))?;
            exchange(stream, request)?
        }
    };
    Ok(serde_json::from_str(&response)?)
}

fn to_seconds(ms: &Json) -> f64 {
    ms.as_f64().unwrap_or(0.0) / 1000.0
}

fn format_causes(causes: &Json) -> String {
    let format_cause = |cause: &Json| {
        let (figure, threshold) = (&cause["figure"], &cause["threshold"]);
        format!(
            "{} {:.2} of {:.2}",
            text_or_dash(&cause["signal"]),
            figure.as_f64().unwrap_or(0.0),
            threshold.as_f64().unwrap_or(0.0)
        )
    };
    let causes: Vec<String> = causes
        .as_array()
        .into_iter()
        .flatten()
        .map(format_cause)
        .collect();
    if causes.is_empty() {
        "-".to_owned()
    } else {
        causes.join(", ")
    }
}

fn text_or_dash(value: &Json) -> &str {
    value.as_str().unwrap_or("-")
}

/// Formats a response for people and shell scripts: one item per line, with tab-separated fields.
fn format_response(response: &Json) -> String {
    let mut out = String::new();
    if let Some(view) = response.get("levels") {
        out += &format!(
            "level\t{}\nsince\t{:.1} s\nwhy\t{}\n",
            text_or_dash(&view["level"]),
            to_seconds(&view["since_ms"]),
            format_causes(&view["why"])
        );
        out += &format!("stays\t{:.1} s\n", to_seconds(&view["stays_ms"]));
        if !view["held_ms"].is_null() {
            out += &format!("held\t{:.1} s\n", to_seconds(&view["held_ms"]));
        }
        out += "condition\tsignal\tfigure\tenter\tleave\tmet s\tgone s\n";
        for condition in view["conditions"].as_array().into_iter().flatten() {
            let figure = condition["figure"]
                .as_f64()
                .map_or("-".to_owned(), |figure| format!("{figure:.2}"));
            let (enter, leave) = (
                condition["enter"].as_f64().unwrap_or(0.0),
                condition["leave"].as_f64().unwrap_or(0.0),
            );
            let (met, gone) = (
                to_seconds(&condition["met_ms"]),
                to_seconds(&condition["gone_ms"]),
            );
            out += &format!(
                "{}\t{}\t{figure}\t{enter:.2}\t{leave:.2}\t{met:.1}\t{gone:.1}\n",
                text_or_dash(&condition["level"]),
                text_or_dash(&condition["signal"])
            );
        }
    } else if let Some(history) = response.get("history") {
        for change in history.as_array().into_iter().flatten() {
            let lasted = to_seconds(&change["lasted_ms"]);
            out += &format!(
                "{}\t{}\t{}\t{lasted:.1} s\t{}\n",
                change["unix_ms"],
                text_or_dash(&change["from"]),
                text_or_dash(&change["to"]),
                format_causes(&change["causes"])
            );
        }
    } else if let Some(level) = response.get("held") {
        let held_s = to_seconds(&response["ms"]);
        out += &format!("held\t{}\t{held_s:.1} s\n", text_or_dash(level));
    } else if let Some(released) = response.get("released") {
        out += if released.as_bool() == Some(true) {
            "released\n"
        } else {
            "nothing was held\n"
        };
    }
    out
}

/// Replays a recorded log through the site file's conditions, or through the built-in ones, and prints the level changes.
fn replay_file(file: &PathBuf, site: Option<PathBuf>, json: bool) -> Result<(), String> {
    let config = match site {
        None => DegradationConfig::default(),
        Some(path) => {
            let with_path = |error: String| format!("{}: {error}", path.display());
            let text =
                std::fs::read_to_string(&path).map_err(|error| with_path(error.to_string()))?;
            SiteConfig::read(&text)
                .map_err(|error| with_path(error.to_string()))?
                .levels
                .unwrap_or_default()
        }
    };
    let with_path = |error: String| format!("{}: {error}", file.display());
    let record: Box<dyn BufRead> = match file.to_str() {
        Some("-") => Box::new(BufReader::new(io::stdin())),
        _ => Box::new(BufReader::new(
            File::open(file).map_err(|error| with_path(error.to_string()))?,
        )),
    };
    let mut changes = 0u64;
    let sample_count = replay(&config, record, |at_ms, change| {
        changes += 1;
        match json {
            true => println!("{}", serde_json::json!({"at_ms": at_ms, "change": change})),
            false => println!("{:.1} s\t{change}", at_ms as f64 / 1000.0),
        }
    })
    .map_err(|error| with_path(error.to_string()))?;
    match json {
        true => println!(
            "{}",
            serde_json::json!({"samples": sample_count, "changes": changes})
        ),
        false => println!("{sample_count} samples, {changes} changes"),
    }
    Ok(())
}
