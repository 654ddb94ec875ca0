//! RPCs run on SCGI applications: one connection an attempt. Which application, and whether there is another attempt, is the
//! pool's word (`coralstep-balancer`); what an attempt proves is found out here.
//!
//! | seen | told | proves that it never ran |
//! | --- | --- | --- |
//! | connection refused, unreachable, or none within the limit; closed before anything was written | unstarted | yes |
//! | a whole answer of 2xx to 4xx | ok with the body (2xx), error | no |
//! | a whole answer of 5xx | error | no |
//! | anything else once a byte has left: reset, cut short, oversize, no status, headers without end, longer than its length | error | no |
//! | the RPC's due time passes | a failure of the application; the attempt goes on | no |
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use coralstep::{Time, Transition};
use coralstep_balancer::{End, Pick, Pool, PoolTerms, RampTerms};
use coralstep_config::site::ApplicationTerms;
use coralstep_scgi::{Limits, request, response};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::base::clock::{self, Clock};
use crate::base::descriptors::Descriptors;
use crate::base::lines::Ref;
use crate::decisions::facade::RunEnd;
use crate::fleet::carrier::See;
use crate::note;
use crate::runs::{Notice, Notices, Order, Run, Runs};

const READ: usize = 4 * 1024;
/// Headers and bytes of headers of one answer at the most.
const HEADERS_MOST: usize = 64;
const HEAD_MOST: usize = 8 * 1024;

/// What an application is told beside the body, each a header of its own.
const ID: &str = "CORALSTEP_ID";
const METHOD: &str = "CORALSTEP_METHOD";
const TENANT: &str = "CORALSTEP_TENANT";
const TOKEN: &str = "HTTP_IDEMPOTENCY_KEY";

#[derive(Default)]
struct State {
    notices: Notices,
    task: Option<Task<()>>,
}

pub struct Applications {
    executor: Rc<LocalExecutor<'static>>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    pool: RefCell<Pool<SocketAddr>>,
    runs: RefCell<HashMap<Ref, State>>,
    terms: RefCell<ApplicationTerms>,
}

/// What one run needs to be tried, also again.
struct Job {
    id: Ref,
    bytes: Vec<u8>,
    idempotent: bool,
    due: Instant,
}

/// An attempt that is out; gives its pick back however it ends.
struct Out<'a> {
    applications: &'a Applications,
    pick: Option<Pick>,
    end: End,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        if let Some(pick) = self.pick.take() {
            let now = self.applications.now();
            self.applications
                .pool
                .borrow_mut()
                .ended(now, pick, self.end);
            self.applications.tell();
        }
    }
}

fn pool_terms(terms: &ApplicationTerms) -> PoolTerms {
    PoolTerms {
        ramp: RampTerms {
            slow_start: clock::span(Duration::from_millis(u64::from(terms.slow_start_ms))),
            cold_rate: terms.cold_rate,
            processes: terms.processes,
        },
        each_most: terms.each_most,
        repeats: terms.repeats,
        attempts: terms.attempts,
    }
}

