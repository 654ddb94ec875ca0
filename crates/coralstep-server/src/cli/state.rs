//! `coralstep state`: inspects the snapshots in a state directory, even while a server uses it.
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use coralstep_state::StorageError;
use coralstep_state::snapshot::{self, SnapshotSummary};
use coralstep_state::storage::ReadOnlyDir;
use lexopt::Arg::{Long, Short, Value};

const USAGE: &str = "\
usage: coralstep state show FOLDER [--json]      the snapshots: number, age, what is believed of them
       coralstep state verify FOLDER [--json]    the same; exit status 1 where a file is spoilt or can't be read
       coralstep state export FOLDER             all that the newest good snapshot holds, as JSON

Reads only, and needs no lock: a server may use the folder meanwhile. Exit status: 0, 1 where the folder says no, 2 for a
call that is not understood.
";

/// Operation on a state directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Print a summary of each snapshot.
    Show,
    /// Print a summary of each snapshot, and fail if one of them is corrupt or can't be read.
    Verify,
    /// Print the newest valid snapshot as JSON.
    Export,
}

/// A parsed `coralstep state` command.
#[derive(Debug)]
pub(crate) enum Command {
    Help,
    Inspect {
        action: Action,
        folder: PathBuf,
        json: bool,
    },
}

/// Result of inspecting a state directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Inspection {
    /// The command succeeded.
    Passed,
    /// Verification found a corrupt or unreadable snapshot.
    Failed,
}

/// Error of inspecting a state directory.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InspectError {
    #[error("{}: {source}", folder.display())]
    Storage {
        folder: PathBuf,
        source: StorageError,
    },
    #[error("{}: no good snapshot", folder.display())]
    NoSnapshot { folder: PathBuf },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Parses the command line after `coralstep state`.
pub(crate) fn parse(parser: &mut lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut action = None;
    let mut folder = None;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Long("json") => json = true,
            Value(name) if action.is_none() => action = Some(parse_action(&name)?),
            Value(path) if folder.is_none() => folder = Some(PathBuf::from(path)),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Inspect {
        action: action.ok_or("state: show, verify or export; see coralstep state --help")?,
        folder: folder.ok_or("state: no folder")?,
        json,
    })
}

fn parse_action(name: &std::ffi::OsStr) -> Result<Action, lexopt::Error> {
    match name.to_str() {
        Some("show") => Ok(Action::Show),
        Some("verify") => Ok(Action::Verify),
        Some("export") => Ok(Action::Export),
        _ => Err(format!("state: {name:?} is not understood; see coralstep state --help").into()),
    }
}

/// Executes a command and prints its output.
pub(crate) fn run(command: Command) -> Result<Inspection, InspectError> {
    let Command::Inspect {
        action,
        folder,
        json,
    } = command
    else {
        print!("{USAGE}");
        return Ok(Inspection::Passed);
    };
    let directory = ReadOnlyDir::open(&folder).map_err(|source| InspectError::Storage {
        folder: folder.clone(),
        source,
    })?;
    let summaries = snapshot::list_snapshots(&directory, current_unix_time_s());
    match action {
        Action::Export => export(&directory, &folder, &summaries)?,
        Action::Show | Action::Verify if json => print_json(&summaries)?,
        Action::Show | Action::Verify => print_text(&summaries),
    }
    let all_valid = summaries.iter().all(is_valid);
    if action == Action::Verify && !all_valid {
        return Ok(Inspection::Failed);
    }
    Ok(Inspection::Passed)
}

fn current_unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_secs())
}

fn is_valid(summary: &SnapshotSummary) -> bool {
    summary.sequence_number.is_some()
}

fn export(
    directory: &ReadOnlyDir,
    folder: &Path,
    summaries: &[SnapshotSummary],
) -> Result<(), InspectError> {
    let newest = summaries
        .iter()
        .filter(|summary| is_valid(summary))
        .max_by_key(|summary| summary.sequence_number)
        .ok_or_else(|| InspectError::NoSnapshot {
            folder: folder.to_owned(),
        })?;
    let json = snapshot::export_json(directory, &newest.file).unwrap_or_default();
    println!("{json}");
    Ok(())
}

fn print_json(summaries: &[SnapshotSummary]) -> Result<(), InspectError> {
    for summary in summaries {
        println!("{}", serde_json::to_string(summary)?);
    }
    Ok(())
}

fn print_text(summaries: &[SnapshotSummary]) {
    if summaries.is_empty() {
        println!("nothing is kept here");
    }
    for summary in summaries {
        println!("{}", format_line(summary));
    }
}

fn format_line(summary: &SnapshotSummary) -> String {
    let SnapshotSummary {
        file,
        sequence_number,
        server,
        age_s,
        status,
    } = summary;
    match sequence_number {
        Some(number) => {
            format!("{file}\tnumber {number}\tserver {server}\t{age_s} s old\t{status}")
        }
        None => format!("{file}\t{status}"),
    }
}
