//! What changes in the fleet's limits at one server, for the log.
use std::fmt;

/// A change that operators are told of; its text is that of the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// This server leads from now on.
    TermBegan,
    /// This server leads no longer.
    TermEnded,
    /// No leader has answered for a while.
    CutOff,
    /// A leader answers again.
    Reconnected,
    /// So many limits apply from now on.
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
                f.write_str("cut off from whoever gives shares: what is in hand runs out")
            }
            QuotaEvent::Reconnected => f.write_str("shares come again"),
            QuotaEvent::LimitsChanged(count) => write!(f, "{count} limits hold"),
        }
    }
}
