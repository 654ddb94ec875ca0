//! Where operators ask: a listener on loopback or a Unix socket, one line of JSON in, one out. Off without a site file that
//! names it. It never takes part in serving: few connections, short lines, short times.
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
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::decisions::SchedulerHandle;
use crate::fleet::FleetService;
use crate::note;

/// Connections at once, bytes of a question, and how long one may take.
const CONNECTIONS: usize = 8;
const QUESTION_MOST: usize = 96 * 1024;
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Between two tries to accept where none could be.
const AGAIN: Duration = Duration::from_millis(100);

#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Question {
    /// The level, why, since when, and what would change it.
    Levels,
    /// The last changes of level.
    History,
    /// Holds a level by hand.
    Hold {
        level: String,
        ms: u64,
    },
    /// Ends a hold.
    Release,
    /// Who is there.
    FleetMembers,
    FleetVersions,
    /// Who acted on what: of one version or server, or at a time (Unix ms), where these are given.
    FleetAudit {
        version: Option<String>,
        server: Option<String>,
        at_ms: Option<u64>,
    },
    /// A new version: sections of the site file.
    FleetPublish {
        content: Value,
        must: bool,
        waves: Vec<f32>,
        pause_ms: u64,
    },
    FleetShutOut {
        server: String,
    },
    FleetLetIn {
        server: String,
    },
    /// Shares of the limits, by server.
    FleetLimits,
    /// What each server says of its dependencies.
    FleetVerdicts,
    /// For tests: the wall clock that the server goes by is so far off from now on.
    FleetClock {
        offset_ms: i64,
    },
}

enum Listener {
    Tcp(Async<TcpListener>),
    Unix(Async<UnixListener>, PathBuf),
}

pub struct Operator {
    listener: Listener,
    open: Rc<Cell<usize>>,
}

