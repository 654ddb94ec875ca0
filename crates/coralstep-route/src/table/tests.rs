use super::{RouteMatch, RouteTable};
use crate::{InsertError, MAX_PATH_BYTES};

#[test]
fn find_prefers_the_most_specific_route_and_backtracks() {
    let mut routes = RouteTable::default();
    for (method, path, target) in [
        ("GET", "/a/b/c", 1),
        ("GET", "/a/{x}/d", 2),
        ("GET", "/a/*", 3),
        ("*", "/a/b/c", 4),
        ("GET", "/", 5),
        ("POST", "/only", 6),
    ] {
        routes.insert(method, path, target).unwrap();
    }
    for (method, path, expected) in [
        ("GET", "/a/b/c", RouteMatch::Found(&1)),
        ("PUT", "/a/b/c", RouteMatch::Found(&4)),
        ("GET", "/a/b/d", RouteMatch::Found(&2)),
        ("GET", "/a/b/e", RouteMatch::Found(&3)),
        ("GET", "/a", RouteMatch::Found(&3)),
        ("GET", "/a//d", RouteMatch::Found(&3)),
        ("PUT", "/a/b/d", RouteMatch::MethodNotAllowed),
        ("GET", "/only", RouteMatch::MethodNotAllowed),
        ("GET", "/only/", RouteMatch::NotFound),
        ("GET", "/?x=/a/b/c", RouteMatch::Found(&5)),
        ("GET", "a/b/c", RouteMatch::NotFound),
        ("GET", "", RouteMatch::NotFound),
    ] {
        assert_eq!(routes.find(method, path), expected, "{method} {path}");
    }
    assert_eq!(routes.len(), 6);
}

#[test]
fn insert_rejects_invalid_methods_and_patterns() {
    let mut routes = RouteTable::default();
    routes.insert("GET", "/a/{x}", 0).unwrap();
    for (method, path) in [
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
        assert!(routes.insert(method, path, 0).is_err(), "{method} {path}");
    }
    assert_eq!(
        routes.insert("GET", "/a/{other}", 0),
        Err(InsertError::Duplicate)
    );
    assert_eq!(routes.len(), 1);
}

#[test]
fn find_does_not_match_paths_longer_than_limit() {
    let mut routes = RouteTable::default();
    routes.insert("GET", "/*", 0).unwrap();
    assert_eq!(
        routes.find("GET", &format!("/{}", "x".repeat(MAX_PATH_BYTES))),
        RouteMatch::NotFound
    );
    assert_eq!(routes.find("GET", &"/x".repeat(100)), RouteMatch::NotFound);
    assert_eq!(routes.find("GET", &"/x".repeat(60)), RouteMatch::Found(&0));
}
