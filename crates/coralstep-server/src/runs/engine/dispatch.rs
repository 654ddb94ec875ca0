//! Handlers of the engine's messages.
use std::time::{Duration, Instant};

use crate::decisions::SchedulerHandle;
use crate::note;
use crate::runs::RunEvent;
use crate::runs::engine::Engine;
use crate::runs::engine::protocol::{Command, Message, Notification, ParsedMessage};

/// Maximum difference between two estimates of one engine's start time, which are accurate to a few
/// milliseconds. A larger difference means that the engine was restarted.
const MAX_START_JITTER: Duration = Duration::from_millis(500);

impl Engine {
    pub(super) fn dispatch(&self, parsed: ParsedMessage<'_>, scheduler: &SchedulerHandle) {
        let ParsedMessage { message, words, .. } = parsed;
        match message {
            Message::Hello { state, uptime } => self.on_hello(state, uptime, scheduler),
            Message::Attached => self.on_attached(),
            Message::Drained => self.on_drained(),
            Message::Gauges(readings) => self.on_gauges(readings),
            Message::Notification {
                number,
                notification,
            } => self.on_notification(number, notification, &words),
            Message::Rejected { command, id } => self.on_rejected(command, id),
            Message::Unknown => log_unknown(&words),
        }
    }

    fn on_hello(&self, state: &str, uptime: Duration, scheduler: &SchedulerHandle) {
        let now = Instant::now();
        let up_since = now.checked_sub(uptime).unwrap_or(now);
        let previous = self.up_since.replace(Some(up_since));
        note!(
            uptime_ms = uptime.as_millis() as u64,
            state,
            "engine attached"
        );
        if previous
            .is_some_and(|previous| up_since.saturating_duration_since(previous) > MAX_START_JITTER)
        {
            note!("engine restarted");
            self.last_notification.set(0);
            self.runs.borrow_mut().handle_engine_restart();
        }
        scheduler.start(Some(state == "new"), uptime);
        if let Some(link) = self.link.borrow_mut().as_mut() {
            link.message_received = true;
            link.write(Command::ConfirmAttached);
        }
    }

    fn on_attached(&self) {
        let mut link = self.link.borrow_mut();
        let Some(link) = link.as_mut().filter(|link| !link.ready) else {
            return;
        };
        link.ready = true;
        self.runs.borrow_mut().resend_unread(link);
        link.request_gauges();
    }

    fn on_drained(&self) {
        if let Some(link) = self.link.borrow_mut().as_mut().filter(|link| !link.ready) {
            link.mark_all_read();
            self.drained.notify(usize::MAX);
        }
    }

    fn on_gauges(&self, readings: Vec<Option<f64>>) {
        if let Some(link) = self.link.borrow_mut().as_mut() {
            link.handle_gauges_received();
            self.command_queued.notify(1);
        }
        *self.gauge_readings.borrow_mut() = readings;
    }

    /// Ignores notifications that were read before: after a lost link, the engine resends those that
    /// may have been lost.
    fn on_notification(&self, number: u64, notification: Notification<'_>, words: &[&str]) {
        if number <= self.last_notification.get() {
            return;
        }
        if matches!(notification, Notification::Unknown) {
            return log_unknown(words);
        }
        self.last_notification.set(number);
        match notification {
            Notification::RunEnded {
                id,
                outcome: Some(outcome),
                ..
            } => self.deliver(id, RunEvent::Ended(outcome)),
            Notification::RunEnded { id, word, .. } => {
                note!(rpc_id = id, outcome = word, "unknown run outcome");
            }
            Notification::CallNeeded { id, body } => {
                self.deliver(id, RunEvent::CallNeeded(body.to_vec()));
            }
            Notification::Text | Notification::Unknown => {}
        }
    }

    fn on_rejected(&self, command: &str, id: &str) {
        note!(rpc_id = id, command, "engine rejected command");
        if command == Command::RUN {
            // Guards against a rejected run that counts as in progress forever.
            let outcome = self.runs.borrow_mut().rejected_start_outcome(id);
            self.deliver(id, RunEvent::Ended(outcome));
        }
    }

    fn deliver(&self, id: &str, event: RunEvent) {
        if !self.runs.borrow_mut().deliver(id, event) {
            note!(rpc_id = id, "event for unknown run");
        }
    }
}

fn log_unknown(words: &[&str]) {
    note!(received = words.join(" "), "unknown engine message");
}
