//! Exchanges the health of dependencies with the fleet: reports the state of this server's circuit breakers and applies
//! the reports of its peers.
use std::time::Duration;

use coralstep_fleet::Millis;
use coralstep_shared_health::{LocalHealth, ReportedBreakerState, SharedHealth};

use super::service::FleetService;
use crate::decisions::{BreakerStatus, SchedulerHandle};

/// Name of the store in health reports.
const STORE_NAME: &str = "store";

/// Adjustments to a circuit breaker that follow from peers' reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAdvice {
    /// Minimum number of local outcomes before the breaker may open.
    pub min_outcomes: u32,
    /// New remaining time of a running cooldown; `None` leaves it unchanged.
    pub cooldown_left: Option<Duration>,
}

/// Reports the status of the named dependency's circuit breaker and returns the advice derived from peers' reports.
pub type ExchangeHealth<'a> = &'a mut dyn FnMut(&str, BreakerStatus) -> PeerAdvice;

/// Calls the given function for each dependency except the store, and applies the returned advice.
pub type HealthSources = Box<dyn Fn(ExchangeHealth<'_>)>;

impl FleetService {
    /// Exchanges the health of the store and of all other dependencies.
    pub(super) fn exchange_health(
        &self,
        now: Millis,
        scheduler: &SchedulerHandle,
        sources: &HealthSources,
    ) {
        let Some(shared_health) = &self.shared_health else {
            return;
        };
        if let Some(status) = scheduler.breaker_status() {
            let advice = observe(&mut shared_health.borrow_mut(), now, STORE_NAME, status);
            scheduler.apply_peer_reports(advice.min_outcomes, advice.cooldown_left);
        }
        sources(&mut |dependency, status| {
            observe(&mut shared_health.borrow_mut(), now, dependency, status)
        });
    }
}

fn observe(
    shared_health: &mut SharedHealth,
    now: Millis,
    dependency: &str,
    status: BreakerStatus,
) -> PeerAdvice {
    let health = LocalHealth {
        state: breaker_state(status.state),
        failures: status.failures,
        calls: status.calls,
    };
    let advice = shared_health.observe(now, dependency, health);
    PeerAdvice {
        min_outcomes: advice.min_outcomes,
        cooldown_left: advice.cooldown_left_ms.map(Duration::from_millis),
    }
}

/// Returns the breaker state with this name, or `Closed` if the name is unknown.
fn breaker_state(name: &str) -> ReportedBreakerState {
    let states = [
        ReportedBreakerState::Closed,
        ReportedBreakerState::Open,
        ReportedBreakerState::HalfOpen,
    ];
    states
        .into_iter()
        .find(|state| state.name() == name)
        .unwrap_or_default()
}
