//! The trie against the plainest thing that does the same: a list of patterns, tried one by one in order of exactness.
use coralstep_route::{RouteMatch, RouteTable};
use proptest::prelude::*;

/// How exact a pattern's fit is, segment by segment: 0 for a word, 1 for any, 2 for the rest; `None` where it doesn't fit.
fn fit(pattern: &[String], path: &[String]) -> Option<Vec<u8>> {
    let mut fit = Vec::new();
    for (at, part) in pattern.iter().enumerate() {
        match part.as_str() {
            "*" => {
                fit.push(2);
                return Some(fit);
            }
            "{x}" if path.get(at).is_some_and(|segment| !segment.is_empty()) => fit.push(1),
            word if path.get(at).is_some_and(|segment| segment == word) => fit.push(0),
            _ => return None,
        }
    }
    (pattern.len() == path.len()).then_some(fit)
}

fn text(segments: &[String]) -> String {
    format!("/{}", segments.join("/"))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn the_trie_finds_the_same_as_a_list(
        patterns in prop::collection::vec((prop::collection::vec("[ab]|\\{x\\}", 0..4), any::<bool>()), 1..12),
        path in prop::collection::vec("[abc]", 0..5),
    ) {
        let mut routes = RouteTable::default();
        let mut list = Vec::new();
        for (at, (mut pattern, rest)) in patterns.into_iter().enumerate() {
            pattern.extend(rest.then(|| "*".to_owned()));
            if routes.insert("GET", &text(&pattern), at).is_ok() {
                list.push((pattern, at));
            }
        }
        let best = list.iter().filter_map(|(pattern, at)| Some((fit(pattern, &path)?, at))).min();
        let expected = best.map_or(RouteMatch::NotFound, |(_, at)| RouteMatch::Found(at));
        prop_assert_eq!(routes.find("GET", &text(&path)), expected);
    }
}
