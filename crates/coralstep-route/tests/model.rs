//! Compares the trie with a simple model: a list of patterns that is searched for the most specific match.
use coralstep_route::{RouteMatch, RouteTable};
use proptest::prelude::*;

/// Returns the rank of a match by segment: 0 for a literal, 1 for a parameter, 2 for a wildcard. `None` if the pattern does not
/// match.
fn match_rank(pattern: &[String], path: &[String]) -> Option<Vec<u8>> {
    let mut rank = Vec::new();
    for (index, part) in pattern.iter().enumerate() {
        match part.as_str() {
            "*" => {
                rank.push(2);
                return Some(rank);
            }
            "{x}" if path.get(index).is_some_and(|segment| !segment.is_empty()) => rank.push(1),
            literal if path.get(index).is_some_and(|segment| segment == literal) => rank.push(0),
            _ => return None,
        }
    }
    (pattern.len() == path.len()).then_some(rank)
}

fn join(segments: &[String]) -> String {
    format!("/{}", segments.join("/"))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn trie_finds_the_same_route_as_the_model(
        patterns in prop::collection::vec((prop::collection::vec("[ab]|\\{x\\}", 0..4), any::<bool>()), 1..12),
        path in prop::collection::vec("[abc]", 0..5),
    ) {
        let mut routes = RouteTable::default();
        let mut list = Vec::new();
        for (target, (mut pattern, has_wildcard)) in patterns.into_iter().enumerate() {
            pattern.extend(has_wildcard.then(|| "*".to_owned()));
            if routes.insert("GET", &join(&pattern), target).is_ok() {
                list.push((pattern, target));
            }
        }
        let best = list.iter().filter_map(|(pattern, target)| Some((match_rank(pattern, &path)?, target))).min();
        let expected = best.map_or(RouteMatch::NotFound, |(_, target)| RouteMatch::Found(target));
        prop_assert_eq!(routes.find("GET", &join(&path)), expected);
    }
}
