//! Hands the requests of all protocols to the request handler, and each reply back to its connection.
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::FutureExt;

use crate::base::request_id::RequestId;
use crate::callers::connection::Connection;
use crate::callers::reply_writer::ReplyWriter;
use crate::decisions::{RpcRequest, SchedulerHandle};
use crate::note;
use crate::runs::reply::Reply;
use crate::runs::request_handler::RequestHandler;

/// A request as a protocol has read it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// What the scheduler is told of it.
    pub request: RpcRequest,
    /// Its id.
    pub id: RequestId,
    /// Its body.
    pub body: Vec<u8>,
}

/// A request whose reply is outstanding.
///
/// Dropping it without a reply writes an internal error: guards against a caller left waiting by a panic.
struct OpenRequest<W: ReplyWriter> {
    scheduler: Rc<SchedulerHandle>,
    connection: Rc<Connection>,
    writer: W,
    replied: bool,
}

impl<W: ReplyWriter> OpenRequest<W> {
    fn reply(mut self, reply: &Reply<'_>) {
        if matches!(reply, Reply::Ok(_)) {
            self.connection.request_served();
        }
        let status = self.scheduler.server_status();
        self.connection
            .outbox
            .put(|out| self.writer.write_reply(out, reply, &status));
        self.replied = true;
    }
}

impl<W: ReplyWriter> Drop for OpenRequest<W> {
    fn drop(&mut self) {
        if !self.replied {
            self.connection
                .outbox
                .put(|out| self.writer.write_internal_error(out));
        }
        if self.writer.closes_connection() {
            self.connection.outbox.close();
        }
        self.connection.request_finished();
    }
}

/// Starts a task for each request.
pub struct RequestDispatcher {
    executor: Rc<LocalExecutor<'static>>,
    /// Answers what protocols ask about methods, tenants and the server's health.
    pub scheduler: Rc<SchedulerHandle>,
    /// Serves each request to its end.
    pub handler: Rc<RequestHandler>,
}

impl RequestDispatcher {
    /// A dispatcher whose tasks run on `executor`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        scheduler: Rc<SchedulerHandle>,
        handler: Rc<RequestHandler>,
    ) -> RequestDispatcher {
        RequestDispatcher {
            executor,
            scheduler,
            handler,
        }
    }

    /// Serves a request; `writer` writes its one reply to `connection`.
    pub fn dispatch(
        &self,
        incoming: IncomingRequest,
        connection: &Rc<Connection>,
        writer: impl ReplyWriter,
    ) {
        connection.request_started();
        let open = OpenRequest {
            scheduler: self.scheduler.clone(),
            connection: connection.clone(),
            writer,
            replied: false,
        };
        if connection.is_closing() {
            // Guards against work whose reply may not get through any more; the caller may retry elsewhere at once.
            return open.reply(&Reply::Rejected {
                retry_after_ms: 0,
                is_final: false,
            });
        }
        let (handler, connection) = (self.handler.clone(), connection.clone());
        let task = async move {
            let IncomingRequest { request, id, body } = incoming;
            let served = handler.handle(request, id, body, connection.aborted(), |reply| {
                open.reply(&reply);
            });
            if AssertUnwindSafe(served).catch_unwind().await.is_err() {
                note!(rpc_id = %id, "request task panicked");
            }
        };
        self.executor.spawn(task).detach();
    }
}
