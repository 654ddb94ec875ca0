//! The level that holds now, and what would change it.
use std::fmt;

use coralstep::{DegradationLevel, Signals, Span, Time};
use serde::Serialize;

use crate::smooth::{Smooth, Steps};
use crate::terms::{Condition, Does, LevelTerms, OneLevel, Signal};

/// Seen for so long at the least before anything may change: guards against the first few RPCs of a fresh server.
const SEEN_LEAST: Span = Span::ms(3_000);
/// A hold by hand lasts so long at the most.
pub const HOLD_MOST: Span = Span::ms(24 * 3_600_000);

/// A figure beside its threshold.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cause {
    pub signal: Signal,
    pub figure: f64,
    pub threshold: f64,
}

/// A change of level: one event.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    pub from: String,
    pub to: String,
    /// The conditions that were met, or that have gone.
    pub causes: Vec<Cause>,
    /// By hand, where that is so.
    pub by_hand: bool,
    /// How long the last level lasted, in milliseconds.
    pub lasted_ms: u64,
    /// What the level does now.
    pub does: Does,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "level {} -> {}", self.from, self.to)?;
        if self.by_hand {
            write!(f, ", by hand")?;
        }
        for cause in &self.causes {
            write!(
                f,
                ", {} {:.2} of {:.2}",
                cause.signal.name(),
                cause.figure,
                cause.threshold
            )?;
        }
        write!(
            f,
            ", after {} ms; now {}",
            self.lasted_ms,
            Words(&self.does)
        )
    }
}

struct Words<'a>(&'a Does);

impl fmt::Display for Words<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let does = self.0;
        if *does == Does::default() {
            return f.write_str("full service");
        }
        let mut words = Vec::new();
        if does.closed {
            words.push("nothing is let in".to_owned());
        } else if does.effects_only {
            words.push("only what has an effect is let in".to_owned());
        } else if does.least_criticality > 0.0 {
            words.push(format!("criticality from {}", does.least_criticality));
        }
        if does.skip_calls {
            words.push("calls are left out where they may be".to_owned());
        }
        if does.hold < 1.0 {
            words.push(format!("hold limit times {}", does.hold));
        }
        if does.value < 1.0 {
            words.push(format!("free value times {}", does.value));
        }
        f.write_str(&words.join(", "))
    }
}

/// How a condition stands.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Standing {
    pub level: String,
    pub signal: Signal,
    /// Smoothed; none where it was never seen.
    pub figure: Option<f64>,
    pub enter: f64,
    pub leave: f64,
    /// For how long it has been met, or gone, in milliseconds.
    pub met_ms: u64,
    pub gone_ms: u64,
    pub enter_ms: u32,
    pub leave_ms: u32,
}

/// What is seen from outside.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    pub level: String,
    pub since_ms: u64,
    /// Until the level may change, by its least stay.
    pub stays_ms: u64,
    /// Held by hand: the time left.
    pub held_ms: Option<u64>,
    pub why: Vec<Cause>,
    pub does: Does,
    pub conditions: Vec<Standing>,
}

/// For how long a condition has been met and gone, in time that was seen to pass.
#[derive(Clone, Copy, Debug, Default)]
struct Timer {
    met: Span,
    gone: Span,
}

pub struct Levels {
    terms: LevelTerms,
    smooth: [Smooth; 8],
    /// Of each level's conditions, in their order.
    timers: Vec<Vec<Timer>>,
    steps: Steps,
    seen: Span,
    at: usize,
    since: Time,
    /// Since the last change, in time that was seen to pass.
    stayed: Span,
    why: Vec<Cause>,
    held: Option<(usize, Time)>,
}

impl Levels {
    /// At the first level, as nothing was observed yet: a cold server borrows nobody's state.
    pub fn new(terms: &LevelTerms, now: Time) -> Result<Levels, String> {
        terms.check()?;
        Ok(Levels {
            timers: terms
                .list
                .iter()
                .map(|level| vec![Timer::default(); level.when.len()])
                .collect(),
            terms: terms.clone(),
            smooth: Default::default(),
            steps: Steps::default(),
            seen: Span::ZERO,
            at: 0,
            since: now,
            stayed: Span(u64::MAX),
            why: Vec::new(),
            held: None,
        })
    }

    /// Other terms from now on. The level of the same name goes on, else the first does; what was observed is kept.
    pub fn reload(&mut self, terms: &LevelTerms, now: Time) -> Result<Option<Change>, String> {
        terms.check()?;
        let name = self.level().name.clone();
        let before = self.does();
        self.timers = terms
            .list
            .iter()
            .map(|level| vec![Timer::default(); level.when.len()])
            .collect();
        self.terms = terms.clone();
        self.held = None;
        let at = self.terms.list.iter().position(|level| level.name == name);
        self.at = at.unwrap_or(0);
        if at.is_some() && self.does() == before {
            return Ok(None);
        }
        let to = self.at;
        Ok(Some(self.turn(now, name, to, Vec::new(), true)))
    }

    fn level(&self) -> &OneLevel {
        &self.terms.list[self.at]
    }

    pub fn name(&self) -> &str {
        &self.level().name
    }

    pub fn does(&self) -> Does {
        self.level().does
    }

    fn stay(&self) -> Span {
        Span::ms(u64::from(self.terms.stay_ms))
    }

    fn figure(&self, signal: Signal) -> Option<f64> {
        self.smooth[signal as usize].value()
    }

