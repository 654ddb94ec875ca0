//! Reads the simulator's wire on standard input, hands each event to its instance of coralstep and writes the
//! answers on standard output. Parsing, units and ids only; every decision is coralstep's.
mod fields;
mod instance;
mod log_words;

use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use coralstep::{EarlierAttempt, Outcome, RpcId, Time};
use fields::Fields;
use instance::Instance;

const NS_PER_TICK: u64 = 100_000;

/// All instances and the batch being read.
#[derive(Default)]
struct Host {
    instances: HashMap<u64, Instance>,
    now_ns: u64,
    in_batch: bool,
    reply: String,
}

impl Host {
    /// Takes one line; true once the batch is complete and `reply` holds its answer.
    fn line(&mut self, line: &str) -> Result<bool, String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if word.is_empty() {
            return Ok(false);
        }
        let fields = Fields(rest);
        match (word, self.in_batch) {
            ("MARK", false) => {
                let ts = fields.need("ts")?;
                if ts < self.now_ns {
                    return Err(format!("the clock went back from {} to {ts}", self.now_ns));
                }
                (self.now_ns, self.in_batch) = (ts, true);
                self.reply.clear();
                Ok(false)
            }
            ("EOF_BATCH", true) => {
                self.in_batch = false;
                self.reply.push_str("READY\n");
                Ok(true)
            }
            ("MARK", true) => Err("MARK inside a batch".to_owned()),
            (_, false) => Err(format!("{word} outside a batch")),
            (_, true) => self.event(word, &fields).map(|()| false),
        }
    }

    fn event(&mut self, word: &str, fields: &Fields) -> Result<(), String> {
        let server = fields.text("server").ok_or("no server")?;
        let number = server
            .strip_prefix("server/")
            .and_then(|number| number.parse().ok());
        let number: u64 = number.ok_or_else(|| format!("no server of the name {server}"))?;
        let now = Time(self.now_ns / NS_PER_TICK);
        if word == "BOOT" {
            let seed = fields.get("entropy")?.unwrap_or(0);
            let instance = Instance::boot(number, seed, fields, self.now_ns, &mut self.reply)?;
            self.instances.insert(number, instance);
            return Ok(());
        }
        if word == "HALT" {
            let known = self.instances.remove(&number);
            return known
                .map(|_| ())
                .ok_or_else(|| format!("{server} was never booted"));
        }
        let instance = self
            .instances
            .get_mut(&number)
            .ok_or_else(|| format!("{server} was never booted"))?;
        let id = |instance: &Instance| -> Result<RpcId, String> {
            let handle = fields.need("handle")?;
            instance
                .ids
                .find(handle)
                .ok_or_else(|| format!("RPC {handle} was never delivered"))
        };
        match word {
            "INBOUND" => {
                let arrival = instance.arrival(fields, self.now_ns)?;
                instance.tell(self.now_ns, &mut self.reply, |server, out| {
                    server.handle_request(now, arrival, out)
                });
            }
            "SETTLED" | "CALLED" => {
                let (rpc, outcome) = (id(instance)?, outcome(fields.need("state_code")?)?);
                let took = fields.span_up("latency")?.unwrap_or_default();
                instance.tell(self.now_ns, &mut self.reply, |server, out| match word {
                    "CALLED" => server.handle_call_result(now, rpc, outcome, took, out),
                    _ => server.handle_completion(now, rpc, outcome, out),
                });
            }
            "WANTS_CALL" => {
                let rpc = id(instance)?;
                instance.tell(self.now_ns, &mut self.reply, |server, out| {
                    server.handle_call_needed(now, rpc, out)
                });
            }
            "ABORTED" => {
                let rpc = id(instance)?;
                instance.tell(self.now_ns, &mut self.reply, |server, out| {
                    server.handle_cancellation(now, rpc, out)
                });
            }
            "WIND_DOWN" => {
                let stop = Time(fields.need("due")? / NS_PER_TICK);
                instance.tell(self.now_ns, &mut self.reply, |server, out| {
                    server.begin_drain(now, stop, out)
                });
            }
            "REMINDER" => {
                let gauges = instance.gauges(fields.text("load").unwrap_or(""))?;
                instance.tell(self.now_ns, &mut self.reply, |server, out| {
                    server.handle_timeout(now, gauges, out)
                });
            }
            _ => return Err(format!("unknown message {word}")),
        }
        Ok(())
    }
}

fn outcome(code: u64) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Ok,
        502 => Outcome::Error,
        429 => Outcome::Rejected,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::ConnectionLost,
        444 => Outcome::Cancelled,
        409 => Outcome::NoLongerNeeded,
        _ => return Err(format!("unknown state_code {code}")),
    })
}

/// The earlier RPC named by `prior`, where there is one.
fn prior(instance: &Instance, handle: Option<u64>) -> EarlierAttempt {
    match handle {
        None | Some(0) => EarlierAttempt::None,
        Some(handle) => instance
            .ids
            .find(handle)
            .map_or(EarlierAttempt::Forgotten, EarlierAttempt::Known),
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(|error| format!("line {number}: {error}"))? == 0 {
            break;
        }
        let text = std::str::from_utf8(&line).map_err(|error| format!("line {number}: {error}"))?;
        let complete = host.line(text.trim_end_matches(['\n', '\r']));
        if complete.map_err(|why| format!("line {number}: {why}"))? {
            let written = output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|error| format!("writing the reply: {error}"))?;
        }
    }
    if host.in_batch {
        Err("the input ended inside a batch, before EOF_BATCH".to_owned())
    } else {
        Ok(())
    }
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("coralstep-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
