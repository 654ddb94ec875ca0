//! The run of one RPC at the engine.
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use crate::base::request_id::RequestId;
use crate::runs::engine::Engine;
use crate::runs::engine::in_flight::PendingCommand;
use crate::runs::engine::protocol::Command;
use crate::runs::{Run, RunEvent, RunRequest};

/// The run of one RPC at the engine; unregistered when dropped.
pub(super) struct EngineRun {
    pub(super) engine: Rc<Engine>,
    pub(super) id: RequestId,
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.engine.runs.borrow_mut().unregister(self.id);
    }
}

impl EngineRun {
    fn command<'a>(&self, request: &RunRequest<'a>) -> Command<'a> {
        Command::Run {
            id: self.id,
            method: request.method,
            body: request.body,
        }
    }
}

impl Run for EngineRun {
    fn start(&self, request: &RunRequest<'_>) {
        let command = PendingCommand {
            starts_run: true,
            repeatable: request.idempotent,
            ..PendingCommand::new(self.command(request).to_bytes())
        };
        self.engine.queue_command(self.id, command);
    }

    /// Not repeatable: the run may have reached its next call, which would then get this result.
    fn resume(&self, call_result: &[u8]) {
        let command = Command::Resume {
            id: self.id,
            call_result,
        };
        let command = PendingCommand::new(command.to_bytes());
        self.engine.queue_command(self.id, command);
    }

    fn mark_answered(&self) {
        if let Some(run) = self.engine.runs.borrow_mut().get_mut(self.id) {
            run.answered_at = Some(Instant::now());
        }
    }

    /// Sends the run's command again. The RPC is answered, so the engine starts no run: it reports
    /// the end of a run that has ended and ignores the command for one in progress.
    ///
    /// Guards against a run whose end was never reported and that counts as in progress forever.
    fn query_status(&self, request: &RunRequest<'_>) {
        let mut runs = self.engine.runs.borrow_mut();
        let answered = runs
            .get_mut(self.id)
            .filter(|run| run.engine_knows_answer());
        if let Some(run) = answered {
            run.mark_start_resent();
            self.engine.write_if_ready(self.command(request));
        }
    }

    /// The command is resent on each new link until the run ends.
    fn cancel(&self) {
        if let Some(run) = self.engine.runs.borrow_mut().get_mut(self.id) {
            run.cancelled = true;
        }
        self.engine.write_if_ready(Command::Cancel { id: self.id });
    }

    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent> {
        match self.engine.runs.borrow_mut().get_mut(self.id) {
            Some(run) => run.events.poll(cx),
            None => Poll::Pending,
        }
    }
}
