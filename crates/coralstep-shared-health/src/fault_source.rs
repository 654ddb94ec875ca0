//! Where the fault lies when calls to a dependency fail: there, or on this server's way to it.
use crate::peer_report::PeerCounts;

/// The source of a fault, as far as peer reports tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSource {
    /// There is no fault.
    NoFault,
    /// Half or more of the informed peers report failure: the dependency itself.
    Dependency,
    /// Most informed peers are served: this server's link, address or machine.
    OwnPath,
    /// This server's calls fail, and no peer knows the dependency.
    Unknown,
}

impl FaultSource {
    /// Finds the source by this server's own breaker and the peers' reports.
    pub fn find(fails_here: bool, peers: PeerCounts) -> FaultSource {
        if peers.informed == 0 && fails_here {
            FaultSource::Unknown
        } else if peers.failing > 0 && peers.failing * 2 >= peers.informed {
            FaultSource::Dependency
        } else if fails_here {
            FaultSource::OwnPath
        } else {
            FaultSource::NoFault
        }
    }

    /// Returns the word for it in JSON output, which operators' tools read.
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
