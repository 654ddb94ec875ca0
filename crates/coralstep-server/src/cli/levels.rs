//! `coralstep levels`: what a running server says of its levels, a hold by hand, and recorded figures played through other
//! conditions.
use std::ffi::OsString;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

use coralstep_config::site::{ListenAddress, SiteConfig};
use coralstep_degradation::{DegradationConfig, replay};
use coralstep_server::operators::ops::Question;
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

/// The longest wait for the server.
const PATIENCE: Duration = Duration::from_secs(2);

pub enum Call {
    Help,
    Ask {
        question: Question,
        at: ListenAddress,
        json: bool,
    },
    Replay {
        file: PathBuf,
        site: Option<PathBuf>,
        json: bool,
    },
}

/// What stands behind `coralstep levels`.
pub fn call(parser: &mut lexopt::Parser) -> Result<Call, lexopt::Error> {
    let (mut words, mut at, mut span, mut site, mut json) =
        (Vec::<OsString>::new(), None, None, None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Call::Help),
            Long("at") => {
                at = Some(
                    parser
                        .value()?
                        .string()?
                        .parse::<ListenAddress>()
                        .map_err(|why| format!("--at: {why}"))?,
                )
            }
            Long("for") => span = Some(parser.value()?.parse::<f64>()?),
            Long("site") => site = Some(PathBuf::from(parser.value()?)),
            Long("json") => json = true,
            Value(word) if words.len() < 2 => words.push(word),
            other => return Err(other.unexpected()),
        }
    }
    let word = |at: usize| {
        words
            .get(at)
            .map(|word| word.to_string_lossy().into_owned())
    };
    let at = || {
        at.clone()
            .ok_or_else(|| lexopt::Error::from("--at: missing"))
    };
    let question = match (word(0).as_deref(), word(1)) {
        (Some("show"), None) => Question::Levels,
        (Some("history"), None) => Question::History,
        (Some("release"), None) => Question::Release,
        (Some("hold"), Some(level)) => {
            let seconds = span
                .filter(|span| *span > 0.0 && *span < 1e6)
                .ok_or("--for: seconds above 0 are missing")?;
            Question::Hold {
                level,
                ms: (seconds * 1000.0) as u64,
            }
        }
        (Some("replay"), Some(file)) => {
            return Ok(Call::Replay {
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
    Ok(Call::Ask {
        question,
        at: at()?,
        json,
    })
}

pub fn run(call: Call) -> Result<(), String> {
    match call {
        Call::Help => print!("{USAGE}"),
        Call::Ask { question, at, json } => {
            let said = ask(&at, &question).map_err(|why| format!("{at}: {why}"))?;
            if let Some(why) = said["error"].as_str() {
                return Err(why.to_owned());
            }
            if json {
                println!("{said}");
            } else {
                print!("{}", text(&said));
            }
        }
        Call::Replay { file, site, json } => replayed(&file, site, json)?,
    }
    Ok(())
}

pub fn ask(at: &ListenAddress, question: &Question) -> io::Result<Json> {
    fn talk(mut stream: impl Read + Write, question: &Question) -> io::Result<String> {
        stream.write_all(format!("{}\n", serde_json::to_string(question)?).as_bytes())?;
        let mut said = String::new();
        BufReader::new(stream).take(1 << 20).read_line(&mut said)?;
        Ok(said)
    }
    let said = match at {
        ListenAddress::Address(address) => {
            let stream = TcpStream::connect_timeout(address, PATIENCE)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            talk(stream, question)?
        }
        ListenAddress::Path(path) => {
            let stream = UnixStream::connect(path)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            talk(stream, question)?
        }
    };
    Ok(serde_json::from_str(&said)?)
}

fn seconds(ms: &Json) -> f64 {
    ms.as_f64().unwrap_or(0.0) / 1000.0
}

fn causes(causes: &Json) -> String {
    let one = |cause: &Json| {
        let (figure, threshold) = (&cause["figure"], &cause["threshold"]);
        format!(
            "{} {:.2} of {:.2}",
            word(&cause["signal"]),
            figure.as_f64().unwrap_or(0.0),
            threshold.as_f64().unwrap_or(0.0)
        )
    };
    let all: Vec<String> = causes.as_array().into_iter().flatten().map(one).collect();
    if all.is_empty() {
        "-".to_owned()
    } else {
        all.join(", ")
    }
}

fn word(value: &Json) -> &str {
    value.as_str().unwrap_or("-")
}

/// A table a person or a shell can read: one fact a line, words apart by tabs where there are several.
fn text(said: &Json) -> String {
    let mut out = String::new();
    if let Some(view) = said.get("levels") {
        out += &format!(
            "level\t{}\nsince\t{:.1} s\nwhy\t{}\n",
            word(&view["level"]),
            seconds(&view["since_ms"]),
            causes(&view["why"])
        );
        out += &format!("stays\t{:.1} s\n", seconds(&view["stays_ms"]));
        if !view["held_ms"].is_null() {
            out += &format!("held\t{:.1} s\n", seconds(&view["held_ms"]));
        }
        out += "condition\tsignal\tfigure\tenter\tleave\tmet s\tgone s\n";
        for one in view["conditions"].as_array().into_iter().flatten() {
            let figure = one["figure"]
                .as_f64()
                .map_or("-".to_owned(), |figure| format!("{figure:.2}"));
            let (enter, leave) = (
                one["enter"].as_f64().unwrap_or(0.0),
                one["leave"].as_f64().unwrap_or(0.0),
            );
            let (met, gone) = (seconds(&one["met_ms"]), seconds(&one["gone_ms"]));
            out += &format!(
                "{}\t{}\t{figure}\t{enter:.2}\t{leave:.2}\t{met:.1}\t{gone:.1}\n",
                word(&one["level"]),
                word(&one["signal"])
            );
        }
    } else if let Some(history) = said.get("history") {
        for one in history.as_array().into_iter().flatten() {
            let lasted = seconds(&one["lasted_ms"]);
            out += &format!(
                "{}\t{}\t{}\t{lasted:.1} s\t{}\n",
                one["unix_ms"],
                word(&one["from"]),
                word(&one["to"]),
                causes(&one["causes"])
            );
        }
    } else if let Some(level) = said.get("held") {
        out += &format!("held\t{}\t{:.1} s\n", word(level), seconds(&said["ms"]));
    } else if let Some(released) = said.get("released") {
        out += if released.as_bool() == Some(true) {
            "released\n"
        } else {
            "nothing was held\n"
        };
    }
    out
}

fn replayed(file: &PathBuf, site: Option<PathBuf>, json: bool) -> Result<(), String> {
    let terms = match site {
        None => DegradationConfig::default(),
        Some(path) => {
            let named = |why: String| format!("{}: {why}", path.display());
            let text = std::fs::read_to_string(&path).map_err(|why| named(why.to_string()))?;
            SiteConfig::read(&text)
                .map_err(|error| named(error.to_string()))?
                .levels
                .unwrap_or_default()
        }
    };
    let named = |why: String| format!("{}: {why}", file.display());
    let record: Box<dyn BufRead> = match file.to_str() {
        Some("-") => Box::new(BufReader::new(io::stdin())),
        _ => Box::new(BufReader::new(
            File::open(file).map_err(|why| named(why.to_string()))?,
        )),
    };
    let mut changes = 0u64;
    let count = replay(&terms, record, |at_ms, change| {
        changes += 1;
        match json {
            true => println!("{}", serde_json::json!({"at_ms": at_ms, "change": change})),
            false => println!("{:.1} s\t{change}", at_ms as f64 / 1000.0),
        }
    })
    .map_err(|error| named(error.to_string()))?;
    match json {
        true => println!(
            "{}",
            serde_json::json!({"samples": count, "changes": changes})
        ),
        false => println!("{count} samples, {changes} changes"),
    }
    Ok(())
}
