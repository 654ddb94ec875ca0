//! The load that is reported to callers, so that they send less while requests wait long.
use crate::config::{LoadReportKind, SchedulerConfig};
use crate::queue;
use crate::shared_state::SharedState;

/// Less is asked for while a request has waited longer than this part of its queue limit.
const MAX_WAITED_PART: f64 = 0.5;
/// The step of the part that is shed, at each review.
const SHED_STEP: f64 = 0.1;
const MAX_SHED: f64 = 0.95;
/// Requests for each core that all callers together may have here.
const CREDIT_PER_CORE: f64 = 4.0;

/// What is reported, and how.
#[derive(Debug)]
pub(crate) struct LoadReport {
    kind: LoadReportKind,
    callers: f64,
    /// The part of the load that callers are asked to keep away, from 0 to 0.95.
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

    /// The value to report: it asks for less while requests wait long, and for nothing while the server is
    /// not `available`. `None` where no load is reported.
    pub(crate) fn update(&mut self, shared: &SharedState, available: bool) -> Option<f64> {
        let waits_long = queue::longest_waited_part(shared) > MAX_WAITED_PART;
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
