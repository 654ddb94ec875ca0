//! Rejections and failures of requests.
use crate::actions::Actions;
use crate::config::Idempotency;
use crate::request::RpcId;
use crate::shared_state::SharedState;
use crate::time::Span;

impl SharedState {
    /// Rejects a request. One whose run may have had an effect fails instead, so that it is not retried.
    ///
    /// Only first attempts may go to another server, and only while the fault is local to this server:
    /// retry storms worsen a fault that affects all servers.
    pub(crate) fn reject(&mut self, id: RpcId, retry_after: Span, out: &mut dyn Actions) {
        let Some(request) = self.get(id) else { return };
        if request.has_run && self.method(request).idempotency != Idempotency::Idempotent {
            self.fail(id, out);
        } else if !request.answered {
            let is_final = request.is_retry || !self.fault_is_local;
            out.reject(id, retry_after, is_final);
            self.mark_answered(id);
        }
    }

    /// Answers a request with an error, unless it is already answered.
    pub(crate) fn fail(&mut self, id: RpcId, out: &mut dyn Actions) {
        if self.get(id).is_some_and(|request| !request.answered) {
            out.fail(id);
            self.mark_answered(id);
        }
    }
}
