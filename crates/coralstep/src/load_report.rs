//! Load reports, which make clients send less while requests wait long.
use crate::config::{LoadReportKind, SchedulerConfig};
use crate::queue;
use crate::shared_state::SharedState;

/// Longest wait, as a fraction of the queue limit, beyond which less load is accepted.
const MAX_WAITED_FRACTION: f64 = 0.5;
/// Change of the shed fraction at each adjustment.
const SHED_STEP: f64 = 0.1;
/// Maximum fraction of the load that is shed.
const MAX_SHED: f64 = 0.95;
/// Credit of all clients together, in concurrent requests per core.
const CREDIT_PER_CORE: f64 = 4.0;

/// The reported load and its kind.
#[derive(Debug)]
pub(crate) struct LoadReport {
    kind: LoadReportKind,
    callers: f64,
    /// Fraction of the load that clients should withhold, from 0 to 0.95.
    shed: f64,
}

impl LoadReport {
    pub(crate) fn new(config: &SchedulerConfig) -> LoadReport {
        LoadReport {
            kind: config.load_report,
            callers: f64::from(config.callers.max(1)),
            shed: 0.0,
        }
    }

    /// Updates and returns the value to report. It accepts less while requests wait long, and no load while
    /// the server is not `available`. `None` if load reports are off.
    pub(crate) fn update(&mut self, shared: &SharedState, available: bool) -> Option<f64> {
        let waits_long = queue::longest_waited_fraction(shared) > MAX_WAITED_FRACTION;
        let step = if waits_long { SHED_STEP } else { -SHED_STEP };
        self.shed = (self.shed + step).clamp(0.0, MAX_SHED);
        let accepted = if available { 1.0 - self.shed } else { 0.0 };
        let accepted = accepted * shared.degradation.current().load_report_factor;
        match self.kind {
            LoadReportKind::Off => None,
            LoadReportKind::Threshold => Some(1.0 - accepted),
            LoadReportKind::Weight => Some(accepted),
            LoadReportKind::Credit => {
                let cores = shared.settings.cores as f64;
                Some(accepted * cores * CREDIT_PER_CORE / self.callers)
            }
        }
    }
}
