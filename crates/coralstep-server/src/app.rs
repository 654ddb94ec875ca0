//! Builds the components of a server, connects them and runs them until shutdown.
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

use crate::base::config::{Config, ConfigFiles};
use crate::base::endpoints::Endpoints;
use crate::base::log;
use crate::base::memory_budget::MemoryBudgets;
use crate::callers::connections::Connections;
use crate::callers::gateway::GatewayProtocol;
use crate::callers::protocol::Protocol;
use crate::callers::scgi::ScgiProtocol;
use crate::decisions::SchedulerHandle;
use crate::dependency::store::StoreClient;
use crate::fleet::{ApplyVersion, FleetService, HealthSources};
use crate::lifecycle::drain::Shutdown;
use crate::lifecycle::reload::ReloadableParts;
use crate::lifecycle::snapshots::SnapshotService;
use crate::lifecycle::{registration, reload};
use crate::note;
use crate::operators::ops::OperatorListener;
use crate::runs::Backend;
use crate::runs::applications::Applications;
use crate::runs::engine::Engine;
use crate::runs::request_handler::RequestHandler;

/// Interval between checks whether the scheduler has been started.
const START_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the number of fleet members, on which the applications' slow start depends, is updated.
const MEMBER_COUNT_PERIOD: Duration = Duration::from_secs(1);

/// A concurrent task of the server.
type Task<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A listening socket and the protocol of its callers.
struct Listener {
    socket: Async<TcpListener>,
    protocol: Rc<dyn Protocol>,
    /// Suffix of the address in the log.
    label: &'static str,
}

/// A server whose ports are all bound.
pub(crate) struct App {
    config: Config,
    executor: Rc<LocalExecutor<'static>>,
    scheduler: Rc<SchedulerHandle>,
    endpoints: Rc<Endpoints>,
    engine: Rc<Engine>,
    connections: Rc<Connections>,
    listeners: Vec<Listener>,
    operator: Option<OperatorListener>,
    fleet: Option<Rc<FleetService>>,
    snapshots: Option<SnapshotService>,
    parts: Rc<ReloadableParts>,
    /// Whether the shutdown has begun.
    draining: Cell<bool>,
}

impl App {
    /// Builds all components, binds all ports and restores the state saved before a restart.
    ///
    /// # Errors
    /// Fails if a port can't be bound or a component rejects its configuration section.
    pub(crate) fn build(config: Config) -> Result<App, String> {
        log::init(&config.site.log).map_err(|error| error.to_string())?;
        let executor = Rc::new(LocalExecutor::new());
        let scheduler = Rc::new(build_scheduler(&config)?);
        let endpoints = Rc::new(Endpoints::new(&config));
        let engine = Rc::new(Engine::default());
        let budgets = MemoryBudgets::new(&config.limits);
        let applications = build_applications(&config, &executor, &endpoints, &budgets);
        let backend: Rc<dyn Backend> = match &applications {
            Some(applications) => applications.clone(),
            None => engine.clone(),
        };
        let handler = Rc::new(RequestHandler::new(
            scheduler.clone(),
            backend,
            StoreClient(endpoints.clone()),
            &config.limits,
        ));
        let connections = Rc::new(Connections::new(
            executor.clone(),
            scheduler.clone(),
            handler,
            endpoints.descriptors.clone(),
            config.limits,
            budgets,
        ));
        let scgi = build_scgi(&config)?;
        // All ports are bound before any address is logged. Guards against an operator who reads an address in the log and
        // connects before the operator listener is bound.
        let listeners = bind_listeners(&config, scgi.as_ref())?;
        let operator = bind_operator(&config)?;
        let fleet = bind_fleet(&config)?;
        let parts = Rc::new(ReloadableParts {
            scgi,
            applications,
            levels: scheduler.degradation().cloned(),
            version_active: Cell::new(false),
            versioned_site: RefCell::default(),
        });
        let mut app = App {
            config,
            executor,
            scheduler,
            endpoints,
            engine,
            connections,
            listeners,
            operator,
            fleet,
            snapshots: None,
            parts,
            draining: Cell::new(false),
        };
        app.log_addresses()?;
        // The scheduler makes no decisions before the executor runs, so the restored state applies to all of them.
        app.snapshots = app.start_snapshots();
        Ok(app)
    }

