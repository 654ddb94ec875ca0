//! The program `coralstep`.
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use coralstep_server::config::Source;
use lexopt::Arg::{Long, Short, Value};

const USAGE: &str = "\
usage: coralstep serve [--config FILE]    serve until SIGTERM; SIGHUP reads FILE again
       coralstep check [--config FILE]    read the configuration and tell what is wrong with it
       coralstep version
       coralstep --help

Without --config, the file that RELAY_CONFIG names is read. RELAY_NAME and RELAY_LISTEN stand in for its
`name` and `listen` where it leaves them out.
";

enum Command {
    Serve(Option<PathBuf>),
    Check(Option<PathBuf>),
    Version,
    Help,
}

fn command(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut name, mut config): (Option<String>, Option<OsString>) = (None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("config") => config = Some(parser.value()?),
            Value(value) if name.is_none() => name = Some(value.to_string_lossy().into_owned()),
            other => return Err(other.unexpected()),
        }
    }
    let config = config.map(PathBuf::from);
    match name.as_deref() {
        Some("serve") => Ok(Command::Serve(config)),
        Some("check") => Ok(Command::Check(config)),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("unknown sub-command {other:?}").into()),
        None => Err("no sub-command; see --help".into()),
    }
}

fn main() -> ExitCode {
    let done = match command(lexopt::Parser::from_env()) {
        Err(why) => {
            eprintln!("coralstep: {why}");
            return ExitCode::from(2);
        }
        Ok(Command::Help) => {
            print!("{USAGE}");
            Ok(())
        }
        Ok(Command::Version) => {
            println!("coralstep {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Command::Check(path)) => Source::new(path).and_then(|source| source.load()).map(|config| {
            let (methods, tenants) = (config.names.methods.len(), config.names.tenants.len());
            println!("{}: {methods} methods, {tenants} tenants, listens on {}", config.name, config.listen);
        }),
        Ok(Command::Serve(path)) => Source::new(path).and_then(coralstep_server::serve),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("coralstep: {why}");
            ExitCode::FAILURE
        }
    }
}
