//! One RPC's way from reading to its end: the verdicts carried out at the engine and the store. Speaks no gateway's
//! protocol, so any gateway file can use it.
use std::rc::Rc;

use futures_lite::FutureExt;

use crate::engine::{Engine, Notice};
use crate::facade::{Facade, News, RunEnd, Ticket, Verdict};
use crate::lines::Ref;
use crate::store::{Call, Store};

/// The final answer.
#[derive(Debug, PartialEq)]
pub enum Reply<'a> {
    Ok(&'a [u8]),
    PushedBack { after_ms: u64, last: bool },
    Aborted,
}

pub struct Course {
    pub facade: Rc<Facade>,
    pub engine: Rc<Engine>,
    pub store: Rc<Store>,
}

/// What the RPC's task waits for.
enum Event {
    Verdict(Verdict),
    Notice(Notice),
    Called(crate::store::Ended),
}

impl Course {
    /// `reply` is called at most once, with the answer.
    pub async fn run(
        &self,
        ticket: Ticket,
        id: Ref,
        method: usize,
        body: Vec<u8>,
        reply: impl FnOnce(Reply<'_>),
    ) {
        let run = self.engine.open(id);
        let repeatable = self.facade.repeatable(method);
        let (mut body, mut reply) = (Some(body), Some(reply));
        let mut call: Option<Call<'_>> = None;
        // What the run has asked the store; the same again, should the call be repeated.
        let mut request = Vec::new();
        let mut news = News::Underway;
        loop {
            let verdict = async { Event::Verdict(self.facade.report(&ticket, news).await) };
            let notice = async { Event::Notice(run.next().await) };
            let called = async {
                match call.as_mut() {
                    Some(call) => Event::Called(call.ended().await),
                    None => std::future::pending().await,
                }
            };
            let event = verdict.or(notice).or(called).await;
            news = News::Underway;
            match event {
                Event::Verdict(Verdict::Over) => break,
                Event::Verdict(Verdict::Run) => {
                    let body = body.take().unwrap_or_default();
                    run.start(self.facade.method_name(method), &body, repeatable);
                }
                Event::Verdict(Verdict::Call { patience }) => {
                    call = Some(self.store.call(id, patience, request.clone()));
                }
                Event::Verdict(Verdict::Halt) => run.halt(),
                Event::Verdict(Verdict::PushBack { after_ms, last }) => {
                    reply.take().map(|reply| reply(Reply::PushedBack { after_ms, last })).unwrap_or_default();
                }
                Event::Verdict(Verdict::Abort) => {
                    reply.take().map(|reply| reply(Reply::Aborted)).unwrap_or_default();
                }
                Event::Verdict(Verdict::Replay(result)) => {
                    reply.take().map(|reply| reply(Reply::Ok(&result))).unwrap_or_default();
                }
                Event::Notice(Notice::Need(asked)) => {
                    request = asked;
                    news = News::NeedsCall;
                }
                Event::Notice(Notice::Done(end)) => {
                    // Whatever the run waited for, nobody does any more.
                    call = None;
                    match &end {
                        RunEnd::Ok(result) => reply.take().map(|reply| reply(Reply::Ok(result))),
                        RunEnd::Error => reply.take().map(|reply| reply(Reply::Aborted)),
                        RunEnd::Cancelled | RunEnd::Moot => None,
                    }
                    .unwrap_or_default();
                    news = News::Ran(end);
                }
                Event::Called(ended) => {
                    call = None;
                    if let Some(answer) = &ended.answer {
                        run.feed(answer);
                    }
                    news = News::Called { end: ended.end, took: ended.took };
                }
            }
        }
    }
}
