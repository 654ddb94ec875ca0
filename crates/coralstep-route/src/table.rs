//! A route table that is a trie of path segments.
use std::collections::BTreeMap;

use crate::InsertError;
use crate::pattern::{
    MAX_PATH_BYTES, MAX_ROUTES, MAX_SEGMENTS, Pattern, Segment, WILDCARD, is_request_method,
    split_path,
};

/// Maximum number of segments of a path; larger than [`MAX_SEGMENTS`] because a wildcard may match several.
const MAX_PATH_SEGMENTS: usize = 4 * MAX_SEGMENTS;

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch<T> {
    /// Target of the most specific route.
    Found(T),
    /// Some routes match the path, but none of them the request method.
    MethodNotAllowed,
    /// No route matches the path.
    NotFound,
}

/// Maps a request method and a path to a target.
///
/// The cost of a lookup depends on the length of the path, not on the number of routes. It visits each node of the trie at most
/// once.
#[derive(Clone, Debug)]
pub struct RouteTable<T> {
    root: Node<T>,
    len: usize,
}

/// Request methods and their targets for one pattern.
type MethodTargets<T> = Vec<(Box<str>, T)>;

#[derive(Clone, Debug)]
struct Node<T> {
    literals: BTreeMap<Box<str>, Node<T>>,
    parameter: Option<Box<Node<T>>>,
    /// Routes whose pattern ends here.
    exact: MethodTargets<T>,
    /// Routes whose pattern continues with a wildcard only.
    wildcard: MethodTargets<T>,
}

impl<T> Default for Node<T> {
    fn default() -> Node<T> {
        Node {
            literals: BTreeMap::new(),
            parameter: None,
            exact: Vec::new(),
            wildcard: Vec::new(),
        }
    }
}

impl<T> Default for RouteTable<T> {
    fn default() -> RouteTable<T> {
        RouteTable {
            root: Node::default(),
            len: 0,
        }
    }
}

impl<T> RouteTable<T> {
    /// Adds a route. The method `*` matches every method for which the pattern has no other route.
    ///
    /// # Errors
    /// Fails if the method or pattern is invalid, the route is a duplicate, or the table is full. The table is then unchanged.
    pub fn insert(&mut self, method: &str, pattern: &str, target: T) -> Result<(), InsertError> {
        if !is_request_method(method) {
            return Err(InsertError::Method);
        }
        let pattern = Pattern::parse(pattern)?;
        if self.len >= MAX_ROUTES {
            return Err(InsertError::TooManyRoutes);
        }
        let mut node = &mut self.root;
        for segment in pattern.segments {
            node = match segment {
                Segment::Parameter => node.parameter.get_or_insert_default(),
                Segment::Literal(text) => node.literals.entry(text.into()).or_default(),
            };
        }
        let targets = if pattern.matches_rest {
            &mut node.wildcard
        } else {
            &mut node.exact
        };
        if targets.iter().any(|(known, _)| **known == *method) {
            return Err(InsertError::Duplicate);
        }
        targets.push((method.into(), target));
        self.len += 1;
        Ok(())
    }

    /// Looks up the route of `method` and `path`, ignoring a query or fragment after the path.
    pub fn find(&self, method: &str, path: &str) -> RouteMatch<&T> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if path.len() > MAX_PATH_BYTES {
            return RouteMatch::NotFound;
        }
        let Some(segments) = split_path(path) else {
            return RouteMatch::NotFound;
        };
        if segments.len() > MAX_PATH_SEGMENTS {
            return RouteMatch::NotFound;
        }
        let mut path_is_known = false;
        match self.root.find(method, &segments, &mut path_is_known) {
            Some(target) => RouteMatch::Found(target),
            None if path_is_known => RouteMatch::MethodNotAllowed,
            None => RouteMatch::NotFound,
        }
    }

    /// Returns the target of each route.
    pub fn targets(&self) -> impl Iterator<Item = &T> {
        let mut pending = vec![&self.root];
        std::iter::from_fn(move || {
            let node = pending.pop()?;
            pending.extend(node.literals.values());
            pending.extend(node.parameter.as_deref());
            let here = node.exact.iter().chain(&node.wildcard);
            Some(here.map(|(_, target)| target))
        })
        .flatten()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl<T> Node<T> {
    /// Returns the target of the most specific route below this node. At each segment a literal precedes a parameter, which
    /// precedes a wildcard.
    fn find(&self, method: &str, segments: &[&str], path_is_known: &mut bool) -> Option<&T> {
        let Some((first, rest)) = segments.split_first() else {
            return select(&self.exact, method, path_is_known)
                .or_else(|| select(&self.wildcard, method, path_is_known));
        };
        let literal = self.literals.get(*first);
        let parameter = self.parameter.as_deref().filter(|_| !first.is_empty());
        literal
            .and_then(|node| node.find(method, rest, path_is_known))
            .or_else(|| parameter?.find(method, rest, path_is_known))
            .or_else(|| select(&self.wildcard, method, path_is_known))
    }
}

/// Returns the target of `method`, or else that of the wildcard method.
fn select<'a, T>(
    targets: &'a MethodTargets<T>,
    method: &str,
    path_is_known: &mut bool,
) -> Option<&'a T> {
    *path_is_known |= !targets.is_empty();
    let target_of = |wanted: &str| {
        let route = targets.iter().find(|(known, _)| **known == *wanted);
        route.map(|(_, target)| target)
    };
    target_of(method).or_else(|| target_of(WILDCARD))
}

#[cfg(test)]
mod tests;
