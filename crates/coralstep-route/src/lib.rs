//! A route table that maps a request method and a path to a target.
//!
//! A pattern is a `/` followed by segments: a literal matches itself, `{name}` matches any one segment, and a final `*` matches
//! the rest of the path, which may be empty. The most specific route wins, compared from the left. The method `*` matches every
//! method for which the pattern has no other route.
//!
//! ```
//! use coralstep_route::{RouteMatch, RouteTable};
//!
//! let mut routes = RouteTable::default();
//! routes.insert("GET", "/ride/{id}", "read").unwrap();
//! routes.insert("POST", "/ride/{id}", "save").unwrap();
//! routes.insert("*", "/tiles/*", "tile").unwrap();
//! assert_eq!(routes.find("POST", "/ride/7?full=1"), RouteMatch::Found(&"save"));
//! assert_eq!(routes.find("DELETE", "/ride/7"), RouteMatch::MethodNotAllowed);
//! assert_eq!(routes.find("GET", "/ride"), RouteMatch::NotFound);
//! assert_eq!(routes.find("GET", "/tiles/8/1/2.png"), RouteMatch::Found(&"tile"));
//! ```
mod error;
mod pattern;
mod table;

pub use error::InsertError;
pub use pattern::{MAX_PATH_BYTES, MAX_ROUTES, MAX_SEGMENTS};
pub use table::{RouteMatch, RouteTable};
