//! The runs registered at the engine. Each run's last command is kept until a notification proves
//! that the engine read it.
use std::collections::hash_map::{Entry, HashMap};
use std::time::{Duration, Instant};

use crate::base::request_id::RequestId;
use crate::decisions::RunOutcome;
use crate::note;
use crate::runs::engine::link::{Link, SendPosition};
use crate::runs::engine::protocol::Command;
use crate::runs::{RunEvent, RunEvents};

/// Time after an answer by which it has reached the gateway, and the engine knows that the RPC is
/// answered.
pub(super) const ANSWER_PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// The last command of a run.
pub(super) struct PendingCommand {
    pub(super) bytes: Vec<u8>,
    /// Whether it starts the run.
    pub(super) starts_run: bool,
    /// Whether it may be resent even if the engine may have read it.
    pub(super) repeatable: bool,
    pub(super) sent: Option<SendPosition>,
    /// Whether it was sent again, although the engine may have read it before.
    pub(super) resent: bool,
    /// Whether the engine is known to have read it.
    pub(super) read: bool,
}

impl PendingCommand {
    pub(super) fn new(bytes: Vec<u8>) -> PendingCommand {
        PendingCommand {
            bytes,
            starts_run: false,
            repeatable: false,
            sent: None,
            resent: false,
            read: false,
        }
    }

    fn is_unsent_start(&self) -> bool {
        self.starts_run && self.sent.is_none()
    }
}

/// State of one run.
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
    /// Returns whether the engine knows that the RPC is answered, so that it starts no run for it.
    pub(super) fn engine_knows_answer(&self) -> bool {
        self.answered_at
            .is_some_and(|at| at.elapsed() >= ANSWER_PROPAGATION_TIME)
    }

    fn push(&mut self, event: RunEvent) {
        self.command = None;
        self.events.push(event);
    }

    /// Records that the start command was sent again as a status query.
    pub(super) fn mark_start_resent(&mut self) {
        if let Some(command) = &mut self.command {
            command.resent = true;
        }
    }

    /// Returns whether a rejected start command proves that the run never started: it was sent once,
    /// and no event of the run has arrived.
    fn is_rejected_start_conclusive(&self) -> bool {
        let command = self.command.as_ref();
        command.is_some_and(|command| command.starts_run && !command.resent)
    }

    /// Returns whether the engine may have started the run.
    fn may_have_started(&self) -> bool {
        let unsent = self
            .command
            .as_ref()
            .is_some_and(PendingCommand::is_unsent_start);
        self.started && !unsent
    }
}

/// Table of all runs registered at the engine.
#[derive(Default)]
pub(super) struct InFlightRuns {
    runs: HashMap<RequestId, RunState>,
    /// Runs of which it is unknown whether they started.
    in_doubt: Vec<RequestId>,
}

impl InFlightRuns {
    /// Registers a run. Returns `false` if one with this id is already registered.
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

    /// Sets the last command of a run. Returns `false` if the run is not registered.
    pub(super) fn set_command(&mut self, id: RequestId, command: PendingCommand) -> bool {
        let Some(run) = self.runs.get_mut(&id) else {
            return false;
        };
        run.started |= command.starts_run;
        run.command = Some(command);
        true
    }

    /// Sends all queued commands, followed by a request for the gauges, if everything sent before is
    /// known to be read.
    pub(super) fn send_queued(&mut self, link: &mut Link) {
        if !link.may_send() {
            return;
        }
        let mut any_sent = false;
        for id in std::mem::take(&mut link.queued) {
            let command = self.runs.get_mut(&id).and_then(|run| run.command.as_mut());
            if let Some(command) = command.filter(|command| command.sent.is_none()) {
                link.send(command);
                any_sent = true;
            }
        }
        if any_sent {
            link.request_gauges();
        }
    }

    /// Resends the start command of each run in doubt whose RPC is answered. The engine no longer starts
    /// such a run, but reports its end.
    ///
    /// Guards against a run that never started but counts as in progress forever.
    pub(super) fn resolve_in_doubt(&mut self, link: &Link) {
        let runs = &mut self.runs;
        self.in_doubt.retain(|id| {
            let Some(run) = runs.get_mut(id) else {
                return false;
            };
            let engine_knows_answer = run.engine_knows_answer();
            let Some(command) = &mut run.command else {
                return false;
            };
            if engine_knows_answer {
                link.send(command);
            }
            !engine_knows_answer
        });
    }

    /// Updates the state of all commands when `link` ends. Commands that are neither unsent nor known to
    /// be read are in doubt until the missed notifications are read.
    pub(super) fn handle_link_lost(&mut self, link: &Link) {
        let commands = self
            .runs
            .values_mut()
            .filter_map(|run| run.command.as_mut());
        commands.for_each(|command| link.resolve(command));
    }

    /// Resends on `link` the commands that no notification has confirmed, if that is safe. Called
    /// once all notifications missed since the last link were read.
    pub(super) fn resend_unread(&mut self, link: &Link) {
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

    /// Ends all runs that may have started on the engine before it was restarted.
    pub(super) fn handle_engine_restart(&mut self) {
        for run in self.runs.values_mut().filter(|run| run.may_have_started()) {
            run.push(RunEvent::Ended(RunOutcome::Cancelled));
        }
    }

    /// Returns the outcome of a run whose start command the engine rejected, because it knows no such
    /// RPC.
    ///
    /// Guards against RPCs unknown to the engine that occupy the tables like those that have run.
    pub(super) fn rejected_start_outcome(&self, id: &str) -> RunOutcome {
        let run = RequestId::parse(id).and_then(|id| self.runs.get(&id));
        if run.is_some_and(RunState::is_rejected_start_conclusive) {
            RunOutcome::Refused
        } else {
            RunOutcome::NoLongerNeeded
        }
    }

    /// Delivers an event to its run. Returns `false` if no such run has been started.
    pub(super) fn deliver(&mut self, id: &str, event: RunEvent) -> bool {
        let run = RequestId::parse(id).and_then(|id| self.runs.get_mut(&id));
        let Some(run) = run.filter(|run| run.started) else {
            return false;
        };
        run.push(event);
        true
    }
}

#[cfg(test)]
mod tests;
