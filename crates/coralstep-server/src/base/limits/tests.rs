use super::*;

/// Least memory in MB at which the minimum of each limit leaves the others their part.
const MIN_MEMORY_MB: u64 = 16;

/// Guards against budgets that hold one by one and together exceed the memory.
#[test]
fn budgets_together_stay_within_memory() {
    for memory_mb in (MIN_MEMORY_MB..=64).chain([96, 192, 1_024, 65_536]) {
        for descriptors in [64, 384, 512, 1_024, 65_536] {
            let limits = Limits::new(memory_mb, descriptors, 16.0);
            let connections = limits.connections + 2 * limits.spare_connections;
            let total = connections * CONNECTION_BYTES
                + limits.receive_bytes
                + limits.unread_reply_bytes
                + limits.request_bytes
                + limits.result_bytes
                + limits.request_ids * REQUEST_ID_BYTES;
            let memory = memory_mb as usize * BYTES_PER_MB;
            assert!(
                total <= memory,
                "{memory_mb} MB, {descriptors} descriptors: {total}"
            );
        }
    }
}

/// Guards against a lower limit on requests of ordinary size for the sake of large ones.
#[test]
fn small_requests_are_limited_by_their_number_alone() {
    let limits = Limits::new(32, 512, 16.0);
    assert!(limits.request_bytes / request_memory(SMALL_BODY_BYTES) > limits.requests);
    assert!(request_memory(64 * 1024) > BODY_COPIES * 64 * 1024);
}
