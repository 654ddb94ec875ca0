//! Fault localization: whether calls fail because of the dependency itself or because of this
//! server's path to it.
use crate::peer_report::PeerCounts;

/// Source of a fault, as inferred from peer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSource {
    /// There is no fault.
    NoFault,
    /// The dependency itself: at least half of the informed peers report failure.
    Dependency,
    /// This server's network link, address or machine: calls of most informed peers succeed.
    OwnPath,
    /// This server's calls fail, and no peer has called the dependency recently.
    Unknown,
}

impl FaultSource {
    /// Infers the source from this server's breaker and the reports of peers.
    pub fn infer(fails_locally: bool, peers: PeerCounts) -> FaultSource {
        if peers.informed == 0 && fails_locally {
            FaultSource::Unknown
        } else if peers.failing > 0 && peers.failing * 2 >= peers.informed {
            FaultSource::Dependency
        } else if fails_locally {
            FaultSource::OwnPath
        } else {
            FaultSource::NoFault
        }
    }

    /// Returns the value in JSON output, which operators' tools read.
    pub fn json_name(self) -> &'static str {
        match self {
            FaultSource::NoFault => "Nobodys",
            FaultSource::Dependency => "Dependencys",
            FaultSource::OwnPath => "OwnWays",
            FaultSource::Unknown => "Unknown",
        }
    }
}

#[cfg(test)]
mod tests;
