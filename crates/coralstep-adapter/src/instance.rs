//! One server: its decisions, the names it was booted with, and its ids.
use std::collections::{HashMap, VecDeque};
use std::fmt::{Arguments, Write};

use coralstep::{Actions, Event, Gauges, Request, RpcId, Scheduler, Span, Time};
use coralstep_config::{Names, amount, flag, parse};

use crate::fields::Fields;
use crate::log_words::LogWords;
use crate::{NS_PER_TICK, prior};

/// An id stays known this long after its RPC is over, for events that come late.
const LATE_EVENTS_NS: u64 = 60_000_000_000;

/// The wire's ids and the small indices they are known by inside.
#[derive(Default)]
pub struct Ids {
    index: HashMap<u64, u32>,
    handle: Vec<u64>,
    released: VecDeque<(u64, u32)>,
}

impl Ids {
    pub fn find(&self, handle: u64) -> Option<RpcId> {
        self.index.get(&handle).copied().map(RpcId)
    }

    fn add(&mut self, handle: u64, now_ns: u64) -> Result<RpcId, String> {
        if self.index.contains_key(&handle) {
            return Err(format!("RPC {handle} was delivered twice"));
        }
        let free = self
            .released
            .pop_front_if(|(at, _)| *at + LATE_EVENTS_NS <= now_ns);
        let index = match free {
            Some((_, index)) => {
                self.index.remove(&self.handle[index as usize]);
                self.handle[index as usize] = handle;
                index
            }
            None => {
                self.handle.push(handle);
                self.handle.len() as u32 - 1
            }
        };
        self.index.insert(handle, index);
        Ok(RpcId(index))
    }
}

pub struct Instance {
    number: u64,
    server: Option<Scheduler>,
    names: Names,
    pub ids: Ids,
}

impl Instance {
    pub fn boot(
        number: u64,
        seed: u64,
        fields: &Fields,
        now_ns: u64,
        reply: &mut String,
    ) -> Result<Instance, String> {
        let (terms, names) = coralstep_config::from_pairs(fields.pairs())?;
        let mut instance = Instance {
            number,
            server: None,
            names,
            ids: Ids::default(),
        };
        let mut out = Writer {
            number,
            now_ns,
            ids: &mut instance.ids,
            reply,
        };
        instance.server = Some(Scheduler::start(
            &terms,
            seed,
            Time(now_ns / NS_PER_TICK),
            &mut out,
        ));
        Ok(instance)
    }

    /// Lets `event` happen to the server; its answers go to `reply`.
    pub fn tell(
        &mut self,
        now_ns: u64,
        reply: &mut String,
        event: impl FnOnce(&mut Scheduler, &mut dyn Actions),
    ) {
        let mut out = Writer {
            number: self.number,
            now_ns,
            ids: &mut self.ids,
            reply,
        };
        if let Some(server) = self.server.as_mut() {
            event(server, &mut out);
        }
    }

    pub fn arrival(&mut self, fields: &Fields, now_ns: u64) -> Result<Request, String> {
        let mut arrival = Request::default();
        let (mut handle, mut method, mut earlier) = (None, None, None);
        for (name, value) in fields.pairs() {
            match name {
                "handle" => handle = Some(parse::<u64>(name, value)?),
                "type" => {
                    let known = self.names.methods.iter().position(|method| method == value);
                    method = Some(known.ok_or_else(|| format!("unknown type {value}"))?);
                }
                "user_group" if value != "0" => {
                    arrival.tenant = self.names.tenants.iter().position(|tenant| tenant == value);
                }
                "due" => {
                    let due: u64 = parse(name, value)?;
                    arrival.deadline = (due > 0).then_some(Time(due / NS_PER_TICK));
                }
                "predicted" => {
                    let work: u64 = parse(name, value)?;
                    arrival.work = (work > 0).then_some(Span(work.div_ceil(NS_PER_TICK)));
                }
                "footprint" => arrival.queued_kb = amount(name, value)?,
                "again_by_client" => arrival.is_retry = flag(name, value)?,
                "queued_for" => {
                    arrival.age = Span(parse::<u64>(name, value)?.div_ceil(NS_PER_TICK))
                }
                "prior" => earlier = Some(parse(name, value)?),
                _ => {}
            }
        }
        arrival.method = method.ok_or("no type")?;
        arrival.earlier_attempt = prior(self, earlier);
        arrival.id = self.ids.add(handle.ok_or("no handle")?, now_ns)?;
        Ok(arrival)
    }

