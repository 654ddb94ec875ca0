//! The run of one RPC at the applications, and its SCGI request.
use std::rc::Rc;
use std::task::{Context, Poll};

use coralstep_scgi::request;

use crate::base::request_id::RequestId;
use crate::decisions::RunOutcome;
use crate::note;
use crate::runs::applications::{Applications, RunInput};
use crate::runs::{Run, RunEvent, RunRequest};

/// Headers that carry the RPC's metadata.
const ID_HEADER: &str = "CORALSTEP_ID";
const METHOD_HEADER: &str = "CORALSTEP_METHOD";
const TENANT_HEADER: &str = "CORALSTEP_TENANT";
const IDEMPOTENCY_KEY_HEADER: &str = "HTTP_IDEMPOTENCY_KEY";

/// The run of one RPC at the applications; unregistered when dropped.
pub(super) struct ApplicationRun {
    pub(super) applications: Rc<Applications>,
    pub(super) id: RequestId,
}

impl Drop for ApplicationRun {
    fn drop(&mut self) {
        // Dropping the task closes its connection and returns its pick, which must not happen
        // while the table is borrowed.
        let state = self.applications.runs.borrow_mut().remove(&self.id);
        drop(state);
    }
}

impl ApplicationRun {
    fn request_bytes(&self, request: &RunRequest<'_>) -> Vec<u8> {
        let path = self.path(request.method);
        let id = self.id.to_string();
        let mut headers: Vec<(&str, &[u8])> = vec![
            ("REQUEST_METHOD", b"POST"),
            ("REQUEST_URI", path.as_bytes()),
            ("PATH_INFO", path.as_bytes()),
            (ID_HEADER, id.as_bytes()),
            (METHOD_HEADER, request.method.as_bytes()),
        ];
        if let Some(tenant) = request.tenant {
            headers.push((TENANT_HEADER, tenant.as_bytes()));
        }
        // SCGI headers can't contain a NUL byte.
        if let Some(key) = request.idempotency_key.filter(|key| !key.contains(&0)) {
            headers.push((IDEMPOTENCY_KEY_HEADER, key));
        }
        let mut bytes = Vec::new();
        if request::encode(&mut bytes, &headers, request.body).is_err() {
            note!(rpc_id = %self.id, method = request.method, "request not encodable");
        }
        bytes
    }

    fn path(&self, method: &str) -> String {
        let config = self.applications.config.borrow();
        let path = config.paths.get(method).cloned();
        path.unwrap_or_else(|| format!("/{method}"))
    }
}

impl Run for ApplicationRun {
    fn start(&self, request: &RunRequest<'_>) {
        let input = RunInput {
            id: self.id,
            bytes: self.request_bytes(request),
            idempotent: request.idempotent,
            deadline: request.deadline,
        };
        let applications = self.applications.clone();
        let task = self.applications.executor.spawn(async move {
            let outcome = applications.run_until_outcome(&input).await;
            if let Some(state) = applications.runs.borrow_mut().get_mut(&input.id) {
                state.events.push(RunEvent::Ended(outcome));
            }
        });
        if let Some(state) = self.applications.runs.borrow_mut().get_mut(&self.id) {
            state.task = Some(task);
        }
    }

    /// Does nothing: an application calls its dependencies itself.
    fn resume(&self, _call_result: &[u8]) {}

    fn mark_answered(&self) {}

    /// Closes the connection. Only idempotent runs are cancelled, so whether the run started
    /// doesn't matter.
    fn cancel(&self) {
        if let Some(state) = self.applications.runs.borrow_mut().get_mut(&self.id)
            && state.task.take().is_some()
        {
            state.events.push(RunEvent::Ended(RunOutcome::Cancelled));
        }
    }

    /// Does nothing: SCGI has no status query.
    fn query_status(&self, _request: &RunRequest<'_>) {}

    fn poll_event(&self, cx: &mut Context<'_>) -> Poll<RunEvent> {
        match self.applications.runs.borrow_mut().get_mut(&self.id) {
            Some(state) => state.events.poll(cx),
            None => Poll::Pending,
        }
    }
}
