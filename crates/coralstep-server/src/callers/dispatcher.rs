//! Passes the requests of all protocols to the request handler, and their replies back to the connections.
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::FutureExt;

use crate::base::memory_budget::MemoryBudgets;
use crate::base::request_id::RequestId;
use crate::callers::connection::Connection;
use crate::callers::reply_writer::ReplyWriter;
use crate::decisions::{RpcRequest, SchedulerHandle};
use crate::note;
use crate::runs::reply::Reply;
use crate::runs::request_handler::{ReceivedBody, RequestHandler};

/// A request that a protocol has parsed.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The properties that the scheduler uses.
    pub request: RpcRequest,
    /// The request's id.
    pub id: RequestId,
    /// The request's body.
    pub body: ReceivedBody,
}

/// A request without a reply.
///
/// Dropping it writes an internal error. Guards against a panic that leaves the caller without a reply.
struct OpenRequest<W: ReplyWriter> {
    scheduler: Rc<SchedulerHandle>,
    connection: Rc<Connection>,
    writer: W,
    replied: bool,
}

impl<W: ReplyWriter> OpenRequest<W> {
    fn reply(mut self, reply: &Reply<'_>) {
        if matches!(reply, Reply::Ok(_)) {
            self.connection.record_request_served();
        }
        let status = self.scheduler.server_status();
        self.connection
            .queue_reply(|out| self.writer.write_reply(out, reply, &status));
        self.replied = true;
    }
}

impl<W: ReplyWriter> Drop for OpenRequest<W> {
    fn drop(&mut self) {
        if !self.replied {
            self.connection
                .queue_reply(|out| self.writer.write_internal_error(out));
        }
        if self.writer.closes_connection() {
            self.connection.outbox.close();
        }
        self.connection.record_request_end();
    }
}

/// Spawns a task for each request.
pub struct RequestDispatcher {
    executor: Rc<LocalExecutor<'static>>,
    /// Used by protocols to look up methods, tenants and the server's health.
    pub scheduler: Rc<SchedulerHandle>,
    /// Serves each request until its reply.
    pub handler: Rc<RequestHandler>,
    /// Used by protocols for what they hold for their callers.
    pub budgets: MemoryBudgets,
}

impl RequestDispatcher {
    /// Creates a dispatcher whose tasks run on `executor`. Its requests count towards `budgets`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        scheduler: Rc<SchedulerHandle>,
        handler: Rc<RequestHandler>,
        budgets: MemoryBudgets,
    ) -> RequestDispatcher {
        RequestDispatcher {
            executor,
            scheduler,
            handler,
            budgets,
        }
    }

    /// Serves a request; `writer` writes its only reply to `connection`.
    pub fn dispatch(
        &self,
        incoming: IncomingRequest,
        connection: &Rc<Connection>,
        writer: impl ReplyWriter,
    ) {
        connection.record_request_start();
        let open = OpenRequest {
            scheduler: self.scheduler.clone(),
            connection: connection.clone(),
            writer,
            replied: false,
        };
        let IncomingRequest { request, id, body } = incoming;
        if connection.is_closing() {
            // Guards against work whose reply may no longer be delivered.
            return self
                .handler
                .reject(request, &body.bytes, |reply| open.reply(&reply));
        }
        let (handler, connection) = (self.handler.clone(), connection.clone());
        let task = async move {
            let served = handler.handle(
                request,
                id,
                body,
                connection.wait_until_aborted(),
                |reply| {
                    open.reply(&reply);
                },
            );
            if AssertUnwindSafe(served).catch_unwind().await.is_err() {
                note!(rpc_id = %id, "request task panicked");
            }
        };
        self.executor.spawn(task).detach();
    }
}

#[cfg(test)]
mod tests;
