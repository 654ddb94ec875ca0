//! The `coralstep` command-line program.
mod cli;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use coralstep_config::site::SiteConfig;
use coralstep_server::ServeError;
use coralstep_server::base::config::{Config, ConfigFiles};
use lexopt::Arg::{Long, Short, Value};

use cli::{fleet, levels, state};

const USAGE: &str = "\
usage: coralstep serve [--config FILE] [--site FILE]    serve until SIGTERM; SIGHUP reads both files again
       coralstep check [--config FILE] [--site FILE]    read both and tell what is wrong with them
       coralstep schema                                 print the schema of the site file
       coralstep levels --help                          levels of reduced service: show, history, hold, release, replay
       coralstep fleet --help                           the fleet: members, versions, who acted on what
       coralstep state --help                           what is kept over a restart: show, verify, export
       coralstep version
       coralstep --help

The site file is the operator's own: SCGI callers and applications. Without it there are none.
Without --config, the file that RELAY_CONFIG names is read. RELAY_NAME and RELAY_LISTEN stand in for its
`name` and `listen` where it leaves them out.
";

/// Paths of the configuration file and the site file, if given.
type FilePaths = (Option<PathBuf>, Option<PathBuf>);

enum Command {
    Serve(FilePaths),
    Check(FilePaths),
    Schema,
    Levels(levels::Command),
    State(state::Command),
    Fleet(fleet::Command),
    Version,
    Help,
}

fn parse_command(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut name, mut config, mut site): (Option<String>, Option<OsString>, Option<OsString>) =
        (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("config") => config = Some(parser.value()?),
            Long("site") => site = Some(parser.value()?),
            Value(value) if name.is_none() && value == "levels" => {
                return levels::parse(&mut parser).map(Command::Levels);
            }
            Value(value) if name.is_none() && value == "fleet" => {
                return fleet::parse(&mut parser).map(Command::Fleet);
            }
            Value(value) if name.is_none() && value == "state" => {
                return state::parse(&mut parser).map(Command::State);
            }
            Value(value) if name.is_none() => name = Some(value.to_string_lossy().into_owned()),
            other => return Err(other.unexpected()),
        }
    }
    let files = (config.map(PathBuf::from), site.map(PathBuf::from));
    match name.as_deref() {
        Some("serve") => Ok(Command::Serve(files)),
        Some("check") => Ok(Command::Check(files)),
        Some("schema") => Ok(Command::Schema),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("unknown sub-command {other:?}").into()),
        None => Err("no sub-command; see --help".into()),
    }
}

/// Returns the summary that `check` prints for a valid configuration.
fn format_summary(config: &Config) -> String {
    let (methods, tenants) = (config.names.methods.len(), config.names.tenants.len());
    let listens = config
        .listen
        .map_or("nowhere".to_owned(), |address| address.to_string());
    let mut summary = format!(
        "{}: {methods} methods, {tenants} tenants, listens on {listens}\n",
        config.name
    );
    if let Some(scgi) = &config.site.scgi {
        let addresses: Vec<String> = scgi
            .listen
            .iter()
            .map(|address| address.to_string())
            .collect();
        summary += &format!(
            "SCGI: {} routes, listens on {}\n",
            scgi.routes.len(),
            addresses.join(", ")
        );
    }
    if let Some(applications) = &config.site.applications {
        summary += &format!("applications: {}\n", applications.addresses.len());
    }
    summary
}

/// Reports an error in the command line or the configuration and returns exit status 2. Nothing has been started yet.
fn reject_input(error: &str) -> ExitCode {
    eprintln!("coralstep: {error}");
    ExitCode::from(2)
}

fn main() -> ExitCode {
    let result = match parse_command(lexopt::Parser::from_env()) {
        Err(error) => return reject_input(&error.to_string()),
        Ok(Command::Help) => {
            print!("{USAGE}");
            Ok(())
        }
        Ok(Command::Version) => {
            println!("coralstep {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Command::Schema) => {
            print!("{}", SiteConfig::schema());
            Ok(())
        }
        Ok(Command::Levels(command)) => levels::run(command),
        Ok(Command::Fleet(command)) => fleet::run(command).map_err(|error| error.to_string()),
        Ok(Command::State(command)) => match state::run(command) {
            Ok(state::Inspection::Passed) => Ok(()),
            Ok(state::Inspection::Failed) => return ExitCode::FAILURE,
            Err(error) => Err(error.to_string()),
        },
        Ok(Command::Check((config, site))) => {
            match ConfigFiles::new(config, site).and_then(|files| files.load()) {
                Ok(config) => {
                    print!("{}", format_summary(&config));
                    Ok(())
                }
                Err(error) => return reject_input(&error.to_string()),
            }
        }
        Ok(Command::Serve((config, site))) => {
            match ConfigFiles::new(config, site)
                .map_err(|error| ServeError::Config(error.to_string()))
                .and_then(coralstep_server::serve)
            {
                Ok(()) => Ok(()),
                Err(ServeError::Config(error)) => return reject_input(&error),
                Err(ServeError::System(error)) => Err(error),
            }
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coralstep: {error}");
            ExitCode::FAILURE
        }
    }
}
