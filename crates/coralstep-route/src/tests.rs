use super::*;

#[test]
fn the_more_exact_route_wins_and_the_other_is_a_way_back() {
    let mut routes = Routes::default();
    for (verb, path, target) in [
        ("GET", "/a/b/c", 1),
        ("GET", "/a/{x}/d", 2),
        ("GET", "/a/*", 3),
        ("*", "/a/b/c", 4),
        ("GET", "/", 5),
        ("POST", "/only", 6),
    ] {
        routes.insert(verb, path, target).unwrap();
    }
    for (verb, path, found) in [
        ("GET", "/a/b/c", Found::Route(&1)),
        ("PUT", "/a/b/c", Found::Route(&4)),
        ("GET", "/a/b/d", Found::Route(&2)),
        ("GET", "/a/b/e", Found::Route(&3)),
        ("GET", "/a", Found::Route(&3)),
        ("GET", "/a//d", Found::Route(&3)),
        ("PUT", "/a/b/d", Found::WrongVerb),
        ("GET", "/only", Found::WrongVerb),
        ("GET", "/only/", Found::Nothing),
        ("GET", "/?x=/a/b/c", Found::Route(&5)),
        ("GET", "a/b/c", Found::Nothing),
        ("GET", "", Found::Nothing),
    ] {
        assert_eq!(routes.find(verb, path), found, "{verb} {path}");
    }
    assert_eq!(routes.len(), 6);
}

#[test]
fn patterns_that_mean_nothing_are_refused() {
    let mut routes = Routes::default();
    routes.insert("GET", "/a/{x}", 0).unwrap();
    for (verb, path) in [
        ("get", "/a"),
        ("", "/a"),
        ("GET", "a"),
        ("GET", "/a//b"),
        ("GET", "/*/b"),
        ("GET", "/a{x}"),
        ("GET", "/{}"),
        ("GET", "/a?b"),
        ("GET", "/a/b/"),
        ("GET", &"/a".repeat(17)),
    ] {
        assert!(routes.insert(verb, path, 0).is_err(), "{verb} {path}");
    }
    assert_eq!(routes.insert("GET", "/a/{other}", 0), Err(Refused::Twice));
    assert_eq!(routes.len(), 1);
}

#[test]
fn long_paths_lead_nowhere() {
    let mut routes = Routes::default();
    routes.insert("GET", "/*", 0).unwrap();
    assert_eq!(
        routes.find("GET", &format!("/{}", "x".repeat(PATH_MOST))),
        Found::Nothing
    );
    assert_eq!(routes.find("GET", &"/x".repeat(100)), Found::Nothing);
    assert_eq!(routes.find("GET", &"/x".repeat(60)), Found::Route(&0));
}
