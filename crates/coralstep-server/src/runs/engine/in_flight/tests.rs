use std::rc::Rc;

use super::*;
use crate::base::outbox::Outbox;

const ID: &str = "0000000000000001";

/// A run whose start command was sent once on the link.
fn started_run() -> (InFlightRuns, Link) {
    let mut link = Link::new(1, Rc::new(Outbox::default()));
    link.ready = true;
    let id = RequestId::from_number(1);
    let mut runs = InFlightRuns::default();
    assert!(runs.register(id));
    let command = PendingCommand {
        starts_run: true,
        ..PendingCommand::new(b"RUN".to_vec())
    };
    assert!(runs.set_command(id, command));
    link.queued.push(id);
    runs.send_queued(&mut link);
    (runs, link)
}

fn resend(runs: &mut InFlightRuns, link: &Link) {
    let run = runs.get_mut(RequestId::from_number(1));
    link.send(run.and_then(|run| run.command.as_mut()).unwrap());
}

fn is_refused(runs: &InFlightRuns) -> bool {
    matches!(runs.rejected_start_outcome(ID), RunOutcome::Refused)
}

/// Guards against a second run if a start command is rejected that was carried out before.
#[test]
fn rejected_start_proves_that_run_never_started_only_if_sent_once_and_without_events() {
    let (sent_once, _link) = started_run();
    assert!(is_refused(&sent_once));

    let (mut resent, link) = started_run();
    resend(&mut resent, &link);
    assert!(!is_refused(&resent));

    // No byte of the first command left the process before its link was lost.
    let (mut unsent, link) = started_run();
    unsent.handle_link_lost(&link);
    resend(&mut unsent, &link);
    assert!(is_refused(&unsent));

    let (mut queried, _link) = started_run();
    let run = queried.get_mut(RequestId::from_number(1));
    run.unwrap().mark_start_resent();
    assert!(!is_refused(&queried));

    let (mut called, _link) = started_run();
    assert!(called.deliver(ID, RunEvent::CallNeeded(Vec::new())));
    assert!(!is_refused(&called));

    assert!(!is_refused(&InFlightRuns::default()), "not registered");
}
