use super::*;

const UNREAD: Span = Span::ms(60_000);

fn token(text: &str) -> Token {
    (0, text.as_bytes().into())
}

fn mark(content: u64, tenant: Option<usize>) -> Mark {
    Mark { content, tenant }
}

fn at(ms: u64) -> Time {
    Time(0) + Span::ms(ms)
}

#[test]
fn a_token_with_another_body_or_tenant_is_no_repeat() {
    let mut tokens = Tokens::new(8);
    tokens.keep(token("a"), mark(1, Some(2)), RpcId(3), at(100));
    for (content, tenant, found) in [
        (1, Some(2), Found::Of(RpcId(3))),
        (1, None, Found::Of(RpcId(3))),
        (2, Some(2), Found::Barred),
        (1, Some(1), Found::Barred),
    ] {
        assert_eq!(
            tokens.find(&token("a"), mark(content, tenant), at(1)),
            found
        );
    }
    assert_eq!(
        tokens.find(&(1, token("a").1), mark(1, None), at(1)),
        Found::Nothing
    );
}

#[test]
fn what_came_within_the_window_never_runs_again_however_late_it_is_read() {
    let mut tokens = Tokens::new(8);
    for (name, ran) in [("ran", true), ("never", false), ("doubt", true)] {
        tokens.keep(token(name), mark(1, None), RpcId(1), at(100));
        tokens.runs(&token(name), RpcId(1), ran);
        tokens.runs(&token(name), RpcId(2), !ran);
    }
    tokens.runs(&token("doubt"), RpcId(1), false);
    for name in ["ran", "never", "doubt"] {
        tokens.release(at(101), &token(name), RpcId(2), UNREAD);
        assert!(tokens.is_kept(&token(name)), "another's");
        tokens.release(at(101), &token(name), RpcId(1), UNREAD);
        assert!(!tokens.is_kept(&token(name)));
    }
    let find = |tokens: &Tokens, name, ms| tokens.find(&token(name), mark(1, None), at(ms));
    // Just before, at and just after the end of the window.
    assert_eq!(
        [99, 100, 101].map(|ms| find(&tokens, "ran", ms)),
        [Found::Barred, Found::Barred, Found::Nothing]
    );
    assert_eq!(find(&tokens, "never", 50), Found::Nothing);
    assert_eq!(find(&tokens, "doubt", 50), Found::Nothing);
    // After the window it may run once more, and then it is the later window that counts.
    tokens.keep(token("ran"), mark(1, None), RpcId(4), at(300));
    tokens.runs(&token("ran"), RpcId(4), true);
    tokens.release(at(300), &token("ran"), RpcId(4), UNREAD);
    tokens.keep(token("b"), mark(1, None), RpcId(5), at(60_100));
    tokens.runs(&token("b"), RpcId(5), true);
    tokens.release(at(60_101), &token("b"), RpcId(5), UNREAD);
    assert_eq!(
        find(&tokens, "ran", 250),
        Found::Barred,
        "the earlier one was to be forgotten, not this one"
    );
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut tokens = Tokens::new(2);
    for name in ["a", "b", "c"] {
        tokens.keep(token(name), mark(1, None), RpcId(1), at(100));
        tokens.runs(&token(name), RpcId(1), true);
        tokens.release(at(100), &token(name), RpcId(1), UNREAD);
    }
    assert_eq!((tokens.past.len(), tokens.forget.len()), (2, 2));
    assert_eq!(
        tokens.find(&token("c"), mark(1, None), at(50)),
        Found::Barred
    );
}