impl Applications {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        descriptors: Rc<Descriptors>,
        terms: &ApplicationTerms,
        seed: u64,
    ) -> Applications {
        let applications = Applications {
            executor,
            descriptors,
            clock: Clock::start(),
            pool: RefCell::new(Pool::new(pool_terms(terms), seed)),
            runs: RefCell::default(),
            terms: RefCell::new(terms.clone()),
        };
        applications
            .pool
            .borrow_mut()
            .set(applications.now(), &terms.addresses);
        applications
    }

    /// Takes up another list of applications, and all else that is stated of them; what is open stays where it is.
    pub fn reload(&self, terms: &ApplicationTerms) {
        let mut pool = self.pool.borrow_mut();
        pool.reload(pool_terms(terms));
        pool.set(self.now(), &terms.addresses);
        *self.terms.borrow_mut() = terms.clone();
    }

    /// So many processes send to them, as the fleet has it.
    pub fn processes(&self, count: usize) {
        self.pool
            .borrow_mut()
            .processes(u32::try_from(count).unwrap_or(u32::MAX));
    }

    /// What is seen of each application is passed on; what others saw comes back: evidence needed, and by when a cooldown ends.
    pub fn watch(&self, see: See<'_>) {
        let now = self.now();
        let views = self.pool.borrow().view(now);
        for view in views.into_iter().filter(|view| !view.leaving) {
            let (need, left) = see(
                &view.key.to_string(),
                view.state,
                view.failures,
                view.recent,
            );
            let by = left.map(|left| now + clock::span(left));
            self.pool.borrow_mut().hear(&view.key, need, by);
        }
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Each change of an application's breaker is one line.
    fn tell(&self) {
        for (address, turn) in self.pool.borrow_mut().turns() {
            let (
                dependency,
                Transition {
                    from,
                    to,
                    failure_rate: rate,
                },
            ) = (address.to_string(), turn);
            tracing::info!(target: "breaker", dependency, from, to, rate, "application {address}: breaker {turn}");
        }
    }

    /// Tries until there is an outcome, or nobody may try any more.
    async fn attempts(&self, job: Job) -> RunEnd {
        self.pool.borrow_mut().first_try();
        let (mut made, mut last, mut proven) = (0, None, true);
        loop {
            let chosen = self.pool.borrow_mut().choose(self.now(), last);
            self.tell();
            let pick = match chosen {
                Ok(pick) => pick,
                Err(back) if proven => return RunEnd::Unstarted(clock::duration(back)),
                Err(_) => return RunEnd::Error,
            };
            made += 1;
            last = Some(pick.slot());
            let (end, result) = self.attempt(&job, pick).await;
            if let Some(result) = result {
                return result;
            }
            proven &= end.is_unstarted();
            let due = self.clock.at(job.due);
            if !self
                .pool
                .borrow_mut()
                .repeats(self.now(), end, job.idempotent, made, due)
            {
                return if proven {
                    RunEnd::Unstarted(Duration::ZERO)
                } else {
                    RunEnd::Error
                };
            }
        }
    }

    /// One attempt. With an outcome of its run where there is one that no repeat could better.
    async fn attempt(&self, job: &Job, pick: Pick) -> (End, Option<RunEnd>) {
        let address = *self.pool.borrow().key(&pick);
        let mut out = Out {
            applications: self,
            pick: Some(pick),
            end: End::GivenUp,
        };
        let left = Cell::new(false);
        let mut talk = std::pin::pin!(self.talk(address, job, &left));
        let late = async {
            Timer::at(job.due).await;
            None
        };
        let talked = match async { Some(talk.as_mut().await) }.or(late).await {
            Some(talked) => talked,
            None => {
                // It has had its time; its end is waited for all the same, for it may still be at work.
                if let Some(pick) = out.pick.as_mut() {
                    self.pool.borrow_mut().overran(self.now(), pick);
                }
                self.tell();
                talk.await
            }
        };
        let (end, result) = match talked {
            Ok((status, body)) if status < 300 => (End::Answered, Some(RunEnd::Ok(body.into()))),
            Ok((status, _)) if status < 500 => (End::Answered, Some(RunEnd::Error)),
            Ok(_) => (End::Failed, None),
            Err(why) => {
                note!("application {address}: {why}");
                let end = match left.get() {
                    true => End::Broken,
                    false if why.kind() == io::ErrorKind::ConnectionRefused => End::Refused,
                    false => End::Unstarted,
                };
                (end, None)
            }
        };
        out.end = end;
        (end, result)
    }

    async fn talk(
        &self,
        address: SocketAddr,
        job: &Job,
        left: &Cell<bool>,
    ) -> io::Result<(u16, Vec<u8>)> {
        let (connect, most) = {
            let terms = self.terms.borrow();
            (terms.connect(), terms.result_kb as usize * 1024)
        };
        let patience = async {
            Timer::after(connect).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = self.descriptors.dial(address).or(patience).await?;
        let _ = stream.get_ref().set_nodelay(true);
        let mut rest = &job.bytes[..];
        while !rest.is_empty() {
            let count = (&stream).write(rest).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            left.set(true);
            rest = &rest[count..];
        }
        let limits = Limits {
            max_head_bytes: HEAD_MOST,
            max_headers: HEADERS_MOST,
            max_body_bytes: most,
        };
        let (mut buffer, mut filled, mut ended) = (vec![0; READ], 0, false);
        loop {
            if filled == buffer.len() {
                // What is longer than any answer was found out before.
                buffer.resize(2 * filled, 0);
            }
            match (&stream).read(&mut buffer[filled..]).await? {
                0 => ended = true,
                count => filled += count,
            }
            match response::decode(&buffer[..filled], ended, &limits) {
                Ok(Some((status, body))) => return Ok((status, body.to_vec())),
                Ok(None) => {}
                Err(fault) => return Err(io::Error::other(fault)),
            }
        }
    }
}

/// One RPC's place at the applications.
struct Handle {
    applications: Rc<Applications>,
    id: Ref,
}

impl Drop for Handle {
    fn drop(&mut self) {
        // With the task its connection ends, and its pick goes back.
        let state = self.applications.runs.borrow_mut().remove(&self.id);
        drop(state);
    }
}

impl Handle {
    fn bytes(&self, order: &Order<'_>) -> Vec<u8> {
        let terms = self.applications.terms.borrow();
        let path = terms
            .paths
            .get(order.method)
            .cloned()
            .unwrap_or_else(|| format!("/{}", order.method));
        let id = self.id.to_string();
        let mut headers: Vec<(&str, &[u8])> = vec![
            ("REQUEST_METHOD", b"POST"),
            ("REQUEST_URI", path.as_bytes()),
            ("PATH_INFO", path.as_bytes()),
            (ID, id.as_bytes()),
            (METHOD, order.method.as_bytes()),
        ];
        headers.extend(order.tenant.map(|tenant| (TENANT, tenant.as_bytes())));
        headers.extend(
            order
                .token
                .filter(|token| !token.contains(&0))
                .map(|token| (TOKEN, token)),
        );
        let mut bytes = Vec::new();
        if request::encode(&mut bytes, &headers, order.body).is_err() {
            note!("{} of {} can't be written", self.id, order.method);
        }
        bytes
    }
}

impl Run for Handle {
    fn start(&self, order: &Order<'_>) {
        let job = Job {
            id: self.id,
            bytes: self.bytes(order),
            idempotent: order.idempotent,
            due: order.due,
        };
        let applications = self.applications.clone();
        let task = self.applications.executor.spawn(async move {
            let id = job.id;
            let end = applications.attempts(job).await;
            if let Some(state) = applications.runs.borrow_mut().get_mut(&id) {
                state.notices.put(Notice::Done(end));
            }
        });
        if let Some(state) = self.applications.runs.borrow_mut().get_mut(&self.id) {
            state.task = Some(task);
        }
    }

    /// An application calls what it needs by itself.
    fn feed(&self, _answer: &[u8]) {}

    fn answered(&self) {}

    /// Its connection is closed; only what may run twice is stopped, so nothing need be proven.
    fn halt(&self) {
        if let Some(state) = self.applications.runs.borrow_mut().get_mut(&self.id)
            && state.task.take().is_some()
        {
            state.notices.put(Notice::Done(RunEnd::Cancelled));
        }
    }

    /// SCGI has no words for it.
    fn inquire(&self, _order: &Order<'_>) {}

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Notice> {
        match self.applications.runs.borrow_mut().get_mut(&self.id) {
            Some(state) => state.notices.poll(cx),
            None => Poll::Pending,
        }
    }
}

impl Runs for Applications {
    fn open(self: Rc<Self>, id: Ref) -> Option<Box<dyn Run>> {
        match self.runs.borrow_mut().entry(id) {
            Entry::Occupied(_) => return None,
            Entry::Vacant(place) => drop(place.insert(State::default())),
        }
        Some(Box::new(Handle {
            applications: self,
            id,
        }))
    }
}
