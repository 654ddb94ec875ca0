//! When a server admits nothing: it is behind what is to be acted on, turned down what must be, was stopped and has not caught up, hears
//! nobody, or an operator says so. By itself, since nobody else can; what is known of the fleet is passed in with each look.
use serde::Serialize;

use crate::Ms;
use crate::versions::Id;

/// Part of the fleet that may be shut out at once for being behind; beyond it the version or the network is at fault.
pub const SHUT_MOST: f64 = 0.3;
/// A gap of so long between two ticks is a pause of this process: what it knew before may be long over.
pub const PAUSE: Ms = 2_000;
/// After a pause it admits nothing until a member that holds what it acts on was heard, or for so long at the most; and as long again while
/// it fetches what is newer.
pub const RESUME: Ms = 3_000;
/// Who would shut itself out says so first, and waits so long to hear who else would: then the same few go, whoever reckons.
pub const SAID: Ms = 2_000;
/// Advice of a server that is shut out and can't tell for how long.
const AWAY: Ms = 5_000;

/// Why a server admits nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shut {
    /// An operator said so.
    ByHand,
    /// It turned down a version that must be acted on.
    TurnedDown(Id),
    Behind(Id),
    /// It hears nobody.
    Silent,
    /// It was paused, and has not heard from the others since.
    Paused,
}

/// What operators set.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Bounds {
    /// Behind what is to be acted on for longer than that: shut out.
    pub behind: Ms,
    /// Without any other member for longer than that: shut out where `silent_shuts`.
    pub silent: Ms,
    pub silent_shuts: bool,
}

/// What is known of the version that is to be acted on, and of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
    pub acts_on: Id,
    /// The newest that is known, held or not; and the newest that is held and was not turned down.
    pub newest: Id,
    pub wanted: Id,
    pub must: bool,
    pub turned_down: bool,
    /// Of what should be acted on: here, its wave's delay, its wave has come, its wave goes no further.
    pub held: bool,
    pub due: Ms,
    pub is_due: bool,
    pub stopped: bool,
    /// Others, and those of them that want to go or have gone before this server.
    pub others: usize,
    pub before: usize,
}

impl Facts {
    /// What this server should act on by now.
    pub fn target(&self) -> Id {
        if self.turned_down {
            self.wanted
        } else {
            self.newest
        }
    }
}

/// What a look came to.
#[derive(Debug, Default, PartialEq)]
pub struct Judged {
    /// Something that is said to the others has changed.
    pub says: bool,
    /// Shut out or let in, where that changed.
    pub changed: Option<Option<Shut>>,
    /// More would be shut out than may be, told once a version.
    pub too_many: Option<Id>,
}

#[derive(Clone, Debug, Hash)]
pub struct Straggler {
    bounds: Bounds,
    by_hand: bool,
    shut: Option<Shut>,
    /// What it is behind, and when that is too long.
    behind: Option<(Id, Ms)>,
    /// Since when it would shut itself out for a version.
    wants_out: Option<Ms>,
    /// When it last heard anybody.
    alone: Ms,
    /// Since when it goes on after a pause, and its first datagram from then on: what doesn't echo that may have been said before.
    resumed: Option<(Ms, u64)>,
    /// Since when it has heard again: what it hears of then is fetched before anything is admitted, if that comes soon.
    caught_up: Option<Ms>,
    told_too_many: Option<Id>,
}

impl Straggler {
    pub fn new(bounds: Bounds, now: Ms) -> Straggler {
        Straggler {
            bounds,
            by_hand: false,
            shut: None,
            behind: None,
            wants_out: None,
            alone: now,
            resumed: None,
            caught_up: None,
            told_too_many: None,
        }
    }

    pub fn shut(&self) -> Option<&Shut> {
        self.shut.as_ref()
    }

    pub fn wants_out(&self) -> bool {
        self.wants_out.is_some()
    }

    pub fn by_hand(&mut self, shut: bool) {
        self.by_hand = shut;
    }

    /// Any datagram came. Not by the members: a large fleet is taken for gone one by one, which takes minutes.
    pub fn heard(&mut self, now: Ms) {
        self.alone = now;
    }

