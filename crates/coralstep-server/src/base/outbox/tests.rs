use std::net::TcpListener;

use async_io::block_on;

use super::*;

fn pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Async::new(near).unwrap(), listener.accept().unwrap().0)
}

#[test]
fn what_may_have_left_is_known_and_a_peer_that_reads_nothing_is_given_up() {
    let (near, _deaf) = pair();
    let out = Outbox::default();
    let first = out.put(|bytes| bytes.extend_from_slice(b"first"));
    let flood = out.put(|bytes| bytes.resize(bytes.len() + (64 << 20), 0));
    let last = out.put(|bytes| bytes.push(1));
    assert!(!out.may_have_been_sent(first));
    let end = block_on(out.write_with_timeout(&near, Duration::from_millis(20)));
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert!(
        out.may_have_been_sent(first)
            && out.may_have_been_sent(flood)
            && !out.may_have_been_sent(last)
    );
    assert!(out.unsent_bytes() > 0);
}

#[test]
fn all_is_written_after_the_close() {
    let (near, far) = pair();
    let out = Outbox::default();
    out.put(|bytes| bytes.extend_from_slice(b"all of it"));
    out.close();
    block_on(out.write_to(&near)).unwrap();
    block_on(out.wait_until_at_most(0));
    drop(near);
    assert_eq!(io::read_to_string(far).unwrap(), "all of it");
}
