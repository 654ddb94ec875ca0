//! One connection to the engine, which tracks which commands sent on it are known to be read.
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::base::outbox::Outbox;
use crate::base::request_id::RequestId;
use crate::runs::engine::in_flight::PendingCommand;
use crate::runs::engine::protocol::Command;

/// Time for the engine to answer a request for the gauges; after that, the link is replaced. It also
/// bounds the delay after a pause of the machine.
const GAUGES_TIMEOUT: Duration = Duration::from_secs(2);

/// Position at which a command was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SendPosition {
    /// Number of the link.
    pub(super) link: u64,
    /// Position in the link's outbox, in bytes.
    pub(super) position: u64,
}

/// A request for the gauges that is not answered yet.
struct PendingQuery {
    /// Position in the outbox, in bytes.
    position: u64,
    sent_at: Instant,
}

/// One connection to the engine.
pub(super) struct Link {
    number: u64,
    outbox: Rc<Outbox>,
    /// All missed notifications were read; commands may be sent.
    pub(super) ready: bool,
    /// Whether the engine has sent a message on this link.
    pub(super) message_received: bool,
    pending_query: Option<PendingQuery>,
    /// Whether the pending query was overdue at the last poll.
    overdue: bool,
    /// Commands sent before this position are known to be read, because a later query was answered.
    read_before: u64,
    /// Runs whose commands wait until everything sent so far is known to be read.
    pub(super) queued: Vec<RequestId>,
}

impl Link {
    pub(super) fn new(number: u64, outbox: Rc<Outbox>) -> Link {
        Link {
            number,
            outbox,
            ready: false,
            message_received: false,
            pending_query: None,
            overdue: false,
            read_before: 0,
            queued: Vec::new(),
        }
    }

    /// Writes a command and returns its position in the outbox.
    pub(super) fn write(&self, command: Command<'_>) -> u64 {
        self.outbox.put(|out| command.write(out))
    }

    /// Sends a run's command and records its position.
    pub(super) fn send(&self, command: &mut PendingCommand) {
        let position = self.outbox.put(|out| out.extend_from_slice(&command.bytes));
        command.resent |= command.sent.is_some();
        command.sent = Some(SendPosition {
            link: self.number,
            position,
        });
    }

    /// Returns whether a batch of commands may be sent.
    ///
    /// Guards against many commands lost with a link: only the last batch can be in doubt.
    pub(super) fn may_send(&self) -> bool {
        self.ready && self.pending_query.is_none()
    }

    /// Requests the gauges. The response also proves that the engine has read all earlier commands.
    pub(super) fn request_gauges(&mut self) {
        let position = self.write(Command::ReadGauges);
        self.pending_query = Some(PendingQuery {
            position,
            sent_at: Instant::now(),
        });
    }

    /// Requests the gauges unless a query is pending. Closes the link if the engine no longer
    /// answers.
    pub(super) fn poll_gauges(&mut self) {
        let Some(query) = &self.pending_query else {
            return self.request_gauges();
        };
        // Guards against a connection that stays open but is no longer read by the engine.
        // Closes the link at the second overdue poll: at the first one after a pause of the process,
        // the response may have arrived without being read.
        if query.sent_at.elapsed() > GAUGES_TIMEOUT && std::mem::replace(&mut self.overdue, true) {
            self.outbox.close();
        }
    }

    /// Handles the response to the pending query, which proves that all earlier commands were read.
    pub(super) fn handle_gauges_received(&mut self) {
        self.overdue = false;
        if let Some(query) = self.pending_query.take() {
            self.read_before = query.position;
        }
    }

    /// Records that the engine has read everything sent on this link.
    pub(super) fn mark_all_read(&mut self) {
        self.read_before = u64::MAX;
    }

    /// Updates the state of a command when the link ends: unsent if no byte of it was sent, and read
    /// if a later response proves it.
    pub(super) fn resolve(&self, command: &mut PendingCommand) {
        let Some(sent) = command.sent.filter(|sent| sent.link == self.number) else {
            return;
        };
        command.read = sent.position < self.read_before;
        if !self.outbox.may_have_been_sent(sent.position) {
            command.sent = None;
        }
    }
}
