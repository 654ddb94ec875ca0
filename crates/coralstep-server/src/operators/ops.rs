//! The operators' listener, on a loopback address or a Unix socket: a client sends one line of JSON and receives one line
//! of JSON. Enabled only by the site file. Connections, line lengths and times are kept small, so that operators' requests
//! don't slow down RPCs.
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use coralstep_config::site::ListenAddress;
use coralstep_fleet::audit::AuditFilter;
use coralstep_fleet::fleet::Publication;
use coralstep_fleet::versions::ParseVersionIdError;
use futures_lite::future::yield_now;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::decisions::SchedulerHandle;
use crate::fleet::FleetService;
use crate::note;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 8;
/// Maximum length of a request in bytes.
const MAX_REQUEST_BYTES: usize = 96 * 1024;
/// Maximum duration of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request from an operator.
#[derive(Debug, Serialize, Deserialize)]
#[serde(
    tag = "ask",
    rename_all = "snake_case",
    deny_unknown_fields,
    expecting = "internally tagged enum Question"
)]
pub enum OperatorRequest {
    /// Returns the degradation level, its causes and the state of all conditions.
    Levels,
    /// Returns the latest level changes.
    History,
    /// Holds a level for `ms` milliseconds, regardless of its conditions.
    Hold { level: String, ms: u64 },
    /// Ends a hold of a level.
    Release,
    /// Returns the members of the fleet.
    FleetMembers,
    /// Returns the stored configuration versions.
    FleetVersions,
    /// Returns which server had which version active, filtered by version, server or time (Unix milliseconds).
    FleetAudit {
        version: Option<String>,
        server: Option<String>,
        at_ms: Option<u64>,
    },
    /// Publishes a new version, whose content is sections of the site file.
    FleetPublish {
        content: Value,
        must: bool,
        waves: Vec<f32>,
        pause_ms: u64,
    },
    /// Excludes a server.
    FleetShutOut { server: String },
    /// Readmits a server.
    FleetLetIn { server: String },
    /// Returns the shares of fleet-wide limits, by server.
    FleetLimits,
    /// Returns the health reports of all servers for their dependencies.
    FleetVerdicts,
    /// Shifts the server's wall clock from the system clock, for tests.
    FleetClock { offset_ms: i64 },
}

enum ListenerSocket {
    Tcp(Async<TcpListener>),
    Unix(Async<UnixListener>, PathBuf),
}

/// Serves requests from operators.
pub struct OperatorListener {
    socket: ListenerSocket,
    open_connections: Rc<Cell<usize>>,
}

