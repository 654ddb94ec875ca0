//! The engine's protocol: lines of words, some with a body behind them. Pure; the only place that
//! knows its words.
use std::time::Duration;

use crate::base::line_codec;
use crate::base::request_id::RequestId;
use crate::decisions::RunOutcome;

/// These bytes are no message; what follows them can't be told apart.
pub(super) use crate::base::line_codec::CorruptLine as Corrupt;

/// What the server writes to the engine.
#[derive(Clone, Copy, Debug)]
pub(super) enum Command<'a> {
    /// The first line of a link: sends all notifications after this number again.
    Attach { last_notification: u64 },
    /// Asks for the gauges; [`Message::Gauges`] proves that all commands before it were read.
    ReadGauges,
    /// Draws [`Message::Attached`], once all missed notifications were sent.
    ConfirmAttached,
    /// Draws [`Message::Drained`], once all commands before it were read.
    ConfirmDrained,
    /// Begins a run.
    Run {
        id: RequestId,
        method: &'a str,
        body: &'a [u8],
    },
    /// Gives a run the result of its call.
    Resume {
        id: RequestId,
        call_result: &'a [u8],
    },
    /// Stops a run.
    Cancel { id: RequestId },
}

impl Command<'_> {
    /// The word of [`Command::Run`].
    pub(super) const RUN: &'static str = "RUN";

    /// Appends the command to `out`.
    pub(super) fn write(&self, out: &mut Vec<u8>) {
        match self {
            Command::Attach { last_notification } => {
                line_codec::encode(out, format_args!("ATTACH {last_notification}"), None);
            }
            Command::ReadGauges => line_codec::encode(out, format_args!("STAT gauges"), None),
            Command::ConfirmAttached => {
                line_codec::encode(out, format_args!("STAT attached"), None)
            }
            Command::ConfirmDrained => line_codec::encode(out, format_args!("STAT settled"), None),
            Command::Run { id, method, body } => {
                line_codec::encode(out, format_args!("RUN {id} {method}"), Some(body));
            }
            Command::Resume { id, call_result } => {
                line_codec::encode(out, format_args!("FEED {id}"), Some(call_result));
            }
            Command::Cancel { id } => line_codec::encode(out, format_args!("HALT {id}"), None),
        }
    }

    /// The command alone.
    pub(super) fn to_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.write(&mut bytes);
        bytes
    }
}

/// What the engine says.
#[derive(Debug)]
pub(super) enum Message<'a> {
    /// The first line of a link: the engine's state, and since when it is up.
    Hello { state: &'a str, uptime: Duration },
    /// Answers [`Command::ConfirmAttached`].
    Attached,
    /// Answers [`Command::ConfirmDrained`].
    Drained,
    /// Answers [`Command::ReadGauges`]; `None` for a reading that is no figure.
    Gauges(Vec<Option<f64>>),
    /// Something happened at the engine; numbered, and sent again after a broken link.
    Notification {
        number: u64,
        notification: Notification<'a>,
    },
    /// The engine would not carry out a command.
    Refused { command: &'a str, id: &'a str },
    /// Nothing that this protocol knows.
    Unknown,
}

/// What a numbered message tells.
#[derive(Debug)]
pub(super) enum Notification<'a> {
    /// A run has ended; without an outcome where its word is unknown.
    RunEnded {
        id: &'a str,
        word: &'a str,
        outcome: Option<RunOutcome>,
    },
    /// A run waits for a call.
    CallNeeded { id: &'a str, body: &'a [u8] },
    /// For people alone.
    Note,
    /// A known word in a form that is not.
    Unknown,
}

/// A message, its words, and the bytes that it takes.
pub(super) struct Parsed<'a> {
    pub(super) message: Message<'a>,
    pub(super) words: Vec<&'a str>,
    pub(super) length: usize,
}

/// The first message of `bytes`; `None` while more must be read.
pub(super) fn parse(bytes: &[u8]) -> Result<Option<Parsed<'_>>, Corrupt> {
    let has_body = |words: &[&str]| matches!(words[0], "DONE" | "NEED");
    let Some(line) = line_codec::decode(bytes, has_body)? else {
        return Ok(None);
    };
    Ok(Some(Parsed {
        message: message(&line.words, line.body),
        words: line.words,
        length: line.encoded_len,
    }))
}

fn message<'a>(words: &[&'a str], body: &'a [u8]) -> Message<'a> {
    match *words {
        ["HELLO", state, uptime_ms] => {
            uptime_ms
                .parse()
                .map_or(Message::Unknown, |ms| Message::Hello {
                    state,
                    uptime: Duration::from_millis(ms),
                })
        }
        ["STATS", "attached", ..] => Message::Attached,
        ["STATS", "settled", ..] => Message::Drained,
        ["STATS", _, ref gauges @ ..] => {
            Message::Gauges(gauges.iter().map(|text| gauge(text)).collect())
        }
        ["NOTE", number, ..] => Message::Notification {
            // No notification has the number 0, so it counts as one that was read.
            number: number.parse().unwrap_or(0),
            notification: Notification::Note,
        },
        ["DONE" | "NEED", number, ..] => {
            number
                .parse()
                .map_or(Message::Unknown, |number| Message::Notification {
                    number,
                    notification: notification(words, body),
                })
        }
        ["NO", command, id] => Message::Refused { command, id },
        _ => Message::Unknown,
    }
}

fn gauge(text: &str) -> Option<f64> {
    let value: f64 = text.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

fn notification<'a>(words: &[&'a str], body: &'a [u8]) -> Notification<'a> {
    match *words {
        ["DONE", _, id, word, _, _] => Notification::RunEnded {
            id,
            word,
            outcome: run_outcome(word, body),
        },
        ["NEED", _, id, _] => Notification::CallNeeded { id, body },
        _ => Notification::Unknown,
    }
}

fn run_outcome(word: &str, body: &[u8]) -> Option<RunOutcome> {
    match word {
        "good" => Some(RunOutcome::Ok(body.into())),
        "bad" => Some(RunOutcome::Error),
        "cut" => Some(RunOutcome::Cancelled),
        "gone" => Some(RunOutcome::NoLongerNeeded),
        _ => None,
    }
}
