//! The runs registered at the engine, and the last command of each until a notification proves that
//! it was read.
use std::collections::hash_map::{Entry, HashMap};
use std::time::{Duration, Instant};

use crate::base::request_id::RequestId;
use crate::decisions::RunOutcome;
use crate::note;
use crate::runs::engine::link::{Link, Sent};
use crate::runs::engine::protocol::Command;
use crate::runs::{RunEvent, RunEvents};

/// An answer has reached its gateway after so long, and the engine knows that the RPC is over.
pub(super) const ANSWER_KNOWN_AFTER: Duration = Duration::from_secs(1);

/// The last command of a run.
pub(super) struct PendingCommand {
    pub(super) bytes: Vec<u8>,
    /// It begins the run.
    pub(super) starts_run: bool,
    /// It may be sent again though it may have been read.
    pub(super) repeatable: bool,
    pub(super) sent: Option<Sent>,
    /// The engine is known to have read it.
    pub(super) read: bool,
}

impl PendingCommand {
    pub(super) fn new(bytes: Vec<u8>) -> PendingCommand {
        PendingCommand {
            bytes,
            starts_run: false,
            repeatable: false,
            sent: None,
            read: false,
        }
    }

    fn is_unsent_start(&self) -> bool {
        self.starts_run && self.sent.is_none()
    }
}

/// One run.
#[derive(Default)]
pub(super) struct RunState {
    pub(super) events: RunEvents,
    command: Option<PendingCommand>,
    started: bool,
    /// When its RPC was answered.
    pub(super) answered_at: Option<Instant>,
    pub(super) cancelled: bool,
}

impl RunState {
    /// Whether the engine knows by now that the RPC is over, so that nothing can begin any more.
    pub(super) fn is_known_answered(&self) -> bool {
        self.answered_at
            .is_some_and(|at| at.elapsed() >= ANSWER_KNOWN_AFTER)
    }

    fn push(&mut self, event: RunEvent) {
        self.command = None;
        self.events.push(event);
    }

    /// Whether the engine may have begun it.
    fn may_have_begun(&self) -> bool {
        let unsent = self
            .command
            .as_ref()
            .is_some_and(PendingCommand::is_unsent_start);
        self.started && !unsent
    }
}

/// All runs registered at the engine.
#[derive(Default)]
pub(super) struct InFlightRuns {
    runs: HashMap<RequestId, RunState>,
    /// Nobody knows whether these began.
    in_doubt: Vec<RequestId>,
}

impl InFlightRuns {
    /// Registers a run; `false` where one of this id is registered.
    pub(super) fn register(&mut self, id: RequestId) -> bool {
        match self.runs.entry(id) {
            Entry::Occupied(_) => false,
            Entry::Vacant(vacant) => {
                vacant.insert(RunState::default());
                true
            }
        }
    }

    pub(super) fn unregister(&mut self, id: RequestId) {
        self.runs.remove(&id);
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RunState> {
        self.runs.get_mut(&id)
    }

    /// Sets the last command of a run; `false` where it is not registered.
    pub(super) fn set_command(&mut self, id: RequestId, command: PendingCommand) -> bool {
        let Some(run) = self.runs.get_mut(&id) else {
            return false;
        };
        run.started |= command.starts_run;
        run.command = Some(command);
        true
    }

    /// Sends all commands that wait, with a question behind them, once all that was sent before is
    /// known to be read.
    pub(super) fn send_waiting(&mut self, link: &mut Link) {
        if !link.may_send() {
            return;
        }
        let mut any_sent = false;
        for id in std::mem::take(&mut link.waiting) {
            let command = self.runs.get_mut(&id).and_then(|run| run.command.as_mut());
            if let Some(command) = command.filter(|command| command.sent.is_none()) {
                link.send(command);
                any_sent = true;
            }
        }
        if any_sent {
            link.ask_gauges();
        }
    }

    /// Guards against a run that never began but counts as one for good: once its RPC is over
    /// nothing can begin any more, so the same command draws its end.
    pub(super) fn resolve_doubts(&mut self, link: &Link) {
        let runs = &mut self.runs;
        self.in_doubt.retain(|id| {
            let Some(run) = runs.get_mut(id) else {
                return false;
            };
            let known_answered = run.is_known_answered();
            let Some(command) = &mut run.command else {
                return false;
            };
            if known_answered {
                link.send(command);
            }
            !known_answered
        });
    }

    /// Notes what is known of all commands as `link` ends; the rest is in doubt until the
    /// notifications are replayed.
    pub(super) fn handle_link_lost(&mut self, link: &Link) {
        let commands = self
            .runs
            .values_mut()
            .filter_map(|run| run.command.as_mut());
        commands.for_each(|command| link.resolve(command));
    }

    /// All notifications since the last link were read: what is still without one is sent on
    /// `link`, where that is safe.
    pub(super) fn send_again(&mut self, link: &Link) {
        for (id, run) in &mut self.runs {
            if run.cancelled {
                link.write(Command::Cancel { id: *id });
            }
            let Some(command) = run.command.as_mut().filter(|command| !command.read) else {
                continue;
            };
            if command.sent.is_none() || command.repeatable {
                link.send(command);
                continue;
            }
            note!(rpc_id = %id, "run in doubt after link loss");
            if command.starts_run && !self.in_doubt.contains(id) {
                self.in_doubt.push(*id);
            }
        }
    }

    /// The engine was restarted: all that ran has ended with the one that ran it.
    pub(super) fn handle_engine_restart(&mut self) {
        for run in self.runs.values_mut().filter(|run| run.may_have_begun()) {
            run.push(RunEvent::Ended(RunOutcome::Cancelled));
        }
    }

    /// Passes an event on to its run; `false` where no such run has been started.
    pub(super) fn deliver(&mut self, id: &str, event: RunEvent) -> bool {
        let run = RequestId::parse(id).and_then(|id| self.runs.get_mut(&id));
        let Some(run) = run.filter(|run| run.started) else {
            return false;
        };
        run.push(event);
        true
    }
}