    pub fn gauges(&self, load: &str) -> Result<Gauges, String> {
        let mut gauges = Gauges::default();
        for (name, value) in self.names.gauges.iter().zip(load.split(',')) {
            if value.is_empty() {
                continue;
            }
            match name.as_str() {
                "cpu_busy" => gauges.cpu_busy = Some(amount(name, value)?),
                "sockets" => gauges.open_connections = Some(amount(name, value)?),
                _ => {}
            }
        }
        Ok(gauges)
    }
}

/// Writes answers as the wire's actions.
struct Writer<'a> {
    number: u64,
    now_ns: u64,
    ids: &'a mut Ids,
    reply: &'a mut String,
}

impl Writer<'_> {
    fn put(&mut self, action: &str, rest: Arguments<'_>) {
        // Writing to a String can't fail.
        let _ = writeln!(self.reply, "{action} server=server/{}{rest}", self.number);
    }

    fn on(&mut self, action: &str, rpc: RpcId) {
        self.put(action, format_args!(" handle={}", self.handle(rpc)));
    }

    fn handle(&self, rpc: RpcId) -> u64 {
        self.ids.handle[rpc.0 as usize]
    }
}

fn ns(span: Span) -> u64 {
    span.0.saturating_mul(NS_PER_TICK)
}

impl Actions for Writer<'_> {
    fn admit(&mut self, rpc: RpcId) {
        self.on("ADMIT", rpc);
    }

    fn reject(&mut self, rpc: RpcId, after: Span, last: bool) {
        let (handle, last) = (self.handle(rpc), if last { " give_up=1" } else { "" });
        match ns(after) {
            0 => self.put("DENY", format_args!(" handle={handle}{last}")),
            after => self.put(
                "DENY",
                format_args!(" handle={handle} not_before_for={after}{last}"),
            ),
        }
    }

    fn fail(&mut self, rpc: RpcId) {
        self.on("SURRENDER", rpc);
    }

    fn call(&mut self, rpc: RpcId, patience: Span) {
        let handle = self.handle(rpc);
        self.put(
            "INVOKE",
            format_args!(" handle={handle} patience={}", ns(patience).max(1)),
        );
    }

    fn skip_call(&mut self, rpc: RpcId) {
        self.on("FALL_BACK", rpc);
    }

    fn preempt(&mut self, rpc: RpcId) {
        self.on("PREEMPT", rpc);
    }

    fn retain_key(&mut self, rpc: RpcId, span: Span) {
        let handle = self.handle(rpc);
        self.put("RETAIN", format_args!(" handle={handle} span={}", ns(span)));
    }

    fn release_key(&mut self, rpc: RpcId) {
        self.on("UNPIN", rpc);
    }

    fn replay(&mut self, rpc: RpcId) {
        self.on("REPLAY", rpc);
    }

    fn set_health(&mut self, good: bool) {
        self.put(
            "SET_HEALTH",
            format_args!(" enable={} stored=1", u8::from(good)),
        );
    }

    fn report_load(&mut self, value: f64) {
        self.put("SIGNAL", format_args!(" amount={value}"));
    }

    fn set_idle_timeout(&mut self, span: Span) {
        self.put("IDLE_LIMIT", format_args!(" span={}", ns(span)));
    }

    fn set_timer(&mut self, span: Span) {
        self.put("DEFER", format_args!(" in={} name=beat", ns(span)));
    }

    fn log(&mut self, event: Event) {
        self.put("LOG", format_args!(" words={}", LogWords(event)));
    }

    fn release_id(&mut self, rpc: RpcId) {
        self.ids.released.push_back((self.now_ns, rpc.0));
    }
}
