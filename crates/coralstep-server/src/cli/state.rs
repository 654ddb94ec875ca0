//! `coralstep state`: what is kept in a folder, also while a server has it.
use std::path::PathBuf;

use coralstep_state::snapshot::{self, SnapshotSummary};
use coralstep_state::storage::ReadOnlyDir;
use lexopt::Arg::{Long, Short, Value};

pub const USAGE: &str = "\
usage: coralstep state show FOLDER [--json]      the snapshots: number, age, what is believed of them
       coralstep state verify FOLDER [--json]    the same; exit status 1 where a file is spoilt or can't be read
       coralstep state export FOLDER             all that the newest good snapshot holds, as JSON

Reads only, and needs no lock: a server may use the folder meanwhile. Exit status: 0, 1 where the folder says no, 2 for a
call that is not understood.
";

pub enum What {
    Show,
    Verify,
    Export,
}

pub enum Call {
    Help,
    Look {
        what: What,
        folder: PathBuf,
        json: bool,
    },
}

pub fn call(parser: &mut lexopt::Parser) -> Result<Call, lexopt::Error> {
    let (mut what, mut folder, mut json) = (None, None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Call::Help),
            Long("json") => json = true,
            Value(word) if what.is_none() => {
                what = Some(match word.to_str() {
                    Some("show") => What::Show,
                    Some("verify") => What::Verify,
                    Some("export") => What::Export,
                    _ => {
                        return Err(format!(
                            "state: {word:?} is not understood; see coralstep state --help"
                        )
                        .into());
                    }
                });
            }
            Value(word) if folder.is_none() => folder = Some(PathBuf::from(word)),
            other => return Err(other.unexpected()),
        }
    }
    let what = what.ok_or("state: show, verify or export; see coralstep state --help")?;
    Ok(Call::Look {
        what,
        folder: folder.ok_or("state: no folder")?,
        json,
    })
}

fn line(view: &SnapshotSummary) -> String {
    match view.sequence_number {
        Some(number) => format!(
            "{}\tnumber {number}\tserver {}\t{} s old\t{}",
            view.file, view.server, view.age_s, view.status
        ),
        None => format!("{}\t{}", view.file, view.status),
    }
}

/// Whether all is well.
pub fn run(call: Call) -> Result<bool, String> {
    let Call::Look { what, folder, json } = call else {
        print!("{USAGE}");
        return Ok(true);
    };
    let now_s = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    let look = ReadOnlyDir::open(&folder).map_err(|why| format!("{}: {why}", folder.display()))?;
    let views = snapshot::list_snapshots(&look, now_s.map_or(0, |since| since.as_secs()));
    match what {
        What::Export => {
            let newest = views
                .iter()
                .filter(|view| view.sequence_number.is_some())
                .max_by_key(|view| view.sequence_number);
            let newest = newest.ok_or_else(|| format!("{}: no good snapshot", folder.display()))?;
            println!(
                "{}",
                snapshot::export_json(&look, &newest.file).unwrap_or_default()
            );
        }
        _ if json => {
            for view in &views {
                println!(
                    "{}",
                    serde_json::to_string(view).map_err(|why| why.to_string())?
                );
            }
        }
        _ if views.is_empty() => println!("nothing is kept here"),
        _ => views.iter().for_each(|view| println!("{}", line(view))),
    }
    Ok(!matches!(what, What::Verify) || views.iter().all(|view| view.sequence_number.is_some()))
}
