//! State that this server keeps for each dependency: its local health, the aggregator of peer
//! reports and the source of a fault.
use coralstep_fleet::{Member, Millis};

use crate::aggregate::Aggregator;
use crate::fault_source::FaultSource;
use crate::operator_view::DependencyRow;
use crate::report::{HealthReport, LocalHealth, ReportedBreakerState};

pub(crate) struct Dependency {
    local: LocalHealth,
    last_call_at: Millis,
    /// When a probe call closed the breaker; `None` if it never did or the breaker opened again.
    recovered_at: Option<Millis>,
    pub(crate) aggregator: Aggregator,
    pub(crate) fault_source: FaultSource,
}

impl Dependency {
    pub(crate) fn new(aggregator: Aggregator) -> Dependency {
        Dependency {
            local: LocalHealth::default(),
            last_call_at: 0,
            recovered_at: None,
            aggregator,
            fault_source: FaultSource::NoFault,
        }
    }

    /// Updates the local health. Returns whether peers must be informed immediately.
    pub(crate) fn update(&mut self, now: Millis, local: LocalHealth) -> bool {
        if local == self.local {
            return false;
        }
        // Successful calls without a change of state are reported at the next regular interval.
        let is_urgent = local.state != self.local.state || (local.failures > 0 && local.calls > 0);
        if local.calls > 0 {
            self.last_call_at = now;
        }
        match (self.local.state, local.state) {
            (ReportedBreakerState::Closed, ReportedBreakerState::Closed) => {}
            (_, ReportedBreakerState::Closed) => self.recovered_at = Some(now),
            _ => self.recovered_at = None,
        }
        self.local = local;
        is_urgent
    }

    pub(crate) fn report(&self, now: Millis, name: &str) -> HealthReport {
        HealthReport {
            dependency: name.to_owned(),
            state: self.local.state,
            failures: saturate_u8(self.local.failures),
            calls: saturate_u8(self.local.calls),
            since_call_ms: age_ms(now, self.last_call_at),
            since_recovery_ms: self.recovered_at.map(|at| age_ms(now, at)),
        }
    }

    pub(crate) fn row(&self, now: Millis, name: &str, server: &Member) -> DependencyRow {
        DependencyRow {
            dependency: name.to_owned(),
            server: server.name.clone(),
            state: self.local.state,
            failures: self.local.failures,
            calls: self.local.calls,
            age_ms: now.saturating_sub(self.last_call_at),
        }
    }
}

fn saturate_u8(count: u32) -> u8 {
    count.min(u32::from(u8::MAX)) as u8
}

fn age_ms(now: Millis, at: Millis) -> u32 {
    now.saturating_sub(at).min(Millis::from(u32::MAX)) as u32
}
