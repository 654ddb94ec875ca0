//! The engine that owns the cores, on one link at a time.
//!
//! | file | job |
//! | --- | --- |
//! | `connection.rs` | keeps a link up, attaches anew after a break, moves to another address |
//! | `link.rs` | one connection, and what is proven of the commands sent on it |
//! | `protocol.rs` | the words of the protocol |
//! | `dispatch.rs` | what each of the engine's messages leads to |
//! | `in_flight.rs` | the runs, and the last command of each |
//! | `run.rs` | one RPC's run, as its lifecycle sees it |
mod connection;
mod dispatch;
mod in_flight;
mod link;
mod protocol;
mod run;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use event_listener::Event;

use crate::base::request_id::RequestId;
use crate::runs::engine::in_flight::{InFlightRuns, PendingCommand};
use crate::runs::engine::link::Link;
use crate::runs::engine::protocol::Command;
use crate::runs::engine::run::EngineRun;
use crate::runs::{Backend, Run};

/// The engine, as far as it is known here.
#[derive(Default)]
pub struct Engine {
    runs: RefCell<InFlightRuns>,
    link: RefCell<Option<Link>>,
    links_opened: Cell<u64>,
    /// Number of the last notification read.
    last_notification: Cell<u64>,
    gauge_readings: RefCell<Vec<Option<f64>>>,
    command_waiting: Event,
    /// The old link has read all that was sent on it.
    drained: Event,
    up_since: Cell<Option<Instant>>,
}

impl Engine {
    /// Asks for the gauges, once at a time. The answer also proves that all commands before it were
    /// read.
    pub fn poll_gauges(&self) {
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| link.ready) {
            link.poll_gauges();
            self.runs.borrow_mut().resolve_doubts(link);
        }
    }

    /// The last gauges read, in the order of the settings; none while there is no link.
    pub fn gauge_readings(&self) -> Vec<Option<f64>> {
        self.gauge_readings.borrow().clone()
    }

    fn queue_command(&self, id: RequestId, command: PendingCommand) {
        if !self.runs.borrow_mut().set_command(id, command) {
            return;
        }
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| link.ready) {
            link.waiting.push(id);
            self.command_waiting.notify(1);
        }
    }

    fn write_if_ready(&self, command: Command<'_>) {
        if let Some(link) = self.link.borrow().as_ref().filter(|link| link.ready) {
            link.write(command);
        }
    }
}

impl Backend for Engine {
    fn register(self: Rc<Self>, id: RequestId) -> Option<Box<dyn Run>> {
        if !self.runs.borrow_mut().register(id) {
            return None;
        }
        Some(Box::new(EngineRun { engine: self, id }))
    }
}
