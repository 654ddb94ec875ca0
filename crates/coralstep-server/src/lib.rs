//! One coralstep server on sockets. `facade` is the way to the decisions; `gateway` speaks with callers, `engine`
//! and `store` do what was decided, `course` leads each RPC through them. One thread, no lock, and no borrow of
//! shared state is held while waiting.
use std::cell::Cell;
use std::future::poll_fn;
use std::net::TcpListener;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use futures_lite::FutureExt;

pub mod clock;
pub mod config;
pub mod control;
pub mod course;
pub mod drain;
pub mod engine;
pub mod facade;
pub mod gateway;
pub mod lines;
pub mod log;
pub mod outbox;
pub mod reload;
pub mod store;
pub mod thrift;

use config::Source;
use course::Course;
use engine::Engine;
use facade::Facade;
use gateway::Gateway;
use reload::Places;
use store::Store;

/// Before the engine is up nothing is to be decided; the clock of the decisions is looked at again after so long.
const UNSTARTED: Duration = Duration::from_millis(100);

/// Serves until told to leave.
pub fn serve(source: Source) -> Result<(), String> {
    let (leave, again) = (drain::signals(), reload::signals());
    let (leave, again) = leave.and_then(|leave| Ok((leave, again?))).map_err(|why| why.to_string())?;
    let config = source.load()?;
    let listen = config.listen;
    let listener =
        TcpListener::bind(listen).and_then(Async::new).map_err(|why| format!("listen: {listen}: {why}"))?;
    let executor = Rc::new(LocalExecutor::new());
    let (terms, names) = (config.terms.clone(), config.names.clone());
    let facade = Rc::new(Facade::new(terms, names, config.seed, &config.limits));
    let places = Rc::new(Places::of(&config));
    let engine = Rc::new(Engine::default());
    let course =
        Rc::new(Course { facade: facade.clone(), engine: engine.clone(), store: Store(places.clone()) });
    let gateway = Rc::new(Gateway::new(executor.clone(), facade.clone(), course, config.limits));
    let leaving = Cell::new(false);
    note!("{} listens on {}", config.name, listener.get_ref().local_addr().unwrap_or(listen));
    let forever = async {
        let parts: Vec<Part<'_>> = vec![
            Box::pin(engine.keep(&places.engine, &facade)),
            Box::pin(control::report(&config.name, &places.control, &facade, &leaving)),
            Box::pin(reload::wait(again, &source, &config, &places)),
            Box::pin(gateway.sweep()),
            Box::pin(beat(&facade, &engine)),
            Box::pin(gateway.listen(listener)),
        ];
        all(parts).await
    };
    let leave = drain::wait(leave, &facade, &gateway, config.stop, &leaving);
    block_on(executor.run(leave.or(forever)));
    Ok(())
}

type Part<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Runs all; never ends, as some of them don't.
async fn all(mut parts: Vec<Part<'_>>) {
    poll_fn(|cx| {
        parts.retain_mut(|part| part.as_mut().poll(cx).is_pending());
        Poll::Pending
    })
    .await
}

/// Ticks when the decisions want it, with the last readings of the engine's gauges.
async fn beat(facade: &Facade, engine: &Engine) {
    loop {
        let sooner = facade.sooner();
        let next = facade.next_tick();
        let wait = if next.is_zero() { UNSTARTED } else { next };
        let timer = async {
            Timer::after(wait).await;
        };
        timer.or(sooner).await;
        if !next.is_zero() {
            // Guards against a fault of one moment that ends the process, and with it all RPCs.
            let tick = AssertUnwindSafe(|| {
                engine.ask();
                facade.tick(&engine.readings());
            });
            if catch_unwind(tick).is_err() {
                note!("a tick ended by a panic");
            }
        }
    }
}
