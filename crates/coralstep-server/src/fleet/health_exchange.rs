//! The health of dependencies, exchanged with the fleet: what this server's circuit breakers see goes out, what the others
//! report comes back.
use std::time::Duration;

use coralstep_fleet::Millis;
use coralstep_shared_health::{LocalHealth, ReportedBreakerState, SharedHealth};

use super::service::FleetService;
use crate::decisions::{BreakerStatus, SchedulerHandle};

/// The store's name among the fleet's dependencies.
const STORE: &str = "store";

/// What a circuit breaker may go by, after the reports of other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAdvice {
    /// Outcomes of its own before it may open.
    pub min_outcomes: u32,
    /// When a running cooldown ends, from now; none leaves it as it is.
    pub cooldown_left: Option<Duration>,
}

/// Reports the named dependency's circuit breaker, and returns what the others advise.
pub type ExchangeHealth<'a> = &'a mut dyn FnMut(&str, BreakerStatus) -> PeerAdvice;

/// Exchanges the health of the dependencies beside the store.
pub type HealthSources = Box<dyn Fn(ExchangeHealth<'_>)>;

impl FleetService {
    /// Exchanges the health of the store, and of all other dependencies.
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
            let advice = observe(&mut shared_health.borrow_mut(), now, STORE, status);
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

/// Returns the state of this name; closed for an unknown one.
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
