//! Log events about quota at one server.
use std::fmt;

/// A change that is logged; its `Display` output is the log message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// This server became the quota leader.
    TermBegan,
    /// This server is no longer the quota leader.
    TermEnded,
    /// No leader has answered for [`CUT_OFF_AFTER_MS`](crate::cut_off::CUT_OFF_AFTER_MS).
    CutOff,
    /// A leader answers again.
    Reconnected,
    /// The limits were replaced; the value is their number.
    LimitsChanged(usize),
}

impl fmt::Display for QuotaEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QuotaEvent::TermBegan => f.write_str("this server gives shares"),
            QuotaEvent::TermEnded => f.write_str(
                "this server gives no shares any more: too few of the keepers answer, or it leaves",
            ),
            QuotaEvent::CutOff => {
                f.write_str("cut off from the quota leader: the units held expire with their lease")
            }
            QuotaEvent::Reconnected => f.write_str("the quota leader answers again"),
            QuotaEvent::LimitsChanged(count) => write!(f, "limits changed: {count} in effect"),
        }
    }
}
