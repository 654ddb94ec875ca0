//! One coralstep server on sockets. A room a concern, arrows one way:
//!
//! ```text
//! life ──> operators, callers ──> runs ──> dependency ──> decisions ──> base
//! ```
//!
//! `decisions::SchedulerHandle` is the way to the decisions; the fronts in `callers` read RPCs, `runs::request_handler` carries out what
//! was decided of each, at `runs::engine` or `runs::applications` and at `dependency::store`. One thread, no lock, and no borrow of
//! shared state is held while waiting.
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::{SocketAddr, TcpListener};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use async_signal::Signals;
use futures_lite::FutureExt;

pub mod base;
pub mod callers;
pub mod decisions;
pub mod dependency;
pub mod fleet;
pub mod lifecycle;
pub mod operators;
pub mod runs;

use base::config::{Config, ConfigFiles};
use base::endpoints::Endpoints;
use base::log;
use callers::connections::Connections;
use callers::gateway::GatewayProtocol;
use callers::protocol::Protocol;
use callers::scgi::ScgiProtocol;
use decisions::SchedulerHandle;
use dependency::store::StoreClient;
use fleet::{ApplyVersion, FleetService, HealthSources};
use lifecycle::drain::Shutdown;
use lifecycle::reload::ReloadableParts;
use lifecycle::snapshots::SnapshotService;
use lifecycle::{drain, registration, reload};
use operators::ops::Operator;
use runs::Backend;
use runs::applications::Applications;
use runs::engine::Engine;
use runs::request_handler::RequestHandler;

/// Before the engine is up nothing is to be decided; the clock of the decisions is looked at again after so long.
const UNSTARTED: Duration = Duration::from_millis(100);

fn bind(address: SocketAddr) -> Result<Async<TcpListener>, String> {
    TcpListener::bind(address)
        .and_then(Async::new)
        .map_err(|why| format!("listen: {address}: {why}"))
}

/// Why nothing was served.
#[derive(Debug)]
pub enum Fault {
    /// What the files say; no port was opened.
    Files(String),
    System(String),
}

/// Serves until told to leave.
pub fn serve(source: ConfigFiles) -> Result<(), Fault> {
    // Before the files are read: a notice or a reload that comes meanwhile ends nobody and is not missed.
    let (leave, again) = (drain::signals(), reload::signals());
    let (leave, again) = leave
        .and_then(|leave| Ok((leave, again?)))
        .map_err(|why| Fault::System(why.to_string()))?;
    let config = source
        .load()
        .map_err(|error| Fault::Files(error.to_string()))?;
    run(source, config, leave, again).map_err(Fault::System)
}

