//! The program `coralstep-lab`.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use coralstep_lab::World;
use coralstep_lab::baseline::Policy;
use coralstep_lab::caller::Protocol;
use coralstep_lab::emulate::EmulationOptions;
use coralstep_lab::emulate::wire::Faults;
use coralstep_lab::world::WORLDS;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;

mod cli;

const USAGE: &str = "\
usage: coralstep-lab COMMAND …

  demo [--server PROGRAM] [--out PAGE]
        three servers on loopback, driven past their load, their store slowed and hung; half a minute
  simulate WORLD [--policy P] [--seed N] [--days N] [--threads N] [--json]
        days of WORLD in virtual time, one a seed; the four rules are checked
  emulate WORLD [--scgi] [--applications] [--wire KIND=PART,…] [--server PROGRAM] [--seed N] [--beside] [--out PAGE] [--json]
        WORLD on loopback sockets with the program coralstep; faults on the wire: delay, cut, garble, reset, half-open,
        duplicate; --beside: the simulator's day next to it
  load thrift|scgi --at ADDRESS[,…] --rate N --seconds N --method NAME[=SHARE] … [--connections N] [--deadline-ms N]
       [--body BYTES] [--seed N] [--json]
  load thrift|scgi --at ADDRESS[,…] --replay FILE …
        an open loop; FILE has a JSON object a line: at_ms, method, and where wanted token and tenant
  bound WORLD [--policy P] [--seed N] [--json]
        how far a day was from the best that could be done, and what was lost why
  experiment WORLD [--policy P …] [--seed N] [--days N] [--threads N] [--out PAGE] [--json]
        baselines against the module, the same days for both
  compare OLD NEW WORLD [--seed N] [--days N] [--threads N] [--json]
        two of the project's own commits, built and played on the same days
  search WORLD [--tries N] [--seed N] --out FILE
        the changed world in which the module is furthest from the best
  explore [--depth N] [--states N] [--histories N] [--length N] [--seed N] [--threads N] [--json]
        every short history of small scopes, then long ones by chance
  fleet PLAY [--server PROGRAM] [--other-server PROGRAM] [--json]
        processes of coralstep with a relay on every link, and what PLAY does to them; judged at every moment;
        --other-server: a second build, from which every other process is started
  fleet mixed-builds --other-server PROGRAM [--server PROGRAM] [--seed N] [--json]
        two builds as one fleet, and a process of the first on a state directory of the second
  report WORLD [--policy P] [--seed N] --out PAGE
        a page about a day
  worlds, schema, fleet-schema
        the worlds that come with it; the schema of a world, of a play of processes

WORLD is a file, or the name of one that comes with it. P is module, plain, no-breaker, static or codel. Exit status: 0;
1 where a rule was broken, a figure is void, or something is at fault; 2 for a call that is not understood.
";

/// All that a call may say.
struct Call {
    words: Vec<String>,
    policies: Vec<Policy>,
    methods: Vec<(String, f64)>,
    at: Vec<SocketAddr>,
    seed: u64,
    days: Option<u64>,
    threads: usize,
    depth: usize,
    states: u64,
    histories: u64,
    length: usize,
    tries: u64,
    rate: f64,
    seconds: f64,
    connections: usize,
    deadline_ms: u64,
    body: usize,
    replay: Option<PathBuf>,
    server: Option<PathBuf>,
    other_server: Option<PathBuf>,
    out: Option<PathBuf>,
    wire: Faults,
    json: bool,
    beside: bool,
    scgi: bool,
    applications: bool,
    help: bool,
}

/// A figure within bounds; the message names the option.
fn within<T: PartialOrd + std::fmt::Display + std::str::FromStr>(
    parser: &mut lexopt::Parser,
    name: &str,
    least: T,
    most: T,
) -> Result<T, lexopt::Error>
where
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let value: T = parser.value()?.parse()?;
    if value >= least && value <= most {
        Ok(value)
    } else {
        Err(format!("--{name}: {value} is not from {least} to {most}").into())
    }
}

