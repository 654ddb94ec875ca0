//! Why the settings of limits are refused.
use super::resolve::{MAX_LIMITS, MAX_NAME_BYTES};

/// A fault in the settings of limits; the message begins with the path of the setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LimitConfigError {
    /// More limits than are supported.
    #[error("limits: {count} are more than {MAX_LIMITS}")]
    TooManyLimits {
        /// Limits that were stated.
        count: usize,
    },
    /// A name that is empty or too long.
    #[error("limits[{index}].name: {name:?} is not of 1 to {MAX_NAME_BYTES} letters")]
    NameLength {
        /// Position of the limit in the settings.
        index: usize,
        /// The name as stated.
        name: String,
    },
    /// Two limits of one name.
    #[error("limits[{index}].name: {name:?} is limits[{first}], too")]
    DuplicateName {
        /// Position of the limit in the settings.
        index: usize,
        /// Position of the one that has the name before it.
        first: usize,
        /// The name of both.
        name: String,
    },
    /// A tenant, method or dependency that does not exist.
    #[error("limits[{index}].{setting}: {name:?} is unknown")]
    UnknownName {
        /// Position of the limit in the settings.
        index: usize,
        /// The setting that names it.
        setting: &'static str,
        /// The name as stated.
        name: String,
    },
    /// A limit that applies to nothing in particular.
    #[error("limits[{index}].name: names no tenant, method or dependency")]
    NoScope {
        /// Position of the limit in the settings.
        index: usize,
    },
    /// A method and a dependency, where the method never calls.
    #[error("limits[{index}].dependency: unreachable, {method:?} never calls")]
    NeverCalls {
        /// Position of the limit in the settings.
        index: usize,
        /// Name of the method.
        method: String,
    },
    /// Both or neither of `rps` and `in_hand`.
    #[error("limits[{index}].rps: one of rps and in_hand, not both")]
    NotOneKind {
        /// Position of the limit in the settings.
        index: usize,
    },
    /// A burst of a limit that has no rate.
    #[error("limits[{index}].burst: goes with rps")]
    BurstWithoutRate {
        /// Position of the limit in the settings.
        index: usize,
    },
    /// A burst that keeps the rate from being reached.
    #[error(
        "limits[{index}].burst: {burst} lets no more than {reachable_rps} a second through, so {rps} are unreachable"
    )]
    BurstTooSmall {
        /// Position of the limit in the settings.
        index: usize,
        /// Burst in RPCs.
        burst: u32,
        /// RPCs a second that the burst lets through.
        reachable_rps: f64,
        /// RPCs a second as stated.
        rps: f64,
    },
    /// A figure out of its range.
    #[error("limits[{index}].{setting}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Position of the limit in the settings.
        index: usize,
        /// The setting, by its path within the limit.
        setting: &'static str,
        /// The figure as stated, in the setting's unit.
        value: f64,
        /// Least figure that is accepted.
        min: f64,
        /// Greatest figure that is accepted.
        max: f64,
    },
    /// A limit that is greater than one that covers all of its RPCs.
    #[error(
        "limits[{index}]: {figure} is unreachable under limits[{covering}], which lets {covering_figure} through"
    )]
    Unreachable {
        /// Position of the limit in the settings.
        index: usize,
        /// Its figure: RPCs a second, or in flight.
        figure: f64,
        /// Position of the one that covers it.
        covering: usize,
        /// The figure of that one.
        covering_figure: f64,
    },
    /// A limit that is less than the limits that it covers together.
    #[error("limits[{index}]: {figure} is under the sum of its parts, {sum}")]
    UnderSumOfParts {
        /// Position of the limit in the settings.
        index: usize,
        /// Its figure: RPCs a second, or in flight.
        figure: f64,
        /// Sum of the figures of its parts.
        sum: f64,
    },
}
