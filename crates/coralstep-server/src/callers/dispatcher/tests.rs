use std::cell::RefCell;
use std::net::IpAddr;

use super::*;
use crate::callers::gateway::GatewayProtocol;
use crate::decisions::ServerStatus;
use crate::runs::request_handler::tests::fixture::{
    Answer, LONG_WINDOW, RESULT, Server, limits, request,
};

/// Records each reply.
#[derive(Clone, Default)]
struct RecordingWriter(Rc<RefCell<Vec<Answer>>>);

impl ReplyWriter for RecordingWriter {
    fn write_reply(&self, _out: &mut Vec<u8>, reply: &Reply<'_>, _status: &ServerStatus) {
        if let Reply::Rejected { retry_after_ms, .. } = reply {
            // Guards against a rejection on a closing connection that names no time to come back.
            assert!(*retry_after_ms > 0);
        }
        self.0.borrow_mut().push(Answer::from(reply));
    }

    fn write_internal_error(&self, _out: &mut Vec<u8>) {
        panic!("the request has no reply");
    }

    fn closes_connection(&self) -> bool {
        false
    }
}

fn new_connection() -> Rc<Connection> {
    let peer = IpAddr::from([127, 0, 0, 1]);
    let replies = MemoryBudgets::new(&limits()).replies;
    Rc::new(Connection::new(Rc::new(GatewayProtocol), peer, &replies))
}

/// Guards against a repeat that is rejected as never run because its connection is closing.
#[test]
fn closing_connection_does_not_reject_repeat_of_rpc_that_has_run() {
    let server = Server::new(limits(), LONG_WINDOW);
    let executor = Rc::new(LocalExecutor::new());
    let dispatcher = RequestDispatcher::new(
        executor.clone(),
        server.scheduler.clone(),
        server.handler.clone(),
        MemoryBudgets::new(&limits()),
    );
    let (open, closing) = (new_connection(), new_connection());
    closing.begin_close();
    let replies = RecordingWriter::default();
    for (connection, key) in [(&open, "a"), (&closing, "a"), (&closing, "b")] {
        let incoming = IncomingRequest {
            request: request(key),
            id: server.next_id(),
            body: b"body".to_vec().into(),
        };
        dispatcher.dispatch(incoming, connection, replies.clone());
        while executor.try_tick() {}
    }
    let served = Answer::Ok(RESULT.into());
    assert_eq!(
        *replies.0.borrow(),
        [served.clone(), served, Answer::Rejected]
    );
    assert_eq!(server.runs(), 1);
}
