use std::net::TcpListener;

use async_io::block_on;

use super::*;

fn socket_pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Async::new(local).unwrap(), listener.accept().unwrap().0)
}

#[test]
fn write_times_out_if_peer_reads_nothing_and_sent_messages_are_known() {
    let (local, _peer) = socket_pair();
    let outbox = Outbox::default();
    let first = outbox.put(|bytes| bytes.extend_from_slice(b"first"));
    let large = outbox.put(|bytes| bytes.resize(bytes.len() + (64 << 20), 0));
    let last = outbox.put(|bytes| bytes.push(1));
    assert!(!outbox.may_have_been_sent(first));
    let result = block_on(outbox.write_with_timeout(&local, Duration::from_millis(20)));
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert!(
        outbox.may_have_been_sent(first)
            && outbox.may_have_been_sent(large)
            && !outbox.may_have_been_sent(last)
    );
    assert!(outbox.unsent_bytes() > 0);
}

#[test]
fn pending_messages_are_written_after_close() {
    let (local, peer) = socket_pair();
    let outbox = Outbox::default();
    outbox.put(|bytes| bytes.extend_from_slice(b"all of it"));
    outbox.close();
    block_on(outbox.write_to(&local)).unwrap();
    block_on(outbox.wait_until_unsent_at_most(0));
    drop(local);
    assert_eq!(io::read_to_string(peer).unwrap(), "all of it");
}