    /// Serves until a signal from `stop`, then shuts down. Each signal from `reload` reloads the files of `source`.
    pub(crate) fn run(mut self, source: &ConfigFiles, stop: Signals, reload: Signals) {
        let listeners = std::mem::take(&mut self.listeners);
        let apply_version = self.version_applier();
        let health_sources = self.health_sources();
        let announce = || {
            if let Some(fleet) = &self.fleet {
                fleet.leave();
            }
        };
        let shutdown = Shutdown {
            scheduler: &self.scheduler,
            connections: &self.connections,
            stop_after: self.config.stop_after,
            draining: &self.draining,
            announce: &announce,
        };
        let serve = async {
            let mut tasks = self.tasks(source, reload);
            tasks.extend(self.fleet_tasks(&apply_version, &health_sources));
            for Listener {
                socket, protocol, ..
            } in listeners
            {
                tasks.push(Box::pin(self.connections.listen(socket, protocol)));
            }
            run_all(tasks).await;
        };
        block_on(self.executor.run(shutdown.run(stop).or(serve)));
        if let Some(snapshots) = &self.snapshots {
            snapshots.finish(&self.scheduler);
        }
    }

    /// Returns all tasks except those of the fleet and the listeners.
    fn tasks<'a>(&'a self, source: &'a ConfigFiles, reload: Signals) -> Vec<Task<'a>> {
        let heartbeats = registration::send_heartbeats(
            &self.config.name,
            &self.endpoints.control_plane,
            &self.scheduler,
            &self.draining,
        );
        let reloads = reload::run(reload, source, &self.config, &self.endpoints, &self.parts);
        let mut tasks: Vec<Task<'a>> = vec![
            Box::pin(heartbeats),
            Box::pin(reloads),
            Box::pin(self.connections.sweep()),
            Box::pin(self.connections.shed_for_outgoing_connections()),
            Box::pin(drive_scheduler(&self.scheduler, &self.engine)),
        ];
        if self.parts.applications.is_some() {
            // Applications may come and go at any time, so the scheduler starts without waiting for one.
            self.scheduler.start(None, Duration::ZERO);
        } else {
            let link =
                self.engine
                    .maintain_link(&self.endpoints, &self.scheduler, self.config.seed);
            tasks.push(Box::pin(link));
        }
        if let Some(snapshots) = &self.snapshots {
            tasks.push(Box::pin(snapshots.run(&self.scheduler)));
        }
        if let Some(operator) = &self.operator {
            let fleet = self.fleet.clone();
            let listening = operator.listen(&self.executor, &self.scheduler, fleet);
            tasks.push(Box::pin(listening));
        }
        tasks
    }

    fn fleet_tasks<'a>(
        &'a self,
        apply_version: &'a ApplyVersion,
        health_sources: &'a HealthSources,
    ) -> Vec<Task<'a>> {
        let Some(fleet) = &self.fleet else {
            return Vec::new();
        };
        fleet.attach_to(&self.scheduler);
        let service = fleet.run(&self.scheduler, apply_version, health_sources);
        let mut tasks: Vec<Task<'a>> = vec![Box::pin(service)];
        if let Some(applications) = &self.parts.applications {
            tasks.push(Box::pin(update_process_count(fleet, applications)));
        }
        tasks
    }

    /// Returns the callback that applies a configuration version of the fleet.
    fn version_applier(&self) -> ApplyVersion {
        let parts = self.parts.clone();
        let site = self.config.site.clone();
        let names = self.config.names.clone();
        let config = self.config.scheduler.clone();
        Box::new(move |content| {
            parts
                .apply_version(content, &site, &names, &config)
                .map_err(|error| error.to_string())
        })
    }

    /// Returns the callback that exchanges the health of all dependencies except the store.
    fn health_sources(&self) -> HealthSources {
        let applications = self.parts.applications.clone();
        Box::new(move |exchange| {
            if let Some(applications) = &applications {
                applications.exchange_health(exchange);
            }
        })
    }

    fn start_snapshots(&self) -> Option<SnapshotService> {
        let section = self.config.site.state.as_ref()?;
        SnapshotService::start(section, &self.config, &self.scheduler)
    }

    fn log_addresses(&self) -> Result<(), String> {
        let name = &self.config.name;
        for listener in &self.listeners {
            let address = listener
                .socket
                .get_ref()
                .local_addr()
                .map_err(|error| format!("listen: {error}"))?;
            note!("{name} listens on {address}{}", listener.label);
        }
        if let Some(operator) = &self.operator {
            note!("operators ask at {}", operator.address());
        }
        if let Some(address) = self.fleet.as_ref().and_then(|fleet| fleet.address()) {
            note!("{name} hears its fleet at {address}");
        }
        Ok(())
    }
}

