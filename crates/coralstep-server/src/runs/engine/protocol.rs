//! The engine's protocol: lines of words, some followed by a body. Encodes commands and parses
//! messages without any I/O. No other module uses the protocol's words.
use std::time::Duration;

use crate::base::line_codec;
use crate::base::request_id::RequestId;
use crate::decisions::RunOutcome;

/// The bytes are not a valid message, so the boundaries of later messages are unknown.
pub(super) use crate::base::line_codec::CorruptLine as CorruptMessage;

/// A command that the server sends to the engine.
#[derive(Clone, Copy, Debug)]
pub(super) enum Command<'a> {
    /// First line of a link: requests all notifications after this number again.
    Attach { last_notification: u64 },
    /// Requests the gauges; [`Message::Gauges`] proves that all earlier commands were read.
    ReadGauges,
    /// Requests [`Message::Attached`] once all missed notifications were sent.
    ConfirmAttached,
    /// Requests [`Message::Drained`] once all earlier commands were read.
    ConfirmDrained,
    /// Starts a run.
    Run {
        id: RequestId,
        method: &'a str,
        body: &'a [u8],
    },
    /// Resumes a run with the result of its call.
    Resume {
        id: RequestId,
        call_result: &'a [u8],
    },
    /// Cancels a run.
    Cancel { id: RequestId },
}

impl Command<'_> {
    /// First word of [`Command::Run`].
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

    /// Returns the encoded command.
    pub(super) fn to_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.write(&mut bytes);
        bytes
    }
}

/// A message from the engine.
#[derive(Debug)]
pub(super) enum Message<'a> {
    /// First line of a link: the engine's state and the time since it started.
    Hello { state: &'a str, uptime: Duration },
    /// Response to [`Command::ConfirmAttached`].
    Attached,
    /// Response to [`Command::ConfirmDrained`].
    Drained,
    /// Response to [`Command::ReadGauges`]; `None` for a reading that is not a valid number.
    Gauges(Vec<Option<f64>>),
    /// An event at the engine; numbered, and resent after a lost link.
    Notification {
        number: u64,
        notification: Notification<'a>,
    },
    /// The engine rejected a command.
    Rejected { command: &'a str, id: &'a str },
    /// A message that this protocol doesn't define.
    Unknown,
}

/// Content of a numbered message.
#[derive(Debug)]
pub(super) enum Notification<'a> {
    /// A run has ended; `outcome` is `None` if the word is unknown.
    RunEnded {
        id: &'a str,
        word: &'a str,
        outcome: Option<RunOutcome>,
    },
    /// A run needs the result of a call.
    CallNeeded { id: &'a str, body: &'a [u8] },
    /// Text for operators, which the server ignores.
    Text,
    /// A known first word with unexpected arguments.
    Unknown,
}

/// A parsed message, its words, and its length in bytes.
pub(super) struct ParsedMessage<'a> {
    pub(super) message: Message<'a>,
    pub(super) words: Vec<&'a str>,
    pub(super) length: usize,
}

/// Parses the first message of `bytes`. Returns `None` if it is incomplete.
pub(super) fn parse(bytes: &[u8]) -> Result<Option<ParsedMessage<'_>>, CorruptMessage> {
    let has_body = |words: &[&str]| matches!(words[0], "DONE" | "NEED");
    let Some(line) = line_codec::decode(bytes, has_body)? else {
        return Ok(None);
    };
    Ok(Some(ParsedMessage {
        message: parse_message(&line.words, line.body),
        words: line.words,
        length: line.encoded_len,
    }))
}

fn parse_message<'a>(words: &[&'a str], body: &'a [u8]) -> Message<'a> {
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
            Message::Gauges(gauges.iter().map(|text| parse_gauge(text)).collect())
        }
        ["NOTE", number, ..] => Message::Notification {
            // Notifications are numbered from 1, so 0 counts as already read.
            number: number.parse().unwrap_or(0),
            notification: Notification::Text,
        },
        ["DONE" | "NEED", number, ..] => {
            number
                .parse()
                .map_or(Message::Unknown, |number| Message::Notification {
                    number,
                    notification: parse_notification(words, body),
                })
        }
        ["NO", command, id] => Message::Rejected { command, id },
        _ => Message::Unknown,
    }
}

fn parse_gauge(text: &str) -> Option<f64> {
    let value: f64 = text.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

fn parse_notification<'a>(words: &[&'a str], body: &'a [u8]) -> Notification<'a> {
    match *words {
        ["DONE", _, id, word, _, _] => Notification::RunEnded {
            id,
            word,
            outcome: parse_run_outcome(word, body),
        },
        ["NEED", _, id, _] => Notification::CallNeeded { id, body },
        _ => Notification::Unknown,
    }
}

fn parse_run_outcome(word: &str, body: &[u8]) -> Option<RunOutcome> {
    match word {
        "good" => Some(RunOutcome::Ok(body.into())),
        "bad" => Some(RunOutcome::Error),
        "cut" => Some(RunOutcome::Cancelled),
        "gone" => Some(RunOutcome::NoLongerNeeded),
        _ => None,
    }
}
