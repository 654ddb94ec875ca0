use coralstep::{BreakerState, BreakerTransition, Event, OrphanedRun, Span};

use super::LogText;

/// Guards against changing `LOG` lines when messages of the code are reworded.
#[test]
fn log_text_matches_wire_format() {
    let transition = BreakerTransition {
        from: BreakerState::Closed,
        to: BreakerState::Open,
        failure_rate: 0.5,
    };
    let run = OrphanedRun {
        since_answer: Span::ms(10_020),
        orphaned: 1,
        max_orphaned: 2,
    };
    let limit = Event::OrphanLimit {
        reached: true,
        orphaned: 2,
        max_orphaned: 2,
    };
    let health = Event::HealthChanged {
        stalled: false,
        read_backlog: true,
    };
    for (event, text) in [
        (
            Event::BreakerChanged(transition),
            "breaker closed -> open, failed 0.50",
        ),
        (
            Event::RunOrphaned(run),
            "a run is lost: no end 10020 ms after its answer, 1 of 2",
        ),
        (
            Event::RunOrphanedAtCall(run),
            "a run is stranded: no end 10020 ms after its answer, 1 of 2",
        ),
        (limit, "places of lost runs used up: true, 2 of 2"),
        (
            health,
            "cores stand still: false, reading falls behind: true",
        ),
    ] {
        assert_eq!(LogText(event).to_string(), text);
    }
}
