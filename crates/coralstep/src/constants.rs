//! Every figure that the decisions are tuned by, with its unit and reason.
use crate::time::Span;

/// Between two timers. The finest delay of a limit; 50 a second cost next to no CPU.
pub const BEAT: Span = Span::ms(20);
/// Answers leave this long before they are due: two beats, and a batch or two.
pub const EARLY: Span = Span::ms(50);
/// Last answers leave this long before the process is stopped: a pause of the process fits in.
pub const LAST_ANSWERS: Span = Span::ms(400);
/// Outcomes that a breaker looks at, and the part of them that opens it (the source's 20 and 50%).
pub const WINDOW: u32 = 20;
pub const TRIP: f64 = 0.5;
/// Outcomes of its own that a breaker needs whatever others say: one failure may be anything.
pub const HEARSAY_LEAST: u32 = 2;
/// A breaker's first cooldown; each failed trial doubles it up to the source's 30 s.
pub const COOLDOWN: Span = Span::ms(1_000);
pub const COOLDOWN_MOST: Span = Span::ms(30_000);
/// Calls made for one need at the most: the first and one repeat.
pub const CALLS_EACH: u32 = 2;
/// Patience with a call: in middle times (99 in 100 end sooner), and at the least (a short pause fits in).
pub const PATIENCE: u64 = 8;
pub const PATIENCE_LEAST: Span = Span::ms(300);
/// Taken for the usual time of a call or a run before any was seen.
pub const GUESS: Span = Span::ms(250);
/// The longest wait for a permit, and the advice where it was in vain or the server leaves (the source's).
pub const PERMIT_WAIT: Span = Span::ms(1_000);
pub const AWAY_ADVICE: Span = Span::ms(5_000);
/// The line for permits that new work may join: what they serve in a quarter of the wait.
pub const PERMIT_LINE: Span = Span::ms(250);
/// Parts of a shared dependency's share: at first, while calls take long, at the most (room for the dead).
pub const SHARE_FIRST: f64 = 0.5;
pub const SHARE_LEAST: f64 = 0.25;
pub const SHARE_MOST: f64 = 0.75;
/// Call times are halved beyond so many: enough for a mean, few enough to follow a change in seconds.
pub const CALLS_KNOWN: u64 = 40;
/// Permits toward a tier: at the least, so that one lost call doesn't take half, and at the most times that.
pub const TIER_LEAST: f64 = 4.0;
pub const TIER_MOST: f64 = 3.0;
/// Calls this many times as slow as the best seen mean that the dependency is crowded.
pub const CROWDED: f64 = 2.5;
/// Part of the target that an RPC may be held; half, the design's start, left no time for another server.
pub const HOLD_SHARE: f64 = 0.25;
/// Part of the survivable crowd that is ever used: calls that come back and reading need the rest.
pub const CROWD_USED: f64 = 0.6;
/// Parts of the memory up to which work is held, work is begun and tokens are kept; reading needs the rest.
pub const MEMORY_HOLD: f64 = 0.82;
pub const MEMORY_RUN: f64 = 0.9;
pub const MEMORY_TOKENS: f64 = 0.75;
/// A token stays known this much longer than its window, against rounding and the batch interval.
pub const TOKEN_EXTRA: Span = Span::ms(50);
/// Full cores that finish nothing for so long stand still: several times any ordinary run.
pub const STALL: Span = Span::ms(1_500);
/// Tallies and histograms are halved this often: about three of the longest targets.
pub const HALVE: Span = Span::ms(8_000);
/// The free value and the bulkhead are set anew this often: slower than answers, faster than a hold fills.
pub const REVIEW: Span = Span::ms(100);
/// Advice given with an ordinary pushback: long enough for a few runs to end.
pub const ADVICE: Span = Span::ms(250);
/// How far behind the worst-served method one still gets part of its boost, as a part of service.
pub const WORST_BAND: f64 = 0.1;
/// What a further try is worth beside a first one: its client has waited already, for how long nobody says.
pub const RETRIED: f64 = 0.25;
/// Open connections for each RPC that may be begun beyond which idle ones close sooner: one works, one comes.
pub const CONNECTIONS: f64 = 2.0;
/// Part of the tries read that are begun below which more connections only bring more pushbacks.
pub const STORM: f64 = 0.2;
/// RPCs for each core that callers together may have here, where the free value is a credit.
pub const CREDIT: f64 = 4.0;
/// So long after its answer a run without an end is asked after, and again each time that this has passed.
pub const ASK_AFTER: Span = Span::ms(2_000);
/// So long after its answer it counts as lost: longer than most pauses of a machine.
pub const LOST_AFTER: Span = Span::ms(10_000);
/// Part of the ceiling of begun RPCs that lost runs may have; beyond it they keep their places.
pub const LOST_MOST: f64 = 0.5;
/// At a call that is over a run counts as stranded so long after its answer: it has been asked after twice.
pub const STRANDED_AFTER: Span = Span::ms(4_500);
/// Part of the begun RPCs that may stand before or at calls: the rest is for what calls nothing.
pub const CALLS_MOST: f64 = 0.75;
/// Part of the memory beyond which no trial adds to the stranded runs.
pub const MEMORY_STRANDED: f64 = 0.5;
/// A call without a word for so long after its patience ran out is over: the word itself was lost.
pub const CALL_LOST: Span = Span::ms(1_000);