impl Drop for Operator {
    fn drop(&mut self) {
        if let Listener::Unix(_, path) = &self.listener {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Whether `path` is a socket that nobody listens at any more: left behind by a server that was killed.
fn left_behind(path: &PathBuf) -> bool {
    use std::os::unix::fs::FileTypeExt;
    let socket = std::fs::symlink_metadata(path).is_ok_and(|meta| meta.file_type().is_socket());
    socket && std::os::unix::net::UnixStream::connect(path).is_err()
}

impl Operator {
    pub fn bind(at: &ListenAddress) -> Result<Operator, String> {
        let listener = match at {
            ListenAddress::Address(address) => bind(*address)?,
            ListenAddress::Path(path) => {
                if left_behind(path) {
                    let _ = std::fs::remove_file(path);
                }
                let bound = UnixListener::bind(path).and_then(Async::new);
                let listener =
                    bound.map_err(|why| format!("operator.listen: {}: {why}", path.display()))?;
                Listener::Unix(listener, path.clone())
            }
        };
        Ok(Operator {
            listener,
            open: Rc::default(),
        })
    }

    pub fn address(&self) -> String {
        match &self.listener {
            Listener::Tcp(listener) => listener
                .get_ref()
                .local_addr()
                .map_or_else(|why| why.to_string(), |at| at.to_string()),
            Listener::Unix(_, path) => path.display().to_string(),
        }
    }

    pub async fn listen(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
        scheduler: &Rc<SchedulerHandle>,
        fleet: Option<Rc<FleetService>>,
    ) {
        loop {
            let accepted: std::io::Result<Box<dyn Talk>> = match &self.listener {
                Listener::Tcp(listener) => listener
                    .accept()
                    .await
                    .map(|(stream, _)| Box::new(stream) as Box<dyn Talk>),
                Listener::Unix(listener, _) => listener
                    .accept()
                    .await
                    .map(|(stream, _)| Box::new(stream) as Box<dyn Talk>),
            };
            match accepted {
                Ok(_) if self.open.get() >= CONNECTIONS => {}
                Ok(stream) => {
                    let (open, scheduler, fleet) =
                        (self.open.clone(), scheduler.clone(), fleet.clone());
                    open.set(open.get() + 1);
                    executor
                        .spawn(async move {
                            let late = async {
                                Timer::after(PATIENCE).await;
                                Ok(())
                            };
                            if let Err(why) =
                                answer(stream, &scheduler, fleet.as_deref()).or(late).await
                            {
                                note!(client: "operator's connection ended: {why}");
                            }
                            open.set(open.get() - 1);
                        })
                        .detach();
                }
                Err(why) => {
                    note!("operator's listener: {why}");
                    Timer::after(AGAIN).await;
                }
            }
        }
    }
}

fn bind(address: SocketAddr) -> Result<Listener, String> {
    let bound = TcpListener::bind(address).and_then(Async::new);
    bound
        .map(Listener::Tcp)
        .map_err(|why| format!("operator.listen: {address}: {why}"))
}

trait Talk: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Talk for T {}

async fn answer(
    mut stream: Box<dyn Talk>,
    scheduler: &SchedulerHandle,
    fleet: Option<&FleetService>,
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    while !bytes.contains(&b'\n') {
        let mut more = [0; 512];
        match stream.read(&mut more).await? {
            0 => return Ok(()),
            count => bytes.extend_from_slice(&more[..count]),
        }
        if bytes.len() > QUESTION_MOST {
            return Err(std::io::Error::other("a question without end"));
        }
    }
    let line = bytes
        .split(|byte| *byte == b'\n')
        .next()
        .unwrap_or_default();
    let said = match serde_json::from_slice(line) {
        Ok(question) => match said_of_fleet(&question, fleet) {
            Some(said) => said,
            None => said(question, scheduler),
        },
        Err(why) => json!({ "error": why.to_string() }),
    };
    stream.write_all(format!("{said}\n").as_bytes()).await?;
    stream.close().await
}

/// What is said to a question about the fleet; none where it is about something else.
fn said_of_fleet(question: &Question, fleet: Option<&FleetService>) -> Option<Value> {
    use Question::*;
    if matches!(question, Levels | History | Hold { .. } | Release) {
        return None;
    }
    let Some(fleet) = fleet else {
        return Some(json!({"error": "this server has no fleet: its site file names none"}));
    };
    let done = |done: Result<Value, String>| done.unwrap_or_else(|why| json!({ "error": why }));
    Some(match question {
        FleetMembers => fleet.members(),
        FleetVersions => fleet.versions(),
        FleetAudit {
            version,
            server,
            at_ms,
        } => done((|| {
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
        } => done(
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
        FleetShutOut { server } => done(
            fleet
                .set_excluded(server, true)
                .map(|()| json!({ "shut_out": server }))
                .map_err(|error| error.to_string()),
        ),
        FleetLimits => fleet.limits(),
        FleetVerdicts => fleet.shared_health(),
        FleetClock { offset_ms } => done(
            fleet
                .step_clock(*offset_ms)
                .map(|()| json!({ "offset_ms": offset_ms }))
                .map_err(|error| error.to_string()),
        ),
        FleetLetIn { server } => done(
            fleet
                .set_excluded(server, false)
                .map(|()| json!({ "let_in": server }))
                .map_err(|error| error.to_string()),
        ),
        Levels | History | Hold { .. } | Release => return None,
    })
}

fn said(question: Question, scheduler: &SchedulerHandle) -> Value {
    let levels = scheduler.degradation();
    let Some(levels) = levels else {
        return json!({"error": "this server has no levels: its site file names none"});
    };
    match question {
        Question::Levels => json!({ "levels": levels.view() }),
        Question::History => json!({ "history": levels.history() }),
        Question::Hold { level, ms } => match levels.hold(&level, ms) {
            Ok(()) => json!({"held": level, "ms": ms}),
            Err(error) => json!({ "error": error.to_string() }),
        },
        Question::Release => json!({ "released": levels.release() }),
        _ => json!({"error": "this is no question about levels"}),
    }
}
