//! `coralstep fleet`: who is there, versions of the settings, and who acted on which.
use std::path::PathBuf;

use coralstep_server::operators::ops::Question;
use coralstep_terms::site::Listen;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use serde_json::Value as Json;

use crate::levels::ask;

pub const USAGE: &str = "\
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

pub enum Call {
    Help,
    Ask {
        question: Question,
        at: Listen,
        json: bool,
    },
    Publish {
        file: PathBuf,
        must: bool,
        waves: Vec<f32>,
        pause_ms: u64,
        at: Listen,
        json: bool,
    },
}

/// Parts of the fleet, rising to all of it.
fn waves(text: &str) -> Result<Vec<f32>, String> {
    let parts: Result<Vec<f32>, _> = text.split(',').map(str::parse).collect();
    let parts = parts.map_err(|_| format!("--waves: {text:?} is no list of parts"))?;
    let rise = parts.windows(2).all(|two| two[0] < two[1]);
    if parts.len() > 16
        || !rise
        || parts.first().is_none_or(|part| *part <= 0.0)
        || parts.last() != Some(&1.0)
    {
        return Err(format!(
            "--waves: {text}: parts rise from above 0 to 1, 16 at most"
        ));
    }
    Ok(parts)
}

/// What stands behind `coralstep fleet`.
pub fn call(parser: &mut lexopt::Parser) -> Result<Call, lexopt::Error> {
    let (mut words, mut at, mut json, mut must) = (Vec::new(), None, false, false);
    let (mut parts, mut pause, mut version, mut server, mut time) =
        (Vec::new(), 30.0, None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Call::Help),
            Long("at") => {
                at = Some(
                    parser
                        .value()?
                        .string()?
                        .parse::<Listen>()
                        .map_err(|why| format!("--at: {why}"))?,
                )
            }
            Long("json") => json = true,
            Long("must") => must = true,
            Long("waves") => parts = waves(&parser.value()?.string()?)?,
            Long("pause") => pause = parser.value()?.parse::<f64>()?,
            Long("version") => version = Some(parser.value()?.string()?),
            Long("server") => server = Some(parser.value()?.string()?),
            Long("time") => time = Some(parser.value()?.parse::<u64>()?),
            Value(word) if words.len() < 2 => words.push(word),
            other => return Err(other.unexpected()),
        }
    }
    let word = |at: usize| {
        words
            .get(at)
            .map(|word: &std::ffi::OsString| word.to_string_lossy().into_owned())
    };
    let at = at.ok_or_else(|| lexopt::Error::from("--at: missing"));
    let question = match (word(0).as_deref(), word(1)) {
        (Some("members"), None) => Question::FleetMembers,
        (Some("versions"), None) => Question::FleetVersions,
        (Some("audit"), None) => Question::FleetAudit {
            version,
            server,
            at_ms: time,
        },
        (Some("limits"), None) => Question::FleetLimits,
        (Some("verdicts"), None) => Question::FleetVerdicts,
        (Some("shut-out"), Some(server)) => Question::FleetShutOut { server },
        (Some("let-in"), Some(server)) => Question::FleetLetIn { server },
        (Some("publish"), Some(file)) => {
            if !(0.0..=86_400.0).contains(&pause) {
                return Err(format!("--pause: {pause} is not from 0 to 86400").into());
            }
            let pause_ms = (pause * 1000.0) as u64;
            return Ok(Call::Publish {
                file: file.into(),
                must,
                waves: parts,
                pause_ms,
                at: at?,
                json,
            });
        }
        (None, _) => return Err("fleet: no sub-command; see coralstep fleet --help".into()),
        (Some(other), _) => {
            return Err(
                format!("fleet: {other:?} is not understood; see coralstep fleet --help").into(),
            );
        }
    };
    Ok(Call::Ask {
        question,
        at: at?,
        json,
    })
}

pub fn run(call: Call) -> Result<(), String> {
    let (question, at, json) = match call {
        Call::Help => {
            print!("{USAGE}");
            return Ok(());
        }
        Call::Ask { question, at, json } => (question, at, json),
        Call::Publish {
            file,
            must,
            waves,
            pause_ms,
            at,
            json,
        } => {
            let named = |why: String| format!("{}: {why}", file.display());
            let text = std::fs::read_to_string(&file).map_err(|why| named(why.to_string()))?;
            let content = serde_json::from_str(&text).map_err(|why| named(why.to_string()))?;
            (
                Question::FleetPublish {
                    content,
                    must,
                    waves,
                    pause_ms,
                },
                at,
                json,
            )
        }
    };
    let said = ask(&at, &question).map_err(|why| format!("{at}: {why}"))?;
    if let Some(why) = said["error"].as_str() {
        return Err(why.to_owned());
    }
    let rows = ["members", "versions", "audit", "limits", "verdicts"]
        .iter()
        .find_map(|key| said[key].as_array());
    match (rows, json) {
        (Some(rows), true) => rows.iter().for_each(|row| println!("{row}")),
        (Some(rows), false) => print!("{}", table(rows)),
        (None, _) => println!("{said}"),
    }
    Ok(())
}

/// Words apart by tabs, a head above them.
fn table(rows: &[Json]) -> String {
    let Some(first) = rows.first().and_then(Json::as_object) else {
        return String::new();
    };
    let line = |cells: Vec<String>| cells.join("\t") + "\n";
    let cell = |value: &Json| match value {
        Json::Null => "-".to_owned(),
        Json::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut out = line(first.keys().cloned().collect());
    for row in rows {
        out += &line(first.keys().map(|key| cell(&row[key])).collect());
    }
    out
}

#[cfg(test)]
#[path = "fleet/tests.rs"]
mod tests;
