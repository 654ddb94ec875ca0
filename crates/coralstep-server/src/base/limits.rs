//! Resource limits of this process: connections, requests and memory.

/// Number of descriptors not used for gateways or calls: standard streams, reactor, listener, signals, control plane and two
/// engine connections.
pub(super) const OWN_DESCRIPTORS: usize = 16;
/// At least 1/4 of the other descriptors is left to calls, each of which uses one connection.
const MIN_CALLS_DIVISOR: usize = 4;
/// At most 1/2 of the other descriptors is left to calls.
const MAX_CALLS_DIVISOR: usize = 2;
/// Up to 1/32 of the callers' connections may exceed the limit while others are closing.
const SPARE_CONNECTIONS_DIVISOR: usize = 32;
/// Memory per connection in bytes: its read buffer, which is mostly shorter than a frame, and its state.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Memory per request in bytes: its body up to [`SMALL_BODY_BYTES`], the body of its call, the command sent to the engine, and
/// its task.
const REQUEST_BYTES: usize = 16 * 1024;
/// Bodies up to this size, in bytes, need no more than [`REQUEST_BYTES`].
const SMALL_BODY_BYTES: usize = 4 * 1024;
/// Number of times that a larger body is in memory: as received, in the command or request to the backend, and unsent.
const BODY_COPIES: usize = 3;
/// Memory per known request id in bytes.
const REQUEST_ID_BYTES: usize = 100;
const MIN_CONNECTIONS: usize = 2;
const MIN_REQUESTS: usize = 256;
const MIN_REQUEST_IDS: usize = 1024;
const BYTES_PER_MB: usize = 1 << 20;

/// Resource limits of this process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of callers' connections.
    pub connections: usize,
    /// Number of connections allowed in addition while others are closing.
    pub spare_connections: usize,
    /// Maximum size of all receive buffers together, in bytes, beyond the initial buffer of each connection.
    pub receive_bytes: usize,
    /// Maximum size of all responses of applications and all replies that callers have not read yet, in bytes. Replies alone
    /// may exceed it until a connection is closed.
    pub unread_reply_bytes: usize,
    /// Maximum memory of all requests that have not ended, in bytes, as calculated by [`request_memory`].
    pub request_bytes: usize,
    /// Maximum number of requests that are queued, running or stored for their idempotency key.
    pub requests: usize,
    /// Maximum size of all results stored for retries, in bytes.
    pub result_bytes: usize,
    /// Maximum number of known request ids, of current requests and of those that must not run again.
    pub request_ids: usize,
}

impl Limits {
    /// Divides memory and descriptors; `max_calls` is the maximum number of calls that the scheduler may have in flight.
    ///
    /// Connections and requests get a quarter of the memory each; receive buffers, unread replies and results an eighth each.
    /// The rest is left to code and the allocator.
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
        let requests = (memory / 4 / REQUEST_BYTES).max(MIN_REQUESTS);
        Limits {
            // Leaves space for closing connections, and for those accepted while none could be shed.
            connections: connections.saturating_sub(2 * spare).max(MIN_CONNECTIONS),
            spare_connections: spare,
            receive_bytes: memory / 8,
            unread_reply_bytes: memory / 8,
            // One more than the table has, so that requests of ordinary size fill the table first.
            request_bytes: (requests + 1) * REQUEST_BYTES,
            requests,
            result_bytes: memory / 8,
            request_ids: (memory / 32 / REQUEST_ID_BYTES).max(MIN_REQUEST_IDS),
        }
    }
}

/// Returns the memory in bytes that an open request with a body of `body_bytes` takes at the most.
pub fn request_memory(body_bytes: usize) -> usize {
    if body_bytes <= SMALL_BODY_BYTES {
        REQUEST_BYTES
    } else {
        REQUEST_BYTES + BODY_COPIES * body_bytes
    }
}

#[cfg(test)]
mod tests;
