//! The simulated servers of one process, and the batch being read.
use std::collections::HashMap;
use std::io::{BufRead, Write};

use crate::error::{AdapterError, LineError};
use crate::fields::Fields;
use crate::instance::{Context, Instance};

/// Prefix of a server's name; its number follows.
const SERVER_PREFIX: &str = "server/";

#[derive(Default)]
struct Host {
    instances: HashMap<u64, Instance>,
    now_ns: u64,
    in_batch: bool,
    reply: String,
}

impl Host {
    /// Handles one line; returns true if it completed a batch, whose reply is then in `reply`.
    fn handle_line(&mut self, line: &str) -> Result<bool, LineError> {
        let (message, rest) = line.split_once(' ').unwrap_or((line, ""));
        if message.is_empty() {
            return Ok(false);
        }
        let fields = Fields(rest);
        match (message, self.in_batch) {
            ("MARK", false) => self.begin_batch(&fields).map(|()| false),
            ("MARK", true) => Err(LineError::NestedBatch),
            ("EOF_BATCH", true) => {
                self.in_batch = false;
                self.reply.push_str("READY\n");
                Ok(true)
            }
            (_, false) => Err(LineError::OutsideBatch(message.to_owned())),
            (_, true) => self.handle_event(message, &fields).map(|()| false),
        }
    }

    fn begin_batch(&mut self, fields: &Fields<'_>) -> Result<(), LineError> {
        let time_ns = fields.require("ts")?;
        if time_ns < self.now_ns {
            return Err(LineError::ClockWentBack {
                from_ns: self.now_ns,
                to_ns: time_ns,
            });
        }
        self.now_ns = time_ns;
        self.in_batch = true;
        self.reply.clear();
        Ok(())
    }

    fn handle_event(&mut self, message: &str, fields: &Fields<'_>) -> Result<(), LineError> {
        let server = fields
            .text("server")
            .ok_or(LineError::MissingField("server"))?;
        let number: u64 = server
            .strip_prefix(SERVER_PREFIX)
            .and_then(|number| number.parse().ok())
            .ok_or_else(|| LineError::ServerName(server.to_owned()))?;
        let mut context = Context {
            now_ns: self.now_ns,
            reply: &mut self.reply,
        };
        let not_booted = || LineError::NotBooted(server.to_owned());
        match message {
            "BOOT" => {
                let instance = Instance::boot(number, fields, &mut context)?;
                self.instances.insert(number, instance);
                Ok(())
            }
            "HALT" => match self.instances.remove(&number) {
                Some(_) => Ok(()),
                None => Err(not_booted()),
            },
            _ => {
                let instance = self.instances.get_mut(&number).ok_or_else(not_booted)?;
                instance.handle(message, fields, &mut context)
            }
        }
    }
}

/// Answers the batches of `input` on `output` until the input ends.
///
/// # Errors
/// Fails at the first invalid line, with its number, if the input ends inside a batch, or on an I/O error.
pub(crate) fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut bytes = Vec::new();
    for line in 1u64.. {
        bytes.clear();
        let read = input.read_until(b'\n', &mut bytes);
        if read.map_err(|source| AdapterError::Read { line, source })? == 0 {
            break;
        }
        let text = std::str::from_utf8(&bytes)
            .map_err(|source| AdapterError::Encoding { line, source })?;
        let is_complete = host
            .handle_line(text.trim_end_matches(['\n', '\r']))
            .map_err(|source| AdapterError::Line { line, source })?;
        if is_complete {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(AdapterError::Write)?;
        }
    }
    if host.in_batch {
        Err(AdapterError::UnfinishedBatch)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
