//! A table of routes: a verb and a path lead to a target. Paths are tries of segments, so a look costs the length of the
//! path and not the number of routes; it visits each node of the trie once at the most, whatever the path says.
//!
//! A pattern is `/` and segments: a word stands for itself, `{name}` for any one segment, a last `*` for all that follows,
//! also nothing. The more exact one wins, from the left. The verb `*` stands for those that no other route of that path names.
//!
//! ```
//! use coralstep_route::{Found, Routes};
//!
//! let mut routes = Routes::default();
//! routes.insert("GET", "/ride/{id}", "read").unwrap();
//! routes.insert("POST", "/ride/{id}", "save").unwrap();
//! routes.insert("*", "/tiles/*", "tile").unwrap();
//! assert_eq!(routes.find("POST", "/ride/7?full=1"), Found::Route(&"save"));
//! assert_eq!(routes.find("DELETE", "/ride/7"), Found::WrongVerb);
//! assert_eq!(routes.find("GET", "/ride"), Found::Nothing);
//! assert_eq!(routes.find("GET", "/tiles/8/1/2.png"), Found::Route(&"tile"));
//! ```
use std::collections::BTreeMap;
use std::fmt;

/// Segments of a pattern, and bytes of a path, at the most. Longer paths lead nowhere.
pub const SEGMENTS_MOST: usize = 16;
pub const PATH_MOST: usize = 2 * 1024;
/// Routes of one table at the most.
pub const ROUTES_MOST: usize = 4 * 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found<T> {
    Route(T),
    /// The path is known, but not with this verb.
    WrongVerb,
    Nothing,
}

/// Why a route was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The pattern does not begin with `/`, or holds a query, an empty segment, a brace out of place, or `*` before the end.
    Pattern(&'static str),
    Verb,
    /// The same verb and path were there before.
    Twice,
    TooMany,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Pattern(why) => f.write_str(why),
            Refused::Verb => f.write_str("a verb is capital letters, or * for any"),
            Refused::Twice => f.write_str("the same verb and path as an earlier route"),
            Refused::TooMany => write!(f, "more than {ROUTES_MOST} routes"),
        }
    }
}

/// What the verbs of one path lead to.
type Verbs<T> = Vec<(Box<str>, T)>;

#[derive(Clone, Debug)]
struct Node<T> {
    words: BTreeMap<Box<str>, Node<T>>,
    any: Option<Box<Node<T>>>,
    here: Verbs<T>,
    rest: Verbs<T>,
}

impl<T> Default for Node<T> {
    fn default() -> Node<T> {
        Node {
            words: BTreeMap::new(),
            any: None,
            here: Vec::new(),
            rest: Vec::new(),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Routes<T> {
    root: Node<T>,
    count: usize,
}

impl<T> Default for Routes<T> {
    fn default() -> Routes<T> {
        Routes {
            root: Node::default(),
            count: 0,
        }
    }
}

/// The segments of a path, which begins with `/`; `/` has none.
fn segments(path: &str) -> Option<Vec<&str>> {
    let path = path.strip_prefix('/')?;
    Some(if path.is_empty() {
        Vec::new()
    } else {
        path.split('/').collect()
    })
}

fn named(segment: &str) -> bool {
    segment.len() > 2 && segment.starts_with('{') && segment.ends_with('}')
}

impl<T> Routes<T> {
    pub fn insert(&mut self, verb: &str, pattern: &str, target: T) -> Result<(), Refused> {
        if verb != "*"
            && (verb.is_empty()
                || !verb
                    .bytes()
                    .all(|byte| byte.is_ascii_uppercase() || byte == b'-'))
        {
            return Err(Refused::Verb);
        }
        let mut segments = segments(pattern).ok_or(Refused::Pattern("a path begins with /"))?;
        if pattern.contains(['?', '#']) {
            return Err(Refused::Pattern("a path holds no query"));
        }
        if segments.len() > SEGMENTS_MOST || pattern.len() > PATH_MOST {
            return Err(Refused::Pattern("a path of more than 16 segments or 2 KiB"));
        }
        if self.count >= ROUTES_MOST {
            return Err(Refused::TooMany);
        }
        let rest = segments.pop_if(|last| *last == "*").is_some();
        for segment in &segments {
            match *segment {
                "" => return Err(Refused::Pattern("a path with an empty segment")),
                "*" => return Err(Refused::Pattern("* stands at the end only")),
                segment if segment.contains(['{', '}', '*']) && !named(segment) => {
                    return Err(Refused::Pattern("a segment is a word or one {name}"));
                }
                _ => {}
            }
        }
        let mut node = &mut self.root;
        for segment in segments {
            node = match named(segment) {
                true => node.any.get_or_insert_default(),
                false => node.words.entry(segment.into()).or_default(),
            };
        }
        let verbs = if rest { &mut node.rest } else { &mut node.here };
        if verbs.iter().any(|(known, _)| **known == *verb) {
            return Err(Refused::Twice);
        }
        verbs.push((verb.into(), target));
        self.count += 1;
        Ok(())
    }

    /// What `verb` and `path` lead to; a query behind the path is passed over.
    pub fn find(&self, verb: &str, path: &str) -> Found<&T> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if path.len() > PATH_MOST {
            return Found::Nothing;
        }
        let Some(segments) = segments(path) else {
            return Found::Nothing;
        };
        if segments.len() > SEGMENTS_MOST * 4 {
            return Found::Nothing;
        }
        let mut known = false;
        match walk(&self.root, verb, &segments, &mut known) {
            Some(target) => Found::Route(target),
            None if known => Found::WrongVerb,
            None => Found::Nothing,
        }
    }

    /// All targets, a target as often as routes lead to it.
    pub fn all(&self) -> impl Iterator<Item = &T> {
        let mut rest = vec![&self.root];
        std::iter::from_fn(move || {
            let node = rest.pop()?;
            rest.extend(node.words.values());
            rest.extend(node.any.as_deref());
            Some(node.here.iter().chain(&node.rest).map(|(_, target)| target))
        })
        .flatten()
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// `known` tells that some route has this path.
fn walk<'a, T>(
    node: &'a Node<T>,
    verb: &str,
    segments: &[&str],
    known: &mut bool,
) -> Option<&'a T> {
    let of = |verbs: &'a Verbs<T>, known: &mut bool| {
        *known |= !verbs.is_empty();
        let exact = verbs.iter().find(|(name, _)| **name == *verb);
        exact
            .or_else(|| verbs.iter().find(|(name, _)| **name == *"*"))
            .map(|(_, target)| target)
    };
    let found = match segments.split_first() {
        None => of(&node.here, known),
        Some((first, rest)) => {
            let word = node
                .words
                .get(*first)
                .and_then(|next| walk(next, verb, rest, known));
            let any = || node.any.as_ref().filter(|_| !first.is_empty());
            match word {
                Some(target) => Some(target),
                None => any().and_then(|next| walk(next, verb, rest, known)),
            }
        }
    };
    match found {
        Some(target) => Some(target),
        None => of(&node.rest, known),
    }
}

#[cfg(test)]
mod tests;
