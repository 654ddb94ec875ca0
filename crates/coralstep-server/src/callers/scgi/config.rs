//! Configuration of the SCGI protocol.
use std::net::IpAddr;

use coralstep_config::Names;
use coralstep_config::site::{HeaderNames, RouteTarget, ScgiConfig, SiteError};
use coralstep_route::RouteTable;
use coralstep_scgi::Limits;

/// Maximum number of headers per request.
const MAX_HEADERS: usize = 128;
/// Maximum size of a request's headers in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Configuration of the SCGI protocol, from the site file. It never changes during a request.
pub(super) struct ProtocolConfig {
    section: ScgiConfig,
    /// Maps verb and path to a method or the health check.
    pub(super) routes: RouteTable<RouteTarget>,
    /// Size limits of a request.
    pub(super) limits: Limits,
}

impl ProtocolConfig {
    pub(super) fn new(section: &ScgiConfig, names: &Names) -> Result<ProtocolConfig, SiteError> {
        let limits = Limits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_headers: MAX_HEADERS,
            max_body_bytes: section.body_kb as usize * 1024,
        };
        Ok(ProtocolConfig {
            routes: section.routes(names)?,
            section: section.clone(),
            limits,
        })
    }

    /// Returns the names of the headers that the scheduler uses.
    pub(super) fn headers(&self) -> &HeaderNames {
        &self.section.headers
    }

    /// Returns the memory in KB reserved for a request that doesn't state any.
    pub(super) fn default_memory_kb(&self) -> f64 {
        self.section.room_kb
    }

    /// Returns whether the peer is trusted to state tenant, memory and age.
    pub(super) fn trusts(&self, peer: IpAddr) -> bool {
        // Guards against an IPv4-mapped IPv6 address that matches no IPv4 network.
        let peer = peer.to_canonical();
        self.section
            .trusted
            .iter()
            .any(|network| network.contains(&peer))
    }
}