fn run(source: ConfigFiles, config: Config, leave: Signals, again: Signals) -> Result<(), String> {
    let site = &config.site;
    let executor = Rc::new(LocalExecutor::new());
    let (terms, names) = (config.scheduler.clone(), config.names.clone());
    log::init(&site.log).map_err(|error| error.to_string())?;
    let facade = SchedulerHandle::new(terms, names, config.seed, &config.limits);
    let facade = Rc::new(match &site.levels {
        Some(levels) => facade.with_degradation(levels)?,
        None => facade,
    });
    let endpoints = Rc::new(Endpoints::new(&config));
    let engine = Rc::new(Engine::default());
    let applications = site.applications.as_ref();
    let applications = applications.map(|terms| {
        Rc::new(Applications::new(
            executor.clone(),
            endpoints.descriptors.clone(),
            terms,
            config.seed,
        ))
    });
    let runs: Rc<dyn Backend> = match &applications {
        Some(applications) => applications.clone(),
        None => engine.clone(),
    };
    let course = Rc::new(RequestHandler::new(
        facade.clone(),
        runs,
        StoreClient(endpoints.clone()),
        &config.limits,
    ));
    let connections = Rc::new(Connections::new(
        executor.clone(),
        facade.clone(),
        course,
        endpoints.descriptors.clone(),
        config.limits,
    ));
    let scgi = site
        .scgi
        .as_ref()
        .map(|terms| ScgiProtocol::new(terms, &config.names))
        .transpose()
        .map_err(|error| error.to_string())?
        .map(Rc::new);
    // All listeners stand before anybody is told of any.
    let mut listeners: Vec<(Async<TcpListener>, Rc<dyn Protocol>, &str)> = Vec::new();
    if let Some(address) = config.listen {
        listeners.push((bind(address)?, Rc::new(GatewayProtocol), ""));
    }
    if let (Some(front), Some(terms)) = (&scgi, &site.scgi) {
        for address in &terms.listen {
            listeners.push((bind(*address)?, front.clone(), " for SCGI"));
        }
    }
    // Guards against an operator who has read where the server listens and finds no door of theirs yet.
    let operator = site
        .operator
        .as_ref()
        .map(|terms| Operator::bind(&terms.listen))
        .transpose()?;
    let folder = site.state.as_ref().map(|terms| terms.folder.as_path());
    let fleet = site
        .fleet
        .as_ref()
        .map(|terms| {
            let (site, names) = (site.clone(), config.names.clone());
            let limits_of = move |content: Option<&str>| {
                let site = content.map_or_else(
                    || Ok(site.clone()),
                    |content| site.with_version(content, &names),
                );
                site.and_then(|site| site.limits(&names))
                    .unwrap_or_default()
            };
            FleetService::bind(
                terms,
                &config.name,
                config.seed,
                folder,
                Box::new(limits_of),
            )
            .map_err(|error| error.to_string())
        })
        .transpose()?;
    let fleet = fleet.map(Rc::new);
    let leaving = Cell::new(false);
    for (listener, _, what) in &listeners {
        let address = listener
            .get_ref()
            .local_addr()
            .map_err(|why| format!("listen: {why}"))?;
        note!("{} listens on {address}{what}", config.name);
    }
    if let Some(operator) = &operator {
        note!("operators ask at {}", operator.address());
    }
    if let Some(at) = fleet.as_ref().and_then(|fleet| fleet.address()) {
        note!("{} hears its fleet at {at}", config.name);
    }
    // Nothing is decided before the executor runs: what was learned comes in time.
    let snapshots = site
        .state
        .as_ref()
        .and_then(|terms| SnapshotService::start(terms, &config, &facade));
    let movable = Rc::new(ReloadableParts {
        scgi,
        applications,
        levels: facade.degradation().cloned(),
        versioned: Cell::new(false),
        version: RefCell::default(),
    });
    let apply_version: ApplyVersion = {
        let (movable, site) = (movable.clone(), site.clone());
        let (names, terms) = (config.names.clone(), config.scheduler.clone());
        Box::new(move |content| {
            movable
                .apply_version(content, &site, &names, &terms)
                .map_err(|error| error.to_string())
        })
    };
    let health_sources: HealthSources = {
        let applications = movable.applications.clone();
        Box::new(move |exchange| {
            applications
                .iter()
                .for_each(|applications| applications.exchange_health(exchange))
        })
    };
    let forever = async {
        let mut parts: Vec<Part<'_>> = vec![
            Box::pin(registration::send_heartbeats(
                &config.name,
                &endpoints.control_plane,
                &facade,
                &leaving,
            )),
            Box::pin(reload::run(again, &source, &config, &endpoints, &movable)),
            Box::pin(connections.sweep()),
            Box::pin(connections.shed_for_own_dials()),
            Box::pin(beat(&facade, &engine)),
        ];
        match &movable.applications {
            // Nothing is to be waited for: they may come and go.
            Some(_) => facade.start(None, Duration::ZERO),
            None => parts.push(Box::pin(engine.maintain_link(
                &endpoints,
                &facade,
                config.seed,
            ))),
        }
        if let Some(snapshots) = &snapshots {
            parts.push(Box::pin(snapshots.run(&facade)));
        }
        if let Some(operator) = &operator {
            parts.push(Box::pin(operator.listen(&executor, &facade, fleet.clone())));
        }
        if let Some(fleet) = &fleet {
            fleet.guard(&facade);
            parts.push(Box::pin(fleet.run(
                &facade,
                &apply_version,
                &health_sources,
            )));
            if let Some(applications) = &movable.applications {
                parts.push(Box::pin(async move {
                    loop {
                        applications.set_process_count(fleet.member_count());
                        Timer::after(COUNTED).await;
                    }
                }));
            }
        }
        parts.extend(
            listeners
                .into_iter()
                .map(|(listener, front, _)| -> Part<'_> {
                    Box::pin(connections.listen(listener, front))
                }),
        );
        all(parts).await
    };
    let told = || fleet.iter().for_each(|fleet| fleet.leave());
    let shutdown = Shutdown {
        scheduler: &facade,
        connections: &connections,
        stop_after: config.stop_after,
        draining: &leaving,
        announce: &told,
    };
    block_on(executor.run(shutdown.run(leave).or(forever)));
    if let Some(snapshots) = &snapshots {
        snapshots.finish(&facade);
    }
    Ok(())
}

/// Between two looks at how many servers the fleet has.
const COUNTED: Duration = Duration::from_secs(1);

type Part<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Backend all; never ends, as some of them don't.
async fn all(mut parts: Vec<Part<'_>>) {
    poll_fn(|cx| {
        parts.retain_mut(|part| part.as_mut().poll(cx).is_pending());
        Poll::Pending
    })
    .await
}

/// Ticks when the decisions want it, with the last readings of the engine's gauges.
async fn beat(facade: &SchedulerHandle, engine: &Engine) {
    loop {
        let sooner = facade.earlier_tick();
        let next = facade.next_tick();
        let wait = if next.is_zero() { UNSTARTED } else { next };
        let timer = async {
            Timer::after(wait).await;
        };
        timer.or(sooner).await;
        if !next.is_zero() {
            // Guards against a fault of one moment that ends the process, and with it all RPCs.
            let tick = AssertUnwindSafe(|| {
                engine.poll_gauges();
                facade.tick(&engine.gauge_readings());
            });
            if catch_unwind(tick).is_err() {
                note!("a tick ended by a panic");
            }
        }
    }
}
