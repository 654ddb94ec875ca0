//! Errors of the route table.
use thiserror::Error;

use crate::pattern::MAX_ROUTES;

/// Why a route was not inserted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InsertError {
    /// The pattern does not begin with `/`, holds a query, an empty segment, a brace out of place, or `*` before the end, or is
    /// too long.
    #[error("{0}")]
    Pattern(&'static str),
    /// The request method is neither capital letters nor `*`.
    #[error("a verb is capital letters, or * for any")]
    Method,
    /// A route with the same request method and pattern exists.
    #[error("the same verb and path as an earlier route")]
    Duplicate,
    /// The table is full.
    #[error("more than {MAX_ROUTES} routes")]
    TooManyRoutes,
}
