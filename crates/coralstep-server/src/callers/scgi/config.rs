//! What the protocol takes from the operator's file.
use std::net::IpAddr;

use coralstep_config::Names;
use coralstep_config::site::{HeaderNames, RouteTarget, ScgiConfig, SiteError};
use coralstep_route::RouteTable;
use coralstep_scgi::Limits;

/// The most headers of one request.
const MAX_HEADERS: usize = 128;
/// The most bytes of headers of one request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// What the protocol takes from the operator's file, in force for whole requests.
pub(super) struct ProtocolConfig {
    section: ScgiConfig,
    /// Which method, or the health check, a path and verb stand for.
    pub(super) routes: RouteTable<RouteTarget>,
    /// Bounds on a request.
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

    /// Names of the headers that carry what the scheduler needs.
    pub(super) fn headers(&self) -> &HeaderNames {
        &self.section.headers
    }

    /// Memory of a request whose caller states none, in KB.
    pub(super) fn default_memory_kb(&self) -> f64 {
        self.section.room_kb
    }

    /// Whether a peer's word on tenant, memory and age is believed.
    pub(super) fn trusts(&self, peer: IpAddr) -> bool {
        // Guards against an IPv4 peer that is seen under its IPv6 form and then matches no network.
        let peer = peer.to_canonical();
        self.section
            .trusted
            .iter()
            .any(|network| network.contains(&peer))
    }
}
