//! Errors in the settings of limits.
use super::resolve::{MAX_LIMITS, MAX_NAME_BYTES};

/// An error in the settings of limits; the message begins with the path of the setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LimitConfigError {
    /// There are more limits than are supported.
    #[error("limits: {count} are more than {MAX_LIMITS}")]
    TooManyLimits {
        /// Number of limits in the settings.
        count: usize,
    },
    /// A limit's name is empty or too long.
    #[error("limits[{index}].name: {name:?} is not of 1 to {MAX_NAME_BYTES} letters")]
    NameLength {
        /// Index of the limit in the settings.
        index: usize,
        /// Name in the settings.
        name: String,
    },
    /// Two limits have the same name.
    #[error("limits[{index}].name: {name:?} is limits[{first}], too")]
    DuplicateName {
        /// Index of the limit in the settings.
        index: usize,
        /// Index of the first limit with this name.
        first: usize,
        /// Name of both limits.
        name: String,
    },
    /// The tenant, method or dependency does not exist.
    #[error("limits[{index}].{setting}: {name:?} is unknown")]
    UnknownName {
        /// Index of the limit in the settings.
        index: usize,
        /// Setting that has the name.
        setting: &'static str,
        /// Name in the settings.
        name: String,
    },
    /// The limit has no tenant, method or dependency.
    #[error("limits[{index}].name: names no tenant, method or dependency")]
    NoScope {
        /// Index of the limit in the settings.
        index: usize,
    },
    /// The limit has a dependency and a method that never calls it.
    #[error("limits[{index}].dependency: unreachable, {method:?} never calls")]
    NeverCalls {
        /// Index of the limit in the settings.
        index: usize,
        /// Name of the method.
        method: String,
    },
    /// Both or neither of `rps` and `in_hand` are set.
    #[error("limits[{index}].rps: one of rps and in_hand, not both")]
    NotOneKind {
        /// Index of the limit in the settings.
        index: usize,
    },
    /// `burst` is set without `rps`.
    #[error("limits[{index}].burst: goes with rps")]
    BurstWithoutRate {
        /// Index of the limit in the settings.
        index: usize,
    },
    /// The burst is too small for the rate to be reached.
    #[error(
        "limits[{index}].burst: {burst} lets no more than {reachable_rps} a second through, so {rps} are unreachable"
    )]
    BurstTooSmall {
        /// Index of the limit in the settings.
        index: usize,
        /// Burst in RPCs.
        burst: u32,
        /// Rate that the burst allows, in RPCs per second.
        reachable_rps: f64,
        /// Configured RPCs per second.
        rps: f64,
    },
    /// A value is out of range.
    #[error("limits[{index}].{setting}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Index of the limit in the settings.
        index: usize,
        /// Path of the setting within the limit.
        setting: &'static str,
        /// Configured value, in the setting's unit.
        value: f64,
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// The limit is greater than one that covers all of its RPCs.
    #[error(
        "limits[{index}]: {value} is unreachable under limits[{covering}], which lets {covering_value} through"
    )]
    Unreachable {
        /// Index of the limit in the settings.
        index: usize,
        /// Its value in RPCs per second or in flight.
        value: f64,
        /// Index of the limit that covers it.
        covering: usize,
        /// Value of the covering limit.
        covering_value: f64,
    },
    /// The limit is less than the sum of the limits that it covers.
    #[error("limits[{index}]: {value} is under the sum of its parts, {sum}")]
    UnderSumOfParts {
        /// Index of the limit in the settings.
        index: usize,
        /// Its value in RPCs per second or in flight.
        value: f64,
        /// Sum of the values of its parts.
        sum: f64,
    },
}