fn read(mut parser: lexopt::Parser) -> Result<Call, lexopt::Error> {
    let mut call = Call {
        words: Vec::new(),
        policies: Vec::new(),
        methods: Vec::new(),
        at: Vec::new(),
        seed: 1,
        days: None,
        threads: std::thread::available_parallelism().map_or(1, usize::from),
        depth: 4,
        states: 200_000,
        histories: 200,
        length: 40,
        tries: 200,
        rate: 0.0,
        seconds: 10.0,
        connections: 2,
        deadline_ms: 5_000,
        body: 100,
        replay: None,
        server: None,
        other_server: None,
        out: None,
        wire: Faults::default(),
        json: false,
        beside: false,
        scgi: false,
        applications: false,
        help: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => call.help = true,
            Long("json") => call.json = true,
            Long("beside") => call.beside = true,
            Long("scgi") => call.scgi = true,
            Long("applications") => call.applications = true,
            Long("seed") => call.seed = parser.value()?.parse()?,
            Long("days") => call.days = Some(within(&mut parser, "days", 1, 100_000)?),
            Long("threads") => call.threads = within(&mut parser, "threads", 1, 1_024)?,
            Long("depth") => call.depth = within(&mut parser, "depth", 0, 40)?,
            Long("states") => call.states = within(&mut parser, "states", 1, 100_000_000)?,
            Long("histories") => call.histories = within(&mut parser, "histories", 0, 100_000_000)?,
            Long("length") => call.length = within(&mut parser, "length", 1, 100_000)?,
            Long("tries") => call.tries = within(&mut parser, "tries", 1, 1_000_000)?,
            Long("rate") => call.rate = within(&mut parser, "rate", 0.0, 1e6)?,
            Long("seconds") => call.seconds = within(&mut parser, "seconds", 0.1, 86_400.0)?,
            Long("connections") => call.connections = within(&mut parser, "connections", 1, 1_000)?,
            Long("deadline-ms") => {
                call.deadline_ms = within(&mut parser, "deadline-ms", 1, 3_600_000)?
            }
            Long("body") => call.body = within(&mut parser, "body", 0, 8_192)?,
            Long("replay") => call.replay = Some(parser.value()?.into()),
            Long("server") => call.server = Some(parser.value()?.into()),
            Long("other-server") => call.other_server = Some(parser.value()?.into()),
            Long("out") => call.out = Some(parser.value()?.into()),
            Long("wire") => {
                call.wire = Faults::parse(&parser.value()?.string()?)
                    .map_err(|why| format!("--wire: {why}"))?;
            }
            Long("policy") => {
                let name = parser.value()?.string()?;
                call.policies.push(
                    Policy::from_name(&name)
                        .ok_or_else(|| format!("--policy: {name:?} is none"))?,
                );
            }
            Long("method") => {
                let text = parser.value()?.string()?;
                let (name, share) = text.split_once('=').unwrap_or((&text, "1"));
                let share = share
                    .parse()
                    .ok()
                    .filter(|share| (0.0..=1e6).contains(share));
                call.methods.push((
                    name.to_owned(),
                    share.ok_or_else(|| format!("--method: {text:?}: no share"))?,
                ));
            }
            Long("at") => {
                for address in parser.value()?.string()?.split(',') {
                    call.at.push(
                        address
                            .parse()
                            .map_err(|_| format!("--at: {address:?} is no address and port"))?,
                    );
                }
            }
            Value(word) if call.words.len() < 4 => call.words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(call)
}

/// What is at fault, or was not understood.
enum Fault {
    Call(String),
    Run(String),
}

impl From<String> for Fault {
    fn from(why: String) -> Fault {
        Fault::Run(why)
    }
}

impl Call {
    fn out(&self, command: &str) -> Result<PathBuf, Fault> {
        self.out
            .clone()
            .ok_or_else(|| Fault::Call(format!("{command}: --out is missing")))
    }

    fn load(&self, protocol: &str) -> Result<bool, Fault> {
        let protocol = match protocol {
            "thrift" => Protocol::Thrift,
            "scgi" => Protocol::Scgi,
            other => {
                return Err(Fault::Call(format!(
                    "load: {other:?} is neither thrift nor scgi"
                )));
            }
        };
        let planned = self.replay.is_some() || (self.rate > 0.0 && !self.methods.is_empty());
        if self.at.is_empty() || !planned {
            return Err(Fault::Call(
                "load: --at, and --replay or --rate and --method, must be given".to_owned(),
            ));
        }
        let call = cli::load::Call {
            protocol,
            targets: self.at.clone(),
            rate: self.rate,
            seconds: self.seconds,
            methods: self.methods.clone(),
            replay: self.replay.clone(),
            seed: self.seed,
            connections: self.connections,
            deadline_ms: self.deadline_ms,
            body: self.body,
            json: self.json,
        };
        Ok(cli::load::load(&call)?)
    }

    fn emulate(&self, world: &World) -> Result<bool, Fault> {
        let protocol = if self.scgi {
            Protocol::Scgi
        } else {
            Protocol::Thrift
        };
        let terms = EmulationOptions {
            program: cli::sockets::program(self.server.clone())?,
            protocol,
            applications: self.applications,
            faults: self.wire,
            seed: self.seed,
        };
        Ok(cli::sockets::emulated(
            world,
            &terms,
            self.out.as_deref(),
            self.beside,
            self.json,
        )?)
    }

    fn fleet(&self, play: &str) -> Result<bool, Fault> {
        let (server, other) = (self.server.clone(), self.other_server.clone());
        if play != cli::fleet::MIXED_BUILDS {
            return Ok(cli::fleet::play(play, server, other, self.json)?);
        }
        let other =
            other.ok_or_else(|| Fault::Call(format!("fleet {play}: --other-server is missing")))?;
        Ok(cli::fleet::mixed_builds(
            server, other, self.seed, self.json,
        )?)
    }

    fn run(&self) -> Result<bool, Fault> {
        let words: Vec<&str> = self.words.iter().map(String::as_str).collect();
        let policy = self.policies.first().copied().unwrap_or_default();
        let (seed, threads, json) = (self.seed, self.threads, self.json);
        match words[..] {
            _ if self.help => print!("{USAGE}"),
            ["schema"] => print!("{}", World::schema()),
            ["fleet-schema"] => print!("{}", coralstep_lab::fleet::play::Play::schema()),
            ["fleet", play] => return self.fleet(play),
            ["worlds"] => {
                for (name, text) in WORLDS {
                    let world = World::parse(text)?;
                    let (servers, rate) = (world.servers.count, world.rate());
                    println!(
                        "{name}\t{servers} servers\t{rate:.0} requests a second\t{} s",
                        world.seconds
                    );
                }
            }
            ["demo"] => return Ok(cli::sockets::demo(self.server.clone(), self.out.clone())?),
            ["simulate", world] => {
                let (world, days) = (cli::world(world)?, self.days.unwrap_or(1));
                return Ok(cli::simulate::simulate(
                    &world, policy, seed, days, threads, json,
                )?);
            }
            ["emulate", world] => return self.emulate(&cli::world(world)?),
            ["load", protocol] => return self.load(protocol),
            ["bound", world] => {
                return Ok(cli::simulate::bound(
                    &cli::world(world)?,
                    policy,
                    seed,
                    json,
                )?);
            }
            ["report", world] => {
                return Ok(cli::simulate::report(
                    &cli::world(world)?,
                    policy,
                    seed,
                    &self.out("report")?,
                )?);
            }
            ["experiment", world] => {
                let all = [
                    Policy::Plain,
                    Policy::NoBreaker,
                    Policy::Static,
                    Policy::Codel,
                ];
                let variants = if self.policies.is_empty() {
                    &all[..]
                } else {
                    &self.policies
                };
                let days = self.days.unwrap_or(64);
                let world = cli::world(world)?;
                let days = cli::experiment::Days {
                    seed,
                    most: days,
                    threads,
                    json,
                };
                return Ok(cli::experiment::baselines(
                    &world,
                    variants,
                    &days,
                    self.out.as_deref(),
                )?);
            }
            ["compare", old, new, world] => {
                let text = cli::world_text(world)?;
                let world = cli::world(world)?;
                let days = self.days.unwrap_or(64);
                let days = cli::experiment::Days {
                    seed,
                    most: days,
                    threads,
                    json,
                };
                return Ok(cli::experiment::commits(old, new, &world, &text, &days)?);
            }
            ["search", world] => {
                return Ok(cli::experiment::worst(
                    &cli::world(world)?,
                    self.tries,
                    seed,
                    &self.out("search")?,
                )?);
            }
            ["explore"] => {
                let (depth, max_states) = (self.depth, self.states);
                let (histories, length) = (self.histories, self.length);
                let call = cli::explore::Call {
                    depth,
                    max_states,
                    histories,
                    length,
                    seed,
                    threads,
                    json,
                };
                return Ok(cli::explore::explore(&call)?);
            }
            [] => return Err(Fault::Call("no sub-command; see --help".to_owned())),
            [one]
                if [
                    "simulate",
                    "emulate",
                    "bound",
                    "report",
                    "experiment",
                    "search",
                ]
                .contains(&one) =>
            {
                return Err(Fault::Call(format!(
                    "{one}: no world; see coralstep-lab worlds"
                )));
            }
            _ => {
                return Err(Fault::Call(format!(
                    "{:?} is not understood; see --help",
                    words.join(" ")
                )));
            }
        }
        Ok(true)
    }
}

fn main() -> ExitCode {
    let told = |why: &str| eprintln!("coralstep-lab: {why}");
    let call = match read(lexopt::Parser::from_env()) {
        Ok(call) => call,
        Err(why) => {
            told(&why.to_string());
            return ExitCode::from(2);
        }
    };
    match call.run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(Fault::Call(why)) => {
            told(&why);
            ExitCode::from(2)
        }
        Err(Fault::Run(why)) => {
            told(&why);
            ExitCode::FAILURE
        }
    }
}
