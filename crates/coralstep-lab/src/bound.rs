//! The best result that was possible in a recorded run: an upper bound from a linear program over time slices, and the schedule of
//! an offline greedy planner, which can't exceed the bound.
//!
//! In the linear program a request may be served fractionally, on any server, in any slice from its arrival to its target (for its
//! full value) or to its deadline (for the value of a late answer). The constraints are the work that all cores can do in a slice and
//! the calls that the dependency can answer. Requests of a method that arrived in the same slice are grouped by work, and each counts
//! with the least work of its group. Every simplification relaxes the problem, so no real schedule does better.
use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

use crate::record::{Record, RecordedRequest};
use crate::world::World;

/// Number of slices in the linear program; the record's slices are merged to this number.
pub const SLICES: usize = 30;
/// Requests whose work differs by less than this factor form one group.
const GROUP_FACTOR: f64 = 1.6;
/// Margin for slices in which more calls than average succeed, in standard deviations of their count.
const CALL_MARGIN_DEVIATIONS: f64 = 4.0;

/// Results as fractions of the total criticality of all requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundComparison {
    pub kept: f64,
    pub greedy: f64,
    pub bound: f64,
}

/// Capacity by slice, the input of the linear program.
struct Plan {
    slice_ms: f64,
    /// Work of the cores and calls of the dependency that are possible in each slice.
    work: Vec<f64>,
    calls: Vec<f64>,
}

/// Requests of one method and slice with about the same work.
#[derive(Clone, Debug)]
struct Group {
    method: usize,
    slice: usize,
    count: f64,
    least_ms: f64,
}

impl Plan {
    fn new(world: &World, record: &Record) -> Plan {
        let each = crate::record::SLICES / SLICES;
        let joined = |figure: fn(&crate::record::Slice) -> f64| -> Vec<f64> {
            record.slices[..crate::record::SLICES]
                .chunks(each)
                .map(|chunk| chunk.iter().map(figure).sum())
                .collect()
        };
        let slice_ms = record.slice_ms * each as f64;
        let mut plan = Plan {
            slice_ms,
            work: joined(|slice| slice.capacity),
            calls: joined(|slice| slice.calls),
        };
        // Requests that are open at the end are served after it: adds slices with the highest recorded capacity for the longest deadline.
        let most = world
            .methods
            .iter()
            .map(|method| method.deadline_ms)
            .fold(0.0, f64::max);
        let behind = (most / slice_ms).ceil() as usize + 1;
        let usual = plan.work.iter().copied().fold(0.0, f64::max);
        let calls = plan.calls.iter().copied().fold(0.0, f64::max);
        plan.work.extend(std::iter::repeat_n(usual, behind));
        plan.calls.extend(std::iter::repeat_n(calls, behind));
        plan.calls
            .iter_mut()
            .for_each(|calls| *calls += CALL_MARGIN_DEVIATIONS * calls.sqrt());
        plan
    }

    fn slice_at(&self, at_ms: f64) -> usize {
        ((at_ms / self.slice_ms) as usize).min(self.work.len() - 1)
    }

    /// Returns the last slice in which a request that arrived in `slice` may finish within `span_ms`; it may have arrived at the slice's end.
    fn last_slice(&self, slice: usize, span_ms: f64) -> usize {
        self.slice_at((slice + 1) as f64 * self.slice_ms + span_ms)
    }

    fn group_requests(&self, requests: &[RecordedRequest]) -> Vec<Group> {
        let mut groups: std::collections::BTreeMap<(usize, usize, i32), Group> = Default::default();
        for asked in requests {
            let slice = self.slice_at(asked.at_ms);
            let bin = (asked.work_ms.max(0.01).ln() / GROUP_FACTOR.ln()).floor() as i32;
            let group = groups.entry((asked.method, slice, bin)).or_insert(Group {
                method: asked.method,
                slice,
                count: 0.0,
                least_ms: f64::MAX,
            });
            group.count += 1.0;
            group.least_ms = group.least_ms.min(asked.work_ms);
        }
        groups.into_values().collect()
    }
}

