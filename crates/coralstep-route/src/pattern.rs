//! Parsing and validation of route patterns.
use crate::InsertError;

/// Maximum number of segments of a pattern.
pub const MAX_SEGMENTS: usize = 16;
/// Maximum length of a pattern or a path in bytes. A longer path is not found.
pub const MAX_PATH_BYTES: usize = 2 * 1024;
/// Maximum number of routes in a table.
pub const MAX_ROUTES: usize = 4 * 1024;
/// Matches any request method or, as the last segment of a pattern, the rest of the path.
pub(crate) const WILDCARD: &str = "*";

/// A parsed pattern.
pub(crate) struct Pattern<'a> {
    /// The segments before the wildcard.
    pub(crate) segments: Vec<Segment<'a>>,
    /// Whether the pattern ends with `*`.
    pub(crate) matches_rest: bool,
}

/// One segment of a pattern.
pub(crate) enum Segment<'a> {
    /// Matches itself.
    Literal(&'a str),
    /// `{name}`; matches any one segment.
    Parameter,
}

impl<'a> Pattern<'a> {
    /// Parses a pattern.
    ///
    /// # Errors
    /// Fails with [`InsertError::Pattern`], which states the rule that `text` violates.
    pub(crate) fn parse(text: &'a str) -> Result<Pattern<'a>, InsertError> {
        let mut segments = split_path(text).ok_or(InsertError::Pattern("a path begins with /"))?;
        if text.contains(['?', '#']) {
            return Err(InsertError::Pattern("a path holds no query"));
        }
        if segments.len() > MAX_SEGMENTS || text.len() > MAX_PATH_BYTES {
            return Err(InsertError::Pattern(
                "a path of more than 16 segments or 2 KiB",
            ));
        }
        let matches_rest = segments.pop_if(|last| *last == WILDCARD).is_some();
        let segments = segments
            .into_iter()
            .map(Segment::parse)
            .collect::<Result<_, _>>()?;
        Ok(Pattern {
            segments,
            matches_rest,
        })
    }
}

impl<'a> Segment<'a> {
    fn parse(text: &'a str) -> Result<Segment<'a>, InsertError> {
        match text {
            "" => Err(InsertError::Pattern("a path with an empty segment")),
            WILDCARD => Err(InsertError::Pattern("* stands at the end only")),
            text if is_parameter(text) => Ok(Segment::Parameter),
            text if text.contains(['{', '}', '*']) => {
                Err(InsertError::Pattern("a segment is a word or one {name}"))
            }
            text => Ok(Segment::Literal(text)),
        }
    }
}

/// Whether `method` is valid for a route: capital letters and hyphens, or `*`.
pub(crate) fn is_request_method(method: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_uppercase() || byte == b'-';
    method == WILDCARD || (!method.is_empty() && method.bytes().all(is_valid))
}

/// Splits a path into segments; `/` has none. `None` if the path does not begin with `/`.
pub(crate) fn split_path(path: &str) -> Option<Vec<&str>> {
    let path = path.strip_prefix('/')?;
    Some(if path.is_empty() {
        Vec::new()
    } else {
        path.split('/').collect()
    })
}

fn is_parameter(segment: &str) -> bool {
    segment.len() > 2 && segment.starts_with('{') && segment.ends_with('}')
}
