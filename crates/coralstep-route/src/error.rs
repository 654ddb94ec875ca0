//! Errors of the route table.
use thiserror::Error;

use crate::pattern::MAX_ROUTES;

/// An error that prevents a route from being inserted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InsertError {
    /// The pattern is invalid: it does not begin with `/`, is too long, or contains a query, an empty segment, a misplaced brace
    /// or a `*` before the end.
    #[error("{0}")]
    Pattern(&'static str),
    /// The request method is neither in capital letters nor `*`.
    #[error("a verb is capital letters, or * for any")]
    Method,
    /// A route with the same request method and pattern exists.
    #[error("the same verb and path as an earlier route")]
    Duplicate,
    /// The table is full.
    #[error("more than {MAX_ROUTES} routes")]
    TooManyRoutes,
}
