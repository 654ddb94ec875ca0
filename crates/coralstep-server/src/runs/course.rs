//! One RPC's way from reading to its end: the verdicts carried out at the engine and the store. Speaks no gateway's
//! protocol, so any gateway file can use it.
use std::future::poll_fn;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Instant;

use coralstep::Idempotency;
use futures_lite::FutureExt;

use crate::base::clock;
use crate::base::config::Limits;
use crate::base::lines::Ref;
use crate::decisions::facade::{Facade, News, Offer, RunEnd, Unpicked, Verdict};
use crate::dependency::store::{self, Call, Store};
use crate::note;
use crate::runs::ledger::{Known, Ledger};
use crate::runs::{Notice, Order, Runs};

/// The final answer.
#[derive(Debug, PartialEq)]
pub enum Reply<'a> {
    Ok(&'a [u8]),
    PushedBack { after_ms: u64, last: bool },
    Aborted,
}

pub struct Course {
    facade: Rc<Facade>,
    runs: Rc<dyn Runs>,
    store: Store,
    ledger: Rc<Ledger>,
    /// For digests that nobody else can foresee.
    digests: RandomState,
}

/// What the RPC's task waits for.
enum Event {
    Verdict(Verdict),
    Notice(Notice),
    Called(store::Ended),
    /// Nobody waits for it any more.
    Gone,
}

impl Course {
    pub fn new(facade: Rc<Facade>, runs: Rc<dyn Runs>, store: Store, limits: &Limits) -> Course {
        Course {
            facade,
            runs,
            store,
            ledger: Rc::new(Ledger::new(limits.ids)),
            digests: RandomState::new(),
        }
    }

    /// The id that a text stands for; without any, one that nobody else has.
    pub fn id(&self, text: Option<&str>) -> Ref {
        text.map_or_else(|| self.ledger.fresh(), |text| self.ledger.id(text))
    }

    /// `reply` is called at most once, with the answer. `gone` ends when its caller has gone.
    pub async fn run(
        &self,
        mut offer: Offer,
        id: Ref,
        body: Vec<u8>,
        gone: impl Future<Output = ()>,
        reply: impl FnOnce(Reply<'_>),
    ) {
        // Guards against a second run under one id, by whichever front it comes: what runs or may have run is not run again.
        let effect = self.facade.effect(offer.method);
        let mut claim = self.ledger.claim(Instant::now(), id);
        if offer.renames
            && effect != Idempotency::NonIdempotent
            && matches!(claim, Err(Known::Already))
        {
            // Its token, not its id, tells whether it has run; and what is idempotent may run beside itself.
            claim = self.ledger.claim(Instant::now(), self.ledger.fresh());
        }
        let claim = match claim {
            Ok(claim) => claim,
            Err(Known::Already) => {
                note!(client: "{id} is here already, or has run");
                return reply(Reply::Aborted);
            }
            Err(Known::Full) => {
                note!("the ledger of ids is full");
                return reply(Reply::PushedBack {
                    after_ms: 0,
                    last: false,
                });
            }
        };
        let (id, method) = (claim.id(), offer.method);
        let Some(run) = self.runs.clone().open(id) else {
            return reply(Reply::Aborted);
        };
        // Before the decisions: what the fleet's limits have no room for is not theirs to weigh.
        let mut taken = match self.facade.share(&offer) {
            Ok(taken) => Some(taken),
            Err(after_ms) => {
                return reply(Reply::PushedBack {
                    after_ms,
                    last: false,
                });
            }
        };
        let (tenant, token) = (offer.tenant, offer.token.clone());
        offer.content = token.as_ref().map_or(0, |_| self.digests.hash_one(&body));
        let deadline = self.facade.deadline(method);
        let patience = offer
            .patience
            .map_or(deadline, |patience| clock::duration(patience).min(deadline));
        let due = Instant::now() + patience.saturating_sub(clock::duration(offer.age));
        let (ticket, first) = match self.facade.pick(offer).await {
            Ok(picked) => picked,
            Err(Unpicked::Full) => {
                note!("the table of RPCs is full");
                return reply(Reply::PushedBack {
                    after_ms: 0,
                    last: false,
                });
            }
            Err(Unpicked::Barred) => {
                note!(client: "{id} bears a token that is another's, or has run");
                return reply(Reply::Aborted);
            }
        };
        let order = Order {
            method: self.facade.method_name(method),
            tenant: tenant.and_then(|tenant| self.facade.tenant_name(tenant)),
            token: token.as_deref(),
            body: &body,
            idempotent: effect == Idempotency::Idempotent,
            due,
        };
        let mut reply = Some(reply);
        // The first answer is the only one.
        let mut answer = |what: Reply<'_>| {
            if let Some(reply) = reply.take() {
                reply(what);
                run.answered();
                // Not in hand any more.
                taken = None;
            }
        };
        let mut call: Option<Call> = None;
        let mut gone = Some(std::pin::pin!(gone));
        // What the run has asked the store; the same again, should the call be repeated.
        let mut request = Vec::new();
        let mut event = Event::Verdict(first);
        loop {
            let mut news = News::Underway;
            match event {
                Event::Verdict(Verdict::Over) => break,
                Event::Verdict(Verdict::Run) => {
                    if effect == Idempotency::NonIdempotent {
                        claim.runs(Instant::now() + deadline);
                    }
                    run.start(&order);
                }
                Event::Verdict(Verdict::Call { patience }) => {
                    call = Some(self.store.call(id, patience, &request));
                }
                Event::Verdict(Verdict::Halt) => run.halt(),
                Event::Verdict(Verdict::Inquire) => run.inquire(&order),
                Event::Verdict(Verdict::PushBack { after_ms, last }) => {
                    answer(Reply::PushedBack { after_ms, last })
                }
                Event::Verdict(Verdict::Abort) => answer(Reply::Aborted),
                Event::Verdict(Verdict::Replay(result)) => answer(Reply::Ok(&result)),
                Event::Notice(Notice::Need(asked)) => {
                    request = asked;
                    news = News::NeedsCall;
                }
                Event::Notice(Notice::Done(end)) => {
                    // Whatever the run waited for, nobody does any more.
                    call = None;
                    match &end {
                        RunEnd::Ok(result) => answer(Reply::Ok(result)),
                        RunEnd::Error => answer(Reply::Aborted),
                        RunEnd::Unstarted(_) => claim.never_ran(),
                        RunEnd::Cancelled | RunEnd::Moot => {}
                    }
                    news = News::Ran(end);
                }
                Event::Called(ended) => {
                    call = None;
                    if let Some(answer) = &ended.answer {
                        run.feed(answer);
                    }
                    news = News::Called {
                        end: ended.end,
                        took: ended.took,
                    };
                }
                Event::Gone => {
                    gone = None;
                    answer(Reply::Aborted);
                    news = News::Gone;
                }
            }
            let verdict = async { Event::Verdict(self.facade.report(&ticket, news).await) };
            let notice = async { Event::Notice(poll_fn(|cx| run.poll_next(cx)).await) };
            let called = async { Event::Called(store::ended(&mut call).await) };
            let left = async {
                match gone.as_mut() {
                    Some(gone) => gone.as_mut().await,
                    None => std::future::pending().await,
                }
                Event::Gone
            };
            event = verdict.or(notice).or(called).or(left).await;
        }
    }
}
