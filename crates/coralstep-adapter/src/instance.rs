//! One simulated server: its scheduler, configured names and RPC handles.
use coralstep::{Actions, Gauges, Outcome, Request, RpcId, Scheduler};
use coralstep_config::Names;
use coralstep_config::settings::{parse, parse_amount, parse_flag};

use crate::action_writer::ActionWriter;
use crate::error::LineError;
use crate::fields::Fields;
use crate::handles::HandleMap;
use crate::units::{span_rounded_up, time};

/// A running simulated server.
pub(crate) struct Instance {
    number: u64,
    scheduler: Scheduler,
    names: Names,
    handles: HandleMap,
}

/// Time of an event and destination of the resulting actions.
pub(crate) struct Context<'a> {
    pub(crate) now_ns: u64,
    pub(crate) reply: &'a mut String,
}

impl Instance {
    /// Starts server `number` with the settings in `fields`.
    pub(crate) fn boot(
        number: u64,
        fields: &Fields<'_>,
        context: &mut Context<'_>,
    ) -> Result<Instance, LineError> {
        let seed = fields.get("entropy")?.unwrap_or(0);
        let (config, names) = coralstep_config::from_pairs(fields.pairs())?;
        let mut handles = HandleMap::default();
        let mut actions = ActionWriter {
            server: number,
            now_ns: context.now_ns,
            handles: &mut handles,
            reply: context.reply,
        };
        let scheduler = Scheduler::start(&config, seed, time(context.now_ns), &mut actions);
        Ok(Instance {
            number,
            scheduler,
            names,
            handles,
        })
    }

    /// Passes the event `message` to the scheduler.
    pub(crate) fn handle(
        &mut self,
        message: &str,
        fields: &Fields<'_>,
        context: &mut Context<'_>,
    ) -> Result<(), LineError> {
        let now = time(context.now_ns);
        match message {
            "INBOUND" => {
                let request = self.request(fields, context.now_ns)?;
                self.with_scheduler(context, |scheduler, actions| {
                    scheduler.handle_request(now, request, actions);
                });
            }
            "SETTLED" => {
                let (rpc, outcome) = self.rpc_outcome(fields)?;
                fields.span("latency")?;
                self.with_scheduler(context, |scheduler, actions| {
                    scheduler.handle_completion(now, rpc, outcome, actions);
                });
            }
            "CALLED" => {
                let (rpc, outcome) = self.rpc_outcome(fields)?;
                let latency = fields.span("latency")?.unwrap_or_default();
                self.with_scheduler(context, |scheduler, actions| {
                    scheduler.handle_call_result(now, rpc, outcome, latency, actions);
                });
            }
            "WANTS_CALL" => {
                let rpc = self.rpc(fields)?;
                self.with_scheduler(context, |scheduler, actions| {
                    scheduler.handle_call_needed(now, rpc, actions);
                });
            }
            "ABORTED" => {
                let rpc = self.rpc(fields)?;
                self.with_scheduler(context, |scheduler, actions| {
                    scheduler.handle_cancellation(now, rpc, actions);
                });
            }
            "WIND_DOWN" => {
                let stop = time(fields.require("due")?);
                self.with_scheduler(context, |scheduler, actions| {
                    scheduler.begin_drain(now, stop, actions);
                });
            }
            "REMINDER" => {
                let gauges = self.gauges(fields.text("load").unwrap_or(""))?;
                self.with_scheduler(context, |scheduler, actions| {
                    scheduler.handle_timeout(now, gauges, actions);
                });
            }
            _ => return Err(LineError::UnknownMessage(message.to_owned())),
        }
        Ok(())
    }

    fn with_scheduler(
        &mut self,
        context: &mut Context<'_>,
        handle_event: impl FnOnce(&mut Scheduler, &mut dyn Actions),
    ) {
        let mut actions = ActionWriter {
            server: self.number,
            now_ns: context.now_ns,
            handles: &mut self.handles,
            reply: context.reply,
        };
        handle_event(&mut self.scheduler, &mut actions);
    }

    fn rpc(&self, fields: &Fields<'_>) -> Result<RpcId, LineError> {
        self.handles.id(fields.require("handle")?)
    }

    fn rpc_outcome(&self, fields: &Fields<'_>) -> Result<(RpcId, Outcome), LineError> {
        let rpc = self.rpc(fields)?;
        Ok((rpc, outcome(fields.require("state_code")?)?))
    }

    fn request(&mut self, fields: &Fields<'_>, now_ns: u64) -> Result<Request, LineError> {
        let mut request = Request::default();
        let mut handle = None;
        let mut method = None;
        let mut earlier = None;
        for (name, value) in fields.pairs() {
            match name {
                "handle" => handle = Some(parse::<u64>(name, value)?),
                "type" => method = Some(self.method(value)?),
                "user_group" if value != "0" => {
                    request.tenant = position(&self.names.tenants, value);
                }
                "due" => request.deadline = non_zero(parse(name, value)?).map(time),
                // Only validated: no rule uses the predicted work.
                "predicted" => {
                    parse::<u64>(name, value)?;
                }
                "footprint" => request.queued_kb = parse_amount(name, value)?,
                "again_by_client" => request.is_retry = parse_flag(name, value)?,
                "queued_for" => request.age = span_rounded_up(parse(name, value)?),
                "prior" => earlier = Some(parse(name, value)?),
                _ => {}
            }
        }
        request.method = method.ok_or(LineError::MissingField("type"))?;
        request.earlier_attempt = self.handles.earlier_attempt(earlier);
        let handle = handle.ok_or(LineError::MissingField("handle"))?;
        request.id = self.handles.add(handle, now_ns)?;
        Ok(request)
    }

    fn method(&self, name: &str) -> Result<usize, LineError> {
        position(&self.names.methods, name).ok_or_else(|| LineError::UnknownMethod(name.to_owned()))
    }

    /// Parses the values in `load`, in the order of the configured gauges; an empty value is unknown.
    fn gauges(&self, load: &str) -> Result<Gauges, LineError> {
        let mut gauges = Gauges::default();
        for (name, value) in self.names.gauges.iter().zip(load.split(',')) {
            if value.is_empty() {
                continue;
            }
            match name.as_str() {
                "cpu_busy" => gauges.cpu_busy = Some(parse_amount(name, value)?),
                "sockets" => gauges.open_connections = Some(parse_amount(name, value)?),
                _ => {}
            }
        }
        Ok(gauges)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Converts the protocol's 0 for an absent time to `None`.
fn non_zero(ns: u64) -> Option<u64> {
    (ns > 0).then_some(ns)
}

/// Converts the protocol's code to the outcome of a run or a call.
fn outcome(code: u64) -> Result<Outcome, LineError> {
    Ok(match code {
        200 => Outcome::Ok,
        502 => Outcome::Error,
        429 => Outcome::Rejected,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::ConnectionLost,
        444 => Outcome::Cancelled,
        409 => Outcome::NoLongerNeeded,
        _ => return Err(LineError::UnknownOutcome(code)),
    })
}