fn build_scheduler(config: &Config) -> Result<SchedulerHandle, String> {
    let (scheduler_config, names) = (config.scheduler.clone(), config.names.clone());
    let scheduler = SchedulerHandle::new(scheduler_config, names, config.seed, &config.limits);
    match &config.site.levels {
        Some(levels) => scheduler
            .with_degradation(levels)
            .map_err(|error| error.to_string()),
        None => Ok(scheduler),
    }
}

fn build_applications(
    config: &Config,
    executor: &Rc<LocalExecutor<'static>>,
    endpoints: &Endpoints,
    budgets: &MemoryBudgets,
) -> Option<Rc<Applications>> {
    let section = config.site.applications.as_ref()?;
    let descriptors = endpoints.descriptors.clone();
    let applications = Applications::new(
        executor.clone(),
        descriptors,
        budgets.replies.clone(),
        section,
        config.seed,
    );
    Some(Rc::new(applications))
}

fn build_scgi(config: &Config) -> Result<Option<Rc<ScgiProtocol>>, String> {
    let section = config.site.scgi.as_ref();
    let scgi = section.map(|section| ScgiProtocol::new(section, &config.names));
    let scgi = scgi.transpose().map_err(|error| error.to_string())?;
    Ok(scgi.map(Rc::new))
}

fn bind_listeners(
    config: &Config,
    scgi: Option<&Rc<ScgiProtocol>>,
) -> Result<Vec<Listener>, String> {
    let mut listeners = Vec::new();
    if let Some(address) = config.listen {
        listeners.push(Listener {
            socket: bind(address)?,
            protocol: Rc::new(GatewayProtocol),
            label: "",
        });
    }
    if let (Some(scgi), Some(section)) = (scgi, &config.site.scgi) {
        for address in &section.listen {
            listeners.push(Listener {
                socket: bind(*address)?,
                protocol: scgi.clone(),
                label: " for SCGI",
            });
        }
    }
    Ok(listeners)
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>, String> {
    TcpListener::bind(address)
        .and_then(Async::new)
        .map_err(|error| format!("listen: {address}: {error}"))
}

fn bind_operator(config: &Config) -> Result<Option<OperatorListener>, String> {
    let section = config.site.operator.as_ref();
    section
        .map(|section| OperatorListener::bind(&section.listen))
        .transpose()
}

fn bind_fleet(config: &Config) -> Result<Option<Rc<FleetService>>, String> {
    let Some(section) = &config.site.fleet else {
        return Ok(None);
    };
    let (site, names) = (config.site.clone(), config.names.clone());
    let limits_for_version = move |version: Option<&str>| {
        let site = match version {
            None => Ok(site.clone()),
            Some(version) => site.with_version(version, &names),
        };
        site.and_then(|site| site.limits(&names))
            .unwrap_or_default()
    };
    let state_directory = config
        .site
        .state
        .as_ref()
        .map(|state| state.folder.as_path());
    let fleet = FleetService::bind(
        section,
        &config.name,
        config.seed,
        state_directory,
        Box::new(limits_for_version),
    );
    Ok(Some(Rc::new(fleet.map_err(|error| error.to_string())?)))
}

/// Runs all tasks concurrently. Never returns, not even after all tasks have ended.
async fn run_all(mut tasks: Vec<Task<'_>>) {
    poll_fn(|context| {
        tasks.retain_mut(|task| task.as_mut().poll(context).is_pending());
        Poll::Pending
    })
    .await
}

async fn update_process_count(fleet: &FleetService, applications: &Applications) {
    loop {
        applications.set_process_count(fleet.member_count());
        Timer::after(MEMBER_COUNT_PERIOD).await;
    }
}

/// Runs the scheduler's timer with the latest gauge readings of the engine, whenever it is due.
async fn drive_scheduler(scheduler: &SchedulerHandle, engine: &Engine) {
    loop {
        let sooner = scheduler.earlier_timeout();
        let next = scheduler.next_timeout();
        let is_started = !next.is_zero();
        let wait = if is_started {
            next
        } else {
            START_POLL_INTERVAL
        };
        let timer = async {
            Timer::after(wait).await;
        };
        timer.or(sooner).await;
        if is_started {
            // Guards against a panic in the scheduler, which would end the process and all its RPCs.
            let timeout_handler = AssertUnwindSafe(|| {
                engine.poll_gauges();
                scheduler.handle_timeout(&engine.gauge_readings());
            });
            if catch_unwind(timeout_handler).is_err() {
                note!("scheduler timeout handler panicked");
            }
        }
    }
}
