//! Client of the engine, which owns the cores. Uses one link at a time.
//!
//! | file | contents |
//! | --- | --- |
//! | `connection.rs` | keeps a link up, reconnects, and moves to another address |
//! | `link.rs` | one connection, and which commands sent on it are known to be read |
//! | `protocol.rs` | encoding of commands and parsing of messages |
//! | `dispatch.rs` | handlers of the engine's messages |
//! | `in_flight.rs` | the registered runs, and the last command of each |
//! | `run.rs` | the run of one RPC |
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

/// Client of the engine: its link and the registered runs.
#[derive(Default)]
pub struct Engine {
    runs: RefCell<InFlightRuns>,
    link: RefCell<Option<Link>>,
    links_opened: Cell<u64>,
    /// Sequence number of the last notification read.
    last_notification: Cell<u64>,
    gauge_readings: RefCell<Vec<Option<f64>>>,
    command_queued: Event,
    /// Notified when the engine has read everything that was sent on the old link.
    drained: Event,
    up_since: Cell<Option<Instant>>,
}

impl Engine {
    /// Requests the gauges unless a request is pending. The response also proves that the engine
    /// has read all earlier commands.
    pub fn poll_gauges(&self) {
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| link.ready) {
            link.poll_gauges();
            self.runs.borrow_mut().resolve_in_doubt(link);
        }
    }

    /// Returns the latest gauge readings in the order of the settings; empty while there is no link.
    pub fn gauge_readings(&self) -> Vec<Option<f64>> {
        self.gauge_readings.borrow().clone()
    }

    fn queue_command(&self, id: RequestId, command: PendingCommand) {
        if !self.runs.borrow_mut().set_command(id, command) {
            return;
        }
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| link.ready) {
            link.queued.push(id);
            self.command_queued.notify(1);
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