impl Drop for OperatorListener {
    fn drop(&mut self) {
        if let ListenerSocket::Unix(_, path) = &self.socket {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Returns whether `path` is a stale socket without a listener, left by a server that was killed.
fn is_stale_socket(path: &PathBuf) -> bool {
    use std::os::unix::fs::FileTypeExt;
    let is_socket =
        std::fs::symlink_metadata(path).is_ok_and(|metadata| metadata.file_type().is_socket());
    is_socket && std::os::unix::net::UnixStream::connect(path).is_err()
}

impl OperatorListener {
    /// Binds the configured address or Unix socket, replacing a stale socket file.
    ///
    /// # Errors
    /// Fails if the address or path can't be bound.
    pub fn bind(endpoint: &ListenAddress) -> Result<OperatorListener, String> {
        let socket = match endpoint {
            ListenAddress::Address(address) => bind(*address)?,
            ListenAddress::Path(path) => {
                if is_stale_socket(path) {
                    let _ = std::fs::remove_file(path);
                }
                let bound = UnixListener::bind(path).and_then(Async::new);
                let listener = bound
                    .map_err(|error| format!("operator.listen: {}: {error}", path.display()))?;
                ListenerSocket::Unix(listener, path.clone())
            }
        };
        Ok(OperatorListener {
            socket,
            open_connections: Rc::default(),
        })
    }

    /// Returns the bound address or path.
    pub fn address(&self) -> String {
        match &self.socket {
            ListenerSocket::Tcp(listener) => listener
                .get_ref()
                .local_addr()
                .map_or_else(|error| error.to_string(), |address| address.to_string()),
            ListenerSocket::Unix(_, path) => path.display().to_string(),
        }
    }

    /// Accepts connections and serves their requests; never returns.
    pub async fn listen(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        scheduler: &Rc<SchedulerHandle>,
        fleet: Option<Rc<FleetService>>,
    ) {
        loop {
            let accepted: std::io::Result<Box<dyn OperatorStream>> = match &self.socket {
                ListenerSocket::Tcp(listener) => listener
                    .accept()
                    .await
                    .map(|(stream, _)| Box::new(stream) as Box<dyn OperatorStream>),
                ListenerSocket::Unix(listener, _) => listener
                    .accept()
                    .await
                    .map(|(stream, _)| Box::new(stream) as Box<dyn OperatorStream>),
            };
            // Guards against clients that connect at full speed and starve all other tasks.
            yield_now().await;
            match accepted {
                Ok(_) if self.open_connections.get() >= MAX_CONNECTIONS => {}
                Ok(stream) => {
                    let (open_connections, scheduler, fleet) = (
                        self.open_connections.clone(),
                        scheduler.clone(),
                        fleet.clone(),
                    );
                    open_connections.set(open_connections.get() + 1);
                    executor
                        .spawn(async move {
                            let expired = async {
                                Timer::after(REQUEST_TIMEOUT).await;
                                Ok(())
                            };
                            if let Err(error) = serve_request(stream, &scheduler, fleet.as_deref())
                                .or(expired)
                                .await
                            {
                                note!(client: "operator connection failed: {error}");
                            }
                            open_connections.set(open_connections.get() - 1);
                        })
                        .detach();
                }
                Err(error) => {
                    note!("operator listener: accept failed: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

fn bind(address: SocketAddr) -> Result<ListenerSocket, String> {
    let bound = TcpListener::bind(address).and_then(Async::new);
    bound
        .map(ListenerSocket::Tcp)
        .map_err(|error| format!("operator.listen: {address}: {error}"))
}

trait OperatorStream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> OperatorStream for T {}

/// Reads one request line, writes one response line and closes the stream.
async fn serve_request(
    mut stream: Box<dyn OperatorStream>,
    scheduler: &SchedulerHandle,
    fleet: Option<&FleetService>,
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    while !bytes.contains(&b'\n') {
        let mut chunk = [0; 512];
        match stream.read(&mut chunk).await? {
            0 => return Ok(()),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
        if bytes.len() > MAX_REQUEST_BYTES {
            return Err(std::io::Error::other("request too long"));
        }
    }
    let line = bytes
        .split(|byte| *byte == b'\n')
        .next()
        .unwrap_or_default();
    let response = match serde_json::from_slice(line) {
        Ok(request) => match handle_fleet_request(&request, fleet) {
            Some(response) => response,
            None => handle_level_request(request, scheduler),
        },
        Err(error) => json!({ "error": error.to_string() }),
    };
    stream.write_all(format!("{response}\n").as_bytes()).await?;
    stream.close().await
}

/// Returns the response to a request about the fleet; `None` if the request is about degradation levels.
fn handle_fleet_request(request: &OperatorRequest, fleet: Option<&FleetService>) -> Option<Value> {
    use OperatorRequest::*;
    if matches!(request, Levels | History | Hold { .. } | Release) {
        return None;
    }
    let Some(fleet) = fleet else {
        return Some(json!({"error": "this server has no fleet: its site file names none"}));
    };
    let respond =
        |result: Result<Value, String>| result.unwrap_or_else(|error| json!({ "error": error }));
    Some(match request {
        FleetMembers => fleet.members(),
        FleetVersions => fleet.versions(),
        FleetAudit {
            version,
            server,
            at_ms,
        } => respond((|| {
            let version = version
                .as_ref()
                .map(|version| version.parse())
                .transpose()
                .map_err(|error: ParseVersionIdError| error.to_string())?;
            Ok(fleet.audit(&AuditFilter {
                version,
                server: server.clone(),
                at_ms: *at_ms,
            }))
        })()),
        FleetPublish {
            content,
            must,
            waves,
            pause_ms,
        } => respond(
            fleet
                .publish(Publication {
                    content: content.to_string(),
                    mandatory: *must,
                    stages: waves.clone(),
                    stage_pause_ms: *pause_ms,
                })
                .map(|id| json!({ "published": id.to_string() }))
                .map_err(|error| error.to_string()),
        ),
        FleetShutOut { server } => respond(
            fleet
                .set_excluded(server, true)
                .map(|()| json!({ "shut_out": server }))
                .map_err(|error| error.to_string()),
        ),
        FleetLimits => fleet.limits(),
        FleetVerdicts => fleet.shared_health(),
        FleetClock { offset_ms } => respond(
            fleet
                .set_clock_offset(*offset_ms)
                .map(|()| json!({ "offset_ms": offset_ms }))
                .map_err(|error| error.to_string()),
        ),
        FleetLetIn { server } => respond(
            fleet
                .set_excluded(server, false)
                .map(|()| json!({ "let_in": server }))
                .map_err(|error| error.to_string()),
        ),
        Levels | History | Hold { .. } | Release => return None,
    })
}

fn handle_level_request(request: OperatorRequest, scheduler: &SchedulerHandle) -> Value {
    let levels = scheduler.degradation();
    let Some(levels) = levels else {
        return json!({"error": "this server has no levels: its site file names none"});
    };
    match request {
        OperatorRequest::Levels => json!({ "levels": levels.status() }),
        OperatorRequest::History => json!({ "history": levels.history() }),
        OperatorRequest::Hold { level, ms } => match levels.set_override(&level, ms) {
            Ok(()) => json!({"held": level, "ms": ms}),
            Err(error) => json!({ "error": error.to_string() }),
        },
        OperatorRequest::Release => json!({ "released": levels.clear_override() }),
        _ => json!({"error": "not a request about levels"}),
    }
}
