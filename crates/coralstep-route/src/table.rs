//! The route table: a trie of path segments.
use std::collections::BTreeMap;

use crate::InsertError;
use crate::pattern::{
    MAX_PATH_BYTES, MAX_ROUTES, MAX_SEGMENTS, Pattern, Segment, WILDCARD, is_request_method,
    split_path,
};

/// Segments of a looked-up path at most, as a multiple of those of a pattern: a wildcard may stand for many.
const MAX_PATH_SEGMENTS: usize = 4 * MAX_SEGMENTS;

/// The result of a look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch<T> {
    /// The target of the most specific route.
    Found(T),
    /// Routes have this path, but none has this request method.
    MethodNotAllowed,
    /// No route has this path.
    NotFound,
}

/// Routes from a request method and a path to a target.
///
/// A look-up costs the length of the path, not the number of routes, and visits each node of the trie at most once.
#[derive(Clone, Debug)]
pub struct RouteTable<T> {
    root: Node<T>,
    len: usize,
}

/// A request method and its target, for one pattern.
type MethodTargets<T> = Vec<(Box<str>, T)>;

#[derive(Clone, Debug)]
struct Node<T> {
    literals: BTreeMap<Box<str>, Node<T>>,
    parameter: Option<Box<Node<T>>>,
    /// Routes whose pattern ends here.
    exact: MethodTargets<T>,
    /// Routes whose pattern goes on with a wildcard.
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
    /// Adds a route from `method` (`*`: any that no other route of this pattern names) and `pattern` to `target`.
    ///
    /// # Errors
    /// A method or pattern that is not valid, a duplicate, or a full table; the table is unchanged then.
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

    /// The route of `method` and `path`; a query behind the path is ignored.
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

    /// All targets, each as often as routes lead to it.
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
    /// The most specific route below this node: a literal before a parameter before a wildcard, from the left.
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

/// The target of `method`, else that of the wildcard method.
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
