//! What this process itself may use: connections, requests, memory.

/// Descriptors that are not gateways': standard ones, reactor, listener, signals, control plane, two links to the engine.
pub(super) const OWN_DESCRIPTORS: usize = 16;
/// Part of the other descriptors that is at least left to calls, each of which has a connection of its own.
const MIN_CALLS_DIVISOR: usize = 4;
/// Part of the other descriptors that is at most left to calls.
const MAX_CALLS_DIVISOR: usize = 2;
/// Part of the callers' connections that may be there beyond their bound, while others close.
const SPARE_CONNECTIONS_DIVISOR: usize = 32;
/// Bytes that any connection takes: what is read of it and about it, mostly less than a frame.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Bytes that one request may take: its body, that of its call, the command that carries it, its task.
const REQUEST_BYTES: usize = 16 * 1024;
/// Bytes that one known request id takes.
const REQUEST_ID_BYTES: usize = 100;
const MIN_CONNECTIONS: usize = 2;
const MIN_REQUESTS: usize = 256;
const MIN_REQUEST_IDS: usize = 1024;
const BYTES_PER_MB: usize = 1 << 20;

/// What this process itself may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Callers' connections.
    pub connections: usize,
    /// How many connections more while others close.
    pub spare_connections: usize,
    /// Replies that callers have not read yet, in bytes, of all connections together.
    pub unread_reply_bytes: usize,
    /// Requests known at once: queued, running, or stored for their idempotency key.
    pub requests: usize,
    /// Results stored for repeats, in bytes.
    pub result_bytes: usize,
    /// Ids known, of requests that are here and of those that must not run again.
    pub request_ids: usize,
}

impl Limits {
    /// Divides memory and descriptors; `max_calls` is how many calls the scheduler may have in flight.
    ///
    /// A quarter of the memory is for connections, a quarter for requests, an eighth for unread replies, an eighth for results;
    /// code and allocator have the rest.
    pub(super) fn new(memory_mb: u64, descriptors: usize, max_calls: f64) -> Limits {
        let memory = (memory_mb as usize).saturating_mul(BYTES_PER_MB);
        let available = descriptors.saturating_sub(OWN_DESCRIPTORS);
        let calls = (max_calls as usize)
            .clamp(available / MIN_CALLS_DIVISOR, available / MAX_CALLS_DIVISOR)
            .max(1);
        let connections = (memory / 4 / CONNECTION_BYTES)
            .min(available.saturating_sub(calls))
            .max(MIN_CONNECTIONS);
        let spare = (connections / SPARE_CONNECTIONS_DIVISOR).max(1);
        Limits {
            // Less those that are closing, and those that all came while none could be shed.
            connections: connections.saturating_sub(2 * spare).max(MIN_CONNECTIONS),
            spare_connections: spare,
            unread_reply_bytes: memory / 8,
            requests: (memory / 4 / REQUEST_BYTES).max(MIN_REQUESTS),
            result_bytes: memory / 8,
            request_ids: (memory / 32 / REQUEST_ID_BYTES).max(MIN_REQUEST_IDS),
        }
    }
}