/// Returns the ways in which a request of a method may be answered: time limit in ms, fraction of its value, and whether it makes its call.
fn answer_options(world: &World, method: usize) -> Vec<(f64, f64, bool)> {
    let of = &world.methods[method];
    let mut options = vec![(of.target_ms, 1.0, of.calls)];
    if of.late > 0.0 {
        options.push((of.deadline_ms, of.late, of.calls));
    }
    if of.calls && of.skip > 0.0 {
        options.push((of.target_ms, of.skip, false));
        if of.late > 0.0 {
            options.push((of.deadline_ms, of.skip * of.late, false));
        }
    }
    options
}

/// Returns the maximum criticality that any schedule could earn, or `None` if the solver fails.
fn upper_bound(world: &World, plan: &Plan, groups: &[Group]) -> Option<f64> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let slices = plan.work.len();
    let mut work: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); slices];
    let mut calls: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); slices];
    for group in groups {
        let worth = world.methods[group.method].criticality;
        let mut all = Vec::new();
        for (until, part, calls_too) in answer_options(world, group.method) {
            for slice in group.slice..=plan.last_slice(group.slice, until) {
                // Guards against a solver that doesn't terminate: a slice without capacity gets no variable bounded by zero.
                if plan.work[slice] < 1e-9 || (calls_too && plan.calls[slice] < 1e-9) {
                    continue;
                }
                let variable = problem.add_var(worth * part, (0.0, group.count));
                all.push((variable, 1.0));
                work[slice].push((variable, group.least_ms));
                if calls_too {
                    calls[slice].push((variable, 1.0));
                }
            }
        }
        problem.add_constraint(&all, ComparisonOp::Le, group.count);
    }
    for slice in 0..slices {
        problem.add_constraint(&work[slice], ComparisonOp::Le, plan.work[slice]);
        if world.dependency.is_some() {
            problem.add_constraint(&calls[slice], ComparisonOp::Le, plan.calls[slice]);
        }
    }
    match problem.solve() {
        Ok(solution) => Some(solution.objective()),
        Err(why) => {
            eprintln!("bound: linear program not solved: {why}");
            None
        }
    }
}

/// Returns the criticality earned by a greedy planner that knows all requests in advance: it takes those with the highest value per
/// work first and serves each whole, in the first slice with enough capacity.
fn greedy_value(world: &World, plan: &Plan, requests: &[RecordedRequest]) -> f64 {
    let (mut work, mut calls) = (plan.work.clone(), plan.calls.clone());
    let mut order: Vec<&RecordedRequest> = requests.iter().collect();
    let dense =
        |asked: &RecordedRequest| world.methods[asked.method].criticality / asked.work_ms.max(0.01);
    order.sort_by(|one, other| {
        dense(other)
            .total_cmp(&dense(one))
            .then(one.at_ms.total_cmp(&other.at_ms))
    });
    let mut kept = 0.0;
    for asked in order {
        let slice = plan.slice_at(asked.at_ms);
        'served: for (until, part, calls_too) in answer_options(world, asked.method) {
            for at in slice..=plan.last_slice(slice, until) {
                let calls_left = !calls_too || calls[at] >= 1.0;
                if work[at] >= asked.work_ms && calls_left {
                    work[at] -= asked.work_ms;
                    calls[at] -= if calls_too { 1.0 } else { 0.0 };
                    kept += world.methods[asked.method].criticality * part;
                    break 'served;
                }
            }
        }
    }
    kept
}

/// Compares a run with the greedy plan and the upper bound. Returns `None` if the record has no requests or the solver fails.
pub fn compare_with_bound(world: &World, record: &Record, kept: f64) -> Option<BoundComparison> {
    let requests = record.requests.as_ref()?;
    let asked: f64 = requests
        .iter()
        .map(|asked| world.methods[asked.method].criticality)
        .sum();
    if asked <= 0.0 {
        return Some(BoundComparison {
            kept: 1.0,
            greedy: 1.0,
            bound: 1.0,
        });
    }
    let plan = Plan::new(world, record);
    let bound = upper_bound(world, &plan, &plan.group_requests(requests))?;
    Some(BoundComparison {
        kept,
        greedy: greedy_value(world, &plan, requests) / asked,
        bound: (bound / asked).min(1.0),
    })
}

#[cfg(test)]
mod tests;
