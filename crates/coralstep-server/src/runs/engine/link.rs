//! One connection to the engine, and what is proven of the commands that were sent on it.
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::base::outbox::Outbox;
use crate::base::request_id::RequestId;
use crate::runs::engine::in_flight::PendingCommand;
use crate::runs::engine::protocol::Command;

/// A link whose question stays unanswered for so long is made anew; a pause of the machine costs no
/// more than that.
const MAX_ANSWER_DELAY: Duration = Duration::from_secs(2);

/// Where a command is among what was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sent {
    /// Number of the link.
    pub(super) link: u64,
    /// Position in the link's outbox, in bytes.
    pub(super) position: u64,
}

struct OpenQuestion {
    /// Position in the outbox, in bytes.
    position: u64,
    asked_at: Instant,
}

/// One connection to the engine.
pub(super) struct Link {
    number: u64,
    outbox: Rc<Outbox>,
    /// All older notifications were read; commands may be sent.
    pub(super) ready: bool,
    /// The engine has said something on it.
    pub(super) engine_spoke: bool,
    open_question: Option<OpenQuestion>,
    /// The question was found to be open for too long at the last tick.
    overdue: bool,
    /// What was sent before this position has been read: a later question was answered.
    read_before: u64,
    /// Runs whose commands wait until all that was sent is known to be read.
    pub(super) waiting: Vec<RequestId>,
}

impl Link {
    pub(super) fn new(number: u64, outbox: Rc<Outbox>) -> Link {
        Link {
            number,
            outbox,
            ready: false,
            engine_spoke: false,
            open_question: None,
            overdue: false,
            read_before: 0,
            waiting: Vec::new(),
        }
    }

    /// Writes a command; its position in the outbox.
    pub(super) fn write(&self, command: Command<'_>) -> u64 {
        self.outbox.put(|out| command.write(out))
    }

    /// Sends a run's command and notes where it is.
    pub(super) fn send(&self, command: &mut PendingCommand) {
        let position = self.outbox.put(|out| out.extend_from_slice(&command.bytes));
        command.sent = Some(Sent {
            link: self.number,
            position,
        });
    }

    /// Whether a batch of commands may be sent: guards against commands lost with a link, for only
    /// the last batch can be in doubt.
    pub(super) fn may_send(&self) -> bool {
        self.ready && self.open_question.is_none()
    }

    /// Asks for the gauges. The reply also proves that all commands sent before it were read.
    pub(super) fn ask_gauges(&mut self) {
        let position = self.write(Command::ReadGauges);
        self.open_question = Some(OpenQuestion {
            position,
            asked_at: Instant::now(),
        });
    }

    /// Asks for the gauges unless it is asked already; ends the link where the engine has stopped
    /// to answer.
    pub(super) fn poll_gauges(&mut self) {
        let Some(question) = &self.open_question else {
            return self.ask_gauges();
        };
        // Guards against a link that looks alive and isn't read any more. At the second tick: after
        // a pause of the process the answer lies unread at the first.
        if question.asked_at.elapsed() > MAX_ANSWER_DELAY
            && std::mem::replace(&mut self.overdue, true)
        {
            self.outbox.close();
        }
    }

    /// The open question was answered: all that was sent before it has been read.
    pub(super) fn handle_answer(&mut self) {
        self.overdue = false;
        if let Some(question) = self.open_question.take() {
            self.read_before = question.position;
        }
    }

    /// All that was sent has been read.
    pub(super) fn mark_all_read(&mut self) {
        self.read_before = u64::MAX;
    }

    /// Notes what is known of a command as the link ends: what never left is unread, what a later
    /// answer proves is read.
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