    /// Guards against a process that was stopped and goes on as if no time had passed. `first`: its next datagram's number. Whether it was.
    pub fn paused(&mut self, now: Ms, gap: Ms, first: u64, others: usize) -> bool {
        let is = gap > PAUSE && self.resumed.is_none();
        if is && others > 0 {
            self.resumed = Some((now, first));
        }
        is
    }

    /// A member's own word came in answer to datagram `echo`. Guards against words from before a pause, which lay in the socket meanwhile.
    pub fn answered(&mut self, now: Ms, echo: u64) {
        if self.resumed.is_some_and(|(_, first)| echo >= first) {
            self.resumed = None;
            self.caught_up = Some(now);
        }
    }

    /// Whether this server is to be shut out, or let in again.
    pub fn judge(&mut self, now: Ms, facts: &Facts) -> Judged {
        let mut judged = Judged::default();
        let target = facts.target();
        if target == facts.acts_on || facts.stopped || target < facts.acts_on {
            self.behind = None;
        } else if self.behind.is_none_or(|(id, _)| id != target) {
            self.behind = Some((target, now + facts.due + self.bounds.behind));
        }
        // What it hears of after a pause comes first; a wave that is still to come is nothing to wait for.
        let fetches =
            self.caught_up.is_some_and(|since| now < since + RESUME) && target > facts.acts_on;
        let waits = facts.held && (facts.stopped || !facts.is_due);
        let behind = self
            .behind
            .filter(|(_, until)| now >= *until)
            .map(|(id, _)| Shut::Behind(id));
        let refused = facts.must && facts.turned_down;
        let out = refused.then_some(Shut::TurnedDown(facts.newest)).or(behind);
        if out.is_some() != self.wants_out.is_some() {
            self.wants_out = out.as_ref().map(|_| now);
            judged.says = true;
        }
        let out = out.filter(|_| self.may(now, facts, &mut judged));
        // Who has nobody to hear is not cut off.
        let silent =
            self.bounds.silent_shuts && now.saturating_sub(self.alone) > self.bounds.silent;
        let cause = match () {
            () if self.by_hand => Some(Shut::ByHand),
            () if self
                .resumed
                .is_some_and(|(resumed, _)| now < resumed + RESUME) =>
            {
                Some(Shut::Paused)
            }
            () if fetches && !waits => Some(Shut::Paused),
            () if out.is_some() => out,
            () if silent => Some(Shut::Silent),
            () => None,
        };
        if cause != self.shut {
            self.shut = cause.clone();
            judged.changed = Some(cause);
            judged.says = true;
        }
        judged
    }

    /// Guards against a version or a network at fault that takes the whole fleet away: of those who would go only so many do, first
    /// those who have gone, then by name, which all reckon alike.
    fn may(&mut self, now: Ms, facts: &Facts, judged: &mut Judged) -> bool {
        if self.wants_out.is_none_or(|since| now < since + SAID) {
            return false;
        }
        let all = facts.others + 1;
        let most = (all as f64 * SHUT_MOST) as usize;
        let may = facts.before < if all >= 3 { most.max(1) } else { most };
        if !may && self.told_too_many != Some(facts.newest) {
            self.told_too_many = Some(facts.newest);
            judged.too_many = Some(facts.newest);
        }
        may
    }

    /// The same with all times reckoned from `now`, and those that are over as one: what acts alike from now on is alike.
    pub fn relative(&self, now: Ms) -> Straggler {
        let since = |at: Ms, most: Ms| now.saturating_sub(at).min(most + 1);
        Straggler {
            behind: self
                .behind
                .map(|(id, until)| (id, until.saturating_sub(now))),
            wants_out: self.wants_out.map(|at| since(at, SAID)),
            alone: since(self.alone, self.bounds.silent),
            resumed: self.resumed.map(|(at, first)| (since(at, RESUME), first)),
            caught_up: self.caught_up.map(|at| since(at, RESUME)),
            ..self.clone()
        }
    }

    /// How long those that are turned away should stay away; none while this server admits.
    pub fn back(&self, now: Ms) -> Option<Ms> {
        let left = self
            .resumed
            .map_or(0, |(resumed, _)| (resumed + RESUME).saturating_sub(now));
        match self.shut.as_ref()? {
            Shut::Paused => Some(left.max(1)),
            // Nobody knows when: another look is worth while after a few rounds of words.
            _ => Some(AWAY),
        }
    }
}
