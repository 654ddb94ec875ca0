//! Priority of queued requests.
use crate::measurements::ServiceRatio;
use crate::request_table::TrackedRequest;
use crate::shared_state::SharedState;

/// Weight of a retry relative to a first attempt: its client has already waited for an unknown time.
const RETRY_WEIGHT: f64 = 0.25;
/// Difference in service ratio to the worst-served method within which a method still gets part of the
/// boost.
const BOOST_BAND: f64 = 0.1;
/// Minimum fraction of all requests assumed for a boosted method.
const MIN_REQUESTED_FRACTION: f64 = 0.02;
/// Added to the requests of each method, so that one without requests has a weight.
const REQUESTED_OFFSET: f64 = 0.1;
/// Minimum time over which a tenant's rate is measured, in seconds.
const MIN_RATE_SECONDS: f64 = 2.0;
const TICKS_PER_SECOND: f64 = 10_000.0;

/// Returns the priority of a request: its priority weight relative to the mean of all requests, plus a boost
/// for badly served methods. It is divided by the expected run time unless weights are stated per unit of
/// work. Retries and traffic beyond a tenant's quota get less.
pub(crate) fn priority(shared: &SharedState, request: &TrackedRequest) -> f64 {
    let (settings, measured) = (&shared.settings, &shared.measurements);
    let weights = measured
        .methods
        .iter()
        .zip(&settings.methods)
        .map(|(ratio, method)| (ratio.requested + REQUESTED_OFFSET) * method.priority_weight);
    let requested: f64 = measured
        .methods
        .iter()
        .map(|ratio| ratio.requested + REQUESTED_OFFSET)
        .sum();
    let weight = shared.method(request).priority_weight;
    let relative_weight = weight * requested / weights.sum::<f64>().max(1e-9);
    let boost = underserved_boost(&measured.methods, request.method);
    let mut priority = settings.goal.overall * relative_weight + settings.goal.worst_method * boost;
    if let Some(tenant) = request.tenant {
        priority *= quota_weight(shared, tenant);
    }
    priority *= if request.is_retry { RETRY_WEIGHT } else { 1.0 };
    if settings.weight_per_work {
        priority
    } else {
        priority / measured.mean_run_time(request.method).0.max(1) as f64
    }
}

/// Returns the boost of the method at `index`: highest for the worst-served one, 0 beyond the band.
fn underserved_boost(ratios: &[ServiceRatio], index: usize) -> f64 {
    let worst = ratios.iter().map(ServiceRatio::ratio).fold(1.0, f64::min);
    let requested: f64 = ratios.iter().map(|ratio| ratio.requested).sum();
    let distance = (ratios[index].ratio() - worst) / BOOST_BAND;
    let boost_fraction = (1.0 - distance).max(0.0);
    let own_requested = ratios[index]
        .requested
        .max(requested * MIN_REQUESTED_FRACTION)
        .max(1.0);
    boost_fraction * requested.max(1.0) / own_requested
}

/// Returns the weight of a tenant's requests at its current rate. Its quota is assumed to be spread evenly
/// over the fleet.
fn quota_weight(shared: &SharedState, tenant: usize) -> f64 {
    let (settings, measured) = (&shared.settings, &shared.measurements);
    let seconds = (shared.now - measured.counted_since).0 as f64 / TICKS_PER_SECOND;
    let rate = measured.tenants[tenant].requested / seconds.max(MIN_RATE_SECONDS);
    let quota = settings.tenant_quotas[tenant] / settings.fleet_size;
    if rate <= quota {
        1.0
    } else {
        (quota + settings.over_quota_weight * (rate - quota)) / rate
    }
}

/// Returns the id with the highest value; the first of equal ones.
pub(crate) fn max_by_value<Id>(values: impl Iterator<Item = (f64, Id)>) -> Option<Id> {
    values
        .reduce(|best, next| if next.0 > best.0 { next } else { best })
        .map(|(_, id)| id)
}