    /// What the decisions are to do at this level; `back` is when one that is pushed back for it may return: not before the
    /// level can change.
    pub fn effect(&self) -> DegradationLevel {
        let does = self.does();
        DegradationLevel {
            min_priority_weight: does.least_criticality,
            reject_idempotent: does.effects_only,
            reject_all: does.closed,
            fenced: false,
            skip_calls: does.skip_calls,
            queue_limit_factor: does.hold,
            load_report_factor: does.value,
            retry_after: if self.at == 0 {
                Span::ZERO
            } else {
                self.stay() - self.stayed
            },
        }
    }

    /// One beat's figures. A change of level, where there is one.
    pub fn observe(&mut self, now: Time, signals: &Signals) -> Option<Change> {
        let step = self.steps.to(now);
        let half = Span::ms(u64::from(self.terms.smooth_ms));
        for signal in Signal::ALL {
            self.smooth[signal as usize].add(signal.of(signals), step, half);
        }
        self.seen = self.seen + step;
        self.stayed = self.stayed + step;
        for level in 0..self.terms.list.len() {
            for at in 0..self.terms.list[level].when.len() {
                let condition = self.terms.list[level].when[at];
                let figure = self.figure(condition.signal);
                let timer = &mut self.timers[level][at];
                // A figure that was never seen is no cause; one that is no longer seen stays what it was.
                let met = figure.is_some_and(|figure| figure > condition.enter);
                let gone = figure.is_none_or(|figure| figure <= condition.leave);
                timer.met = if met { timer.met + step } else { Span::ZERO };
                timer.gone = if gone { timer.gone + step } else { Span::ZERO };
            }
        }
        if let Some((level, until)) = self.held {
            if now < until {
                return (level != self.at).then(|| self.turn_to(now, level, Vec::new(), true));
            }
            self.held = None;
        }
        if self.seen < SEEN_LEAST || self.stayed < self.stay() {
            return None;
        }
        let (to, causes) = self.next()?;
        Some(self.turn_to(now, to, causes, false))
    }

    /// Straight to the worst level that has cause; back one step at a time.
    fn next(&self) -> Option<(usize, Vec<Cause>)> {
        for level in (self.at + 1..self.terms.list.len()).rev() {
            let causes = self.causes(level, |condition, timer| {
                timer.met >= Span::ms(u64::from(condition.enter_ms))
            });
            if !causes.is_empty() {
                return Some((level, causes));
            }
        }
        let when = &self.level().when;
        let gone = when.iter().zip(&self.timers[self.at]);
        let left = self.at > 0
            && gone
                .clone()
                .all(|(condition, timer)| timer.gone >= Span::ms(u64::from(condition.leave_ms)));
        left.then(|| (self.at - 1, self.causes(self.at, |_, _| true)))
    }

    fn causes(&self, level: usize, which: impl Fn(&Condition, &Timer) -> bool) -> Vec<Cause> {
        let entering = level > self.at;
        let conditions = self.terms.list[level].when.iter().zip(&self.timers[level]);
        let cause = |condition: &Condition| Cause {
            signal: condition.signal,
            figure: self.figure(condition.signal).unwrap_or(0.0),
            threshold: if entering {
                condition.enter
            } else {
                condition.leave
            },
        };
        conditions
            .filter(|(condition, timer)| which(condition, timer))
            .map(|(condition, _)| cause(condition))
            .collect()
    }

    fn turn_to(&mut self, now: Time, to: usize, causes: Vec<Cause>, by_hand: bool) -> Change {
        let from = self.level().name.clone();
        self.turn(now, from, to, causes, by_hand)
    }

    fn turn(
        &mut self,
        now: Time,
        from: String,
        to: usize,
        causes: Vec<Cause>,
        by_hand: bool,
    ) -> Change {
        let lasted_ms = (now - self.since).0 / 10;
        (self.at, self.since, self.stayed, self.why) = (to, now, Span::ZERO, causes.clone());
        Change {
            from,
            to: self.name().to_owned(),
            causes,
            by_hand,
            lasted_ms,
            does: self.does(),
        }
    }

    /// Holds a level by hand until `span` has passed; the change comes with the next beat.
    pub fn hold(&mut self, now: Time, name: &str, span: Span) -> Result<(), String> {
        let level = self.terms.list.iter().position(|level| level.name == name);
        let level = level.ok_or_else(|| format!("no level {name:?}"))?;
        if span == Span::ZERO || span > HOLD_MOST {
            return Err("a hold lasts from a moment to 24 hours".to_owned());
        }
        self.held = Some((level, now + span));
        Ok(())
    }

    /// Ends a hold. What has cause decides from then on, after the least stay; `false` where nothing was held.
    pub fn release(&mut self) -> bool {
        self.held.take().is_some()
    }

    pub fn view(&self, now: Time) -> View {
        let mut conditions = Vec::new();
        for (level, timers) in self.terms.list.iter().zip(&self.timers) {
            for (condition, timer) in level.when.iter().zip(timers) {
                conditions.push(Standing {
                    level: level.name.clone(),
                    signal: condition.signal,
                    figure: self.figure(condition.signal),
                    enter: condition.enter,
                    leave: condition.leave,
                    met_ms: timer.met.0 / 10,
                    gone_ms: timer.gone.0 / 10,
                    enter_ms: condition.enter_ms,
                    leave_ms: condition.leave_ms,
                });
            }
        }
        View {
            level: self.name().to_owned(),
            since_ms: (now - self.since).0 / 10,
            stays_ms: (self.stay() - self.stayed).0 / 10,
            held_ms: self
                .held
                .filter(|(_, until)| now < *until)
                .map(|(_, until)| (until - now).0 / 10),
            why: self.why.clone(),
            does: self.does(),
            conditions,
        }
    }
}
