//! The program `coralstep`.
#[path = "cli/fleet.rs"]
mod fleet;
#[path = "cli/levels.rs"]
mod levels;
#[path = "cli/state.rs"]
mod state;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use coralstep_config::site::SiteConfig;
use coralstep_server::ServeError;
use coralstep_server::base::config::{Config, ConfigFiles};
use lexopt::Arg::{Long, Short, Value};

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

/// The configuration and the site file, where they are named.
type Files = (Option<PathBuf>, Option<PathBuf>);

enum Command {
    Serve(Files),
    Check(Files),
    Schema,
    Levels(levels::Call),
    State(state::Call),
    Fleet(fleet::Call),
    Version,
    Help,
}

fn command(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut name, mut config, mut site): (Option<String>, Option<OsString>, Option<OsString>) =
        (None, None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("config") => config = Some(parser.value()?),
            Long("site") => site = Some(parser.value()?),
            Value(value) if name.is_none() && value == "levels" => {
                return levels::call(&mut parser).map(Command::Levels);
            }
            Value(value) if name.is_none() && value == "fleet" => {
                return fleet::call(&mut parser).map(Command::Fleet);
            }
            Value(value) if name.is_none() && value == "state" => {
                return state::call(&mut parser).map(Command::State);
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

/// What `check` says of a good configuration.
fn told(config: &Config) -> String {
    let (methods, tenants) = (config.names.methods.len(), config.names.tenants.len());
    let listens = config
        .listen
        .map_or("nowhere".to_owned(), |at| at.to_string());
    let mut told = format!(
        "{}: {methods} methods, {tenants} tenants, listens on {listens}\n",
        config.name
    );
    if let Some(scgi) = &config.site.scgi {
        let at: Vec<String> = scgi.listen.iter().map(|at| at.to_string()).collect();
        told += &format!(
            "SCGI: {} routes, listens on {}\n",
            scgi.routes.len(),
            at.join(", ")
        );
    }
    if let Some(applications) = &config.site.applications {
        told += &format!("applications: {}\n", applications.addresses.len());
    }
    told
}

/// What was asked for, or the files that say how, are at fault; nothing was begun.
fn at_fault(why: &str) -> ExitCode {
    eprintln!("coralstep: {why}");
    ExitCode::from(2)
}

fn main() -> ExitCode {
    let done = match command(lexopt::Parser::from_env()) {
        Err(why) => return at_fault(&why.to_string()),
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
        Ok(Command::Levels(call)) => levels::run(call),
        Ok(Command::Fleet(call)) => fleet::run(call).map_err(|error| error.to_string()),
        Ok(Command::State(call)) => match state::run(call) {
            Ok(state::Verdict::Good) => Ok(()),
            Ok(state::Verdict::Bad) => return ExitCode::FAILURE,
            Err(error) => Err(error.to_string()),
        },
        Ok(Command::Check((config, site))) => {
            match ConfigFiles::new(config, site).and_then(|files| files.load()) {
                Ok(config) => {
                    print!("{}", told(&config));
                    Ok(())
                }
                Err(error) => return at_fault(&error.to_string()),
            }
        }
        Ok(Command::Serve((config, site))) => {
            match ConfigFiles::new(config, site)
                .map_err(|error| ServeError::Config(error.to_string()))
                .and_then(coralstep_server::serve)
            {
                Ok(()) => Ok(()),
                Err(ServeError::Config(why)) => return at_fault(&why),
                Err(ServeError::System(why)) => Err(why),
            }
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("coralstep: {why}");
            ExitCode::FAILURE
        }
    }
}
