//! Logs fleet events under the target `fleet`.
use std::time::Instant;

use coralstep_fleet::Event;
use tracing::field::display;
use tracing::info;

use crate::base::log;

/// Logs one line for `event`, unless peers have used up the line limit.
pub(super) fn log_event(event: &Event) {
    // Guards against flapping members whose events crowd out other log lines: they count against the clients' limit.
    if is_caused_by_peer(event) && log::admit_line(Instant::now(), log::LineCause::Client).is_none()
    {
        return;
    }
    match event {
        Event::MemberStateChanged { member, state } => {
            let (server, address, state) = (&member.name, member.address, state.name());
            info!(target: "fleet", %server, %address, %state, "fleet: member state changed");
        }
        Event::Rejoined => {
            info!(target: "fleet", "fleet: rejoined after other members declared this server down")
        }
        Event::DuplicateName { known, joined } => {
            let (server, known, joined) = (&known.name, known.address, joined.address);
            info!(target: "fleet", %server, %known, %joined, "fleet: duplicate server name");
        }
        Event::ClockSkewed(server) => info!(target: "fleet", %server, "fleet: clock skewed"),
        Event::VersionReceived(version) => {
            info!(target: "fleet", %version, "fleet: version received");
        }
        Event::VersionActivated(version) => {
            info!(target: "fleet", %version, "fleet: version activated");
        }
        Event::VersionRejected { version, reason } => {
            info!(target: "fleet", %version, %reason, "fleet: version rejected");
        }
        Event::VersionFork(fork) => {
            let (superseded, winner) = (fork.superseded, fork.winner);
            info!(target: "fleet", %superseded, %winner, "fleet: version fork");
        }
        Event::RolloutHalted { version, reason } => {
            info!(target: "fleet", %version, %reason, "fleet: rollout halted");
        }
        Event::AuditRecordAltered(server) => {
            info!(target: "fleet", %server, "fleet: audit record altered");
        }
        Event::Excluded(reason) => {
            let (version, reason) = (reason.version().map(display), reason.name());
            info!(target: "fleet", %reason, version, "fleet: server excluded");
        }
        Event::Readmitted => info!(target: "fleet", "fleet: server readmitted"),
        Event::ExclusionLimitReached(version) => {
            info!(target: "fleet", %version, "fleet: exclusion limit reached");
        }
        Event::ProcessPaused(pause_ms) => info!(target: "fleet", pause_ms, "fleet: process paused"),
    }
}

fn is_caused_by_peer(event: &Event) -> bool {
    matches!(
        event,
        Event::MemberStateChanged { .. } | Event::DuplicateName { .. } | Event::ClockSkewed(_)
    )
}
