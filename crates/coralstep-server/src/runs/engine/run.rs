//! One RPC's run at the engine.
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use crate::base::request_id::RequestId;
use crate::runs::engine::Engine;
use crate::runs::engine::in_flight::PendingCommand;
use crate::runs::engine::protocol::Command;
use crate::runs::{Run, RunEvent, RunRequest};

/// One RPC's run at the engine; unregistered when dropped.
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

    /// Never sent again: the run may have come to its next call, which another result would then
    /// answer.
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

    /// The RPC is over, so nothing can begin any more: the same command again draws the end of a
    /// run that has ended, and nothing of one that goes on. Guards against ends that were never
    /// told, which would keep their places.
    fn query_status(&self, request: &RunRequest<'_>) {
        let mut runs = self.engine.runs.borrow_mut();
        if runs
            .get_mut(self.id)
            .is_some_and(|run| run.is_known_answered())
        {
            self.engine.write_if_ready(self.command(request));
        }
    }

    /// Sent again on a new link, as long as the run has not ended.
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
