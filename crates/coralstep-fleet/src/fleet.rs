//! One server's part in its fleet: members, riders, the version it acts on, and whether it is shut out. What it leads to (datagrams,
//! events) is kept until it is fetched.
use std::collections::HashMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::Ms;
use crate::audit::{Chain, Entry, Filter, Others, Row};
use crate::clock::Clock;
use crate::envelope::{self, Datagram, Fault, Rider, SENT_MOST};
use crate::members::{Change, Member, Members, State};
use crate::versions::{Id, Letter, Version, Versions, worse};
use crate::words::{OWN, SOURCES_MOST, Word, Words};

/// Part of the fleet that may be shut out at once for being behind; beyond it the version or the network is at fault.
pub const SHUT_MOST: f64 = 0.3;
/// A gap of so long between two ticks is a pause of this process: what it knew before may be long over.
pub const PAUSE: Ms = 2_000;
/// After a pause it admits nothing until a member that holds what it acts on was heard, or for so long at the most.
pub const RESUME: Ms = 3_000;
/// Who would shut itself out says so first, and waits so long to hear who else would: then the same few go, whoever reckons.
const SAID: Ms = 2_000;
/// Advice of a server that is shut out and can't tell for how long.
const AWAY: Ms = 5_000;
/// Letters that wait to be sent, and events to be fetched.
const QUEUE_MOST: usize = 1_024;
/// Bytes of a datagram that are not parts.
const HEAD: usize = 160;

#[derive(Clone, Debug)]
pub struct FleetTerms {
    /// The fleet's name.
    pub name: String,
    pub own: Member,
    /// Where others may be found at the start.
    pub peers: Vec<SocketAddr>,
    /// Behind what is to be acted on for longer than that: shut out.
    pub behind: Ms,
    /// Without any other member for longer than that: shut out where `silent_shuts`.
    pub silent: Ms,
    pub silent_shuts: bool,
    pub seed: u64,
}

/// Why a server admits nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
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

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Member(Member, State),
    /// The others took this server for gone.
    Back,
    /// Two processes have one name.
    NameHeld(Member, Member),
    Held(Id),
    ActsOn(Id),
    TurnedDown(Id, String),
    Fork(Id, Id),
    /// A wave goes no further, and why.
    Stopped(Id, String),
    Shut(Shut),
    LetIn,
    /// More would be shut out than may be.
    TooMany(Id),
    /// A server's record is not what it was.
    RecordChanged(String),
    /// A member's clock is too far ahead to be believed.
    ClockOff(String),
    Paused(Ms),
}

/// The version that this server acts on.
#[derive(Clone, Copy, Debug, Default)]
struct Acting {
    id: Id,
    since_ms: u64,
    /// Counts at its start, and now.
    base: (u64, u64),
    now: (u64, u64),
}

impl Acting {
    fn counts(&self) -> (u64, u64) {
        let rpcs = self.now.0.saturating_sub(self.base.0);
        (rpcs, self.now.1.saturating_sub(self.base.1).min(rpcs))
    }
}

pub struct Fleet {
    terms: FleetTerms,
    fleet: u32,
    clock: Clock,
    chance: SmallRng,
    members: Members,
    words: Words,
    versions: Versions,
    chain: Chain,
    others: Others,
    acting: Acting,
    number: u64,
    leaving: bool,
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
    /// Datagrams sent, and the last of each sender's that was heard.
    spoken: u64,
    echoes: HashMap<SocketAddr, u64>,
    ticked: Option<Ms>,
    own_due: Ms,
    stopped: Option<Id>,
    told_too_many: Option<Id>,
    clock_off: Vec<String>,
    send: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
}

impl Fleet {
    /// `wall_ms`: the Unix clock, for people and for the order across servers; nothing else rests on it.
    pub fn new(terms: FleetTerms, now: Ms, wall_ms: u64) -> Fleet {
        let clock = Clock::new(terms.seed ^ terms.own.started);
        let acting = Acting { since_ms: clock.stamp(wall_ms), ..Acting::default() };
        Fleet {
            fleet: envelope::fleet(&terms.name),
            members: Members::new(terms.own.clone(), &terms.peers, terms.seed),
            chance: SmallRng::seed_from_u64(terms.seed ^ 1),
            words: Words::default(),
            versions: Versions::default(),
            chain: Chain::default(),
            others: Others::default(),
            number: 0,
            leaving: false,
            by_hand: false,
            shut: None,
            behind: None,
            wants_out: None,
            alone: now,
            resumed: None,
            caught_up: None,
            spoken: 0,
            echoes: HashMap::new(),
            ticked: None,
            own_due: now,
            stopped: None,
            told_too_many: None,
            clock_off: Vec::new(),
            send: Vec::new(),
            events: Vec::new(),
            clock,
            acting,
            terms,
        }
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < QUEUE_MOST {
            self.events.push(event);
        }
    }

    /// A datagram came.
    pub fn heard(&mut self, now: Ms, wall_ms: u64, bytes: &[u8]) -> Result<(), Fault> {
        self.paused(now);
        let datagram = Datagram::read(bytes, self.fleet)?;
        if !self.clock.heard(wall_ms, datagram.stamp_ms) && !self.clock_off.contains(&datagram.from.name) {
            if self.clock_off.len() >= QUEUE_MOST {
                self.clock_off.clear();
            }
            self.clock_off.push(datagram.from.name.clone());
            self.event(Event::ClockOff(datagram.from.name.clone()));
        }
        if self.echoes.len() >= SOURCES_MOST {
            self.echoes.clear();
        }
        self.echoes.insert(datagram.from.at, datagram.number);
        // Not by the members: a large fleet is taken for gone one by one, which takes minutes.
        self.alone = now;
        for (rider, bytes) in &datagram.parts {
            match rider {
                Rider::Members => self.members.heard(now, bytes),
                Rider::Words => self.words_heard(now, &datagram, bytes),
                Rider::Versions => {
                    let Ok(letter) = postcard::from_bytes::<Letter>(bytes) else {
                        return Err(Fault::Garbled);
                    };
                    let forks = self.versions.forks().len();
                    let (answers, whole) = self.versions.heard(now, letter);
                    if let Some(id) = whole {
                        self.event(Event::Held(id))
                    }
                    if let Some((a, b)) = self.versions.forks().get(forks).copied() {
                        self.event(Event::Fork(a, b));
                    }
                    answers.into_iter().for_each(|answer| self.letter(wall_ms, datagram.from.at, &answer));
                }
            }
        }
        self.collect(wall_ms, now);
        Ok(())
    }

    fn words_heard(&mut self, now: Ms, datagram: &Datagram, bytes: &[u8]) {
        let own = self.members.own().clone();
        for word in self.words.heard(now, &own, bytes) {
            // Guards against words from before a pause, which lay in the socket meanwhile: the sender's own word counts, and only in answer
            // to what was said since.
            if self.resumed.is_some_and(|(_, first)| datagram.echo >= first) && word.of == datagram.from {
                self.resumed = None;
                self.caught_up = Some(now);
            }
            let at = self.words.of(&word.of).map_or(now, |heard| heard.at);
            if !self.others.heard(at, &word) {
                self.event(Event::RecordChanged(word.of.name.clone()));
            }
            // A server that is shut out is listened to only for what it holds.
            self.versions.heard_of(word.knows);
        }
    }

    /// A datagram to `to`, without parts yet.
    fn datagram(&mut self, wall_ms: u64, to: SocketAddr) -> Datagram {
        let mut datagram = Datagram::new(self.fleet, self.members.own().clone(), self.clock.stamp(wall_ms));
        self.spoken += 1;
        (datagram.number, datagram.echo) = (self.spoken, self.echoes.get(&to).copied().unwrap_or(0));
        datagram
    }

    fn letter(&mut self, wall_ms: u64, to: SocketAddr, letter: &Letter) {
        let mut datagram = self.datagram(wall_ms, to);
        datagram.parts.push((Rider::Versions, postcard::to_allocvec(letter).unwrap_or_default()));
        if self.send.len() < QUEUE_MOST {
            self.send.push((to, datagram.bytes()));
        }
    }

    /// What the members want sent goes out, with words in the room that is left.
    fn collect(&mut self, wall_ms: u64, now: Ms) {
        for (to, bytes) in self.members.send() {
            let mut datagram = self.datagram(wall_ms, to.at);
            let room = SENT_MOST.saturating_sub(HEAD + bytes.len());
            datagram.parts.push((Rider::Members, bytes));
            datagram.parts.extend(self.words.said(now, room).map(|words| (Rider::Words, words)));
            if self.send.len() < QUEUE_MOST {
                self.send.push((to.at, datagram.bytes()));
            }
        }
        for change in self.members.changes() {
            match change {
                Change::Up(member) => {
                    let twin = self
                        .members
                        .present()
                        .find(|other| other.name == member.name && other.at != member.at);
                    let own = self.members.own();
                    let twin =
                        twin.or((own.name == member.name && own.at != member.at).then_some(own)).cloned();
                    twin.into_iter().for_each(|twin| self.event(Event::NameHeld(twin, member.clone())));
                    self.event(Event::Member(member, State::Alive));
                }
                Change::Down(member) => {
                    let left = self.words.of(&member).is_some_and(|heard| heard.word.leaving);
                    self.event(Event::Member(member, if left { State::Leaving } else { State::Gone }));
                }
                Change::Back(_) => self.event(Event::Back),
            }
        }
    }

    /// Guards against a process that was stopped and goes on as if no time had passed.
    fn paused(&mut self, now: Ms) {
        let gap = self.ticked.map_or(0, |ticked| now.saturating_sub(ticked));
        if gap > PAUSE && self.resumed.is_none() {
            self.ticked = Some(now);
            self.event(Event::Paused(gap));
            if self.members.count() > 0 {
                self.resumed = Some((now, self.spoken + 1));
                self.judge(now);
            }
        }
    }

    /// Lets time pass; `counts`: RPCs decided so far, and of these those with a result.
    pub fn tick(&mut self, now: Ms, wall_ms: u64, counts: (u64, u64)) {
        self.paused(now);
        self.ticked = Some(now);
        self.acting.now = counts;
        self.members.tick(now);
        self.words.forget(now);
        if now >= self.own_due {
            self.own_due = now + OWN;
            self.say();
        }
        let chance = self.chance.random_range(0.0..1.0);
        let words = &self.words;
        let present: Vec<&Member> = self.members.present().collect();
        let holders = |id: Id| {
            let holds = |member: &&&Member| {
                words.of(member).is_some_and(|heard| heard.word.knows == id || heard.word.acts_on == id)
            };
            present.iter().filter(holds).map(|member| (**member).clone()).collect()
        };
        let asks = self.versions.ask(now, holders, chance);
        asks.into_iter().for_each(|(of, letter)| self.letter(wall_ms, of.at, &letter));
        self.judge(now);
        self.collect(wall_ms, now);
    }

    /// Makes its own word anew.
    fn say(&mut self) {
        self.number += 1;
        let (rpcs, ok) = self.acting.counts();
        let (chain, entries) = self.chain.head();
        let knows = self.versions.newest_held();
        let turned_down = self.versions.why_not(knows).map(|why| (knows, why.to_owned()));
        self.words.own(Word {
            of: self.members.own().clone(),
            number: self.number,
            leaving: self.leaving,
            shut: self.shut.is_some(),
            wants_out: self.wants_out.is_some(),
            acts_on: self.acting.id,
            since_ms: self.acting.since_ms,
            rpcs,
            ok,
            before: self.chain.last(),
            knows,
            turned_down,
            chain,
            entries,
        });
    }

    /// Whether this server is to be shut out, or let in again.
    fn judge(&mut self, now: Ms) {
        let wanted = self.versions.wanted().map(|(id, _)| id).unwrap_or_default();
        let newest = self.versions.newest();
        let must = self.versions.held(newest).is_some_and(|version| version.must);
        let turned_down = self.versions.why_not(newest).is_some();
        // What it should act on by now: its wave may be still to come, or be stopped.
        let target = if turned_down { wanted } else { newest };
        if target == self.acting.id || self.stopped == Some(target) || target < self.acting.id {
            self.behind = None;
        } else if self.behind.is_none_or(|(id, _)| id != target) {
            let due = self
                .versions
                .held(target)
                .and_then(|version| version.due_ms(&self.terms.own.name))
                .unwrap_or(0);
            self.behind = Some((target, now + due + self.terms.behind));
        }
        // What it hears of after a pause comes first; a wave that is still to come is nothing to wait for.
        let fetches = self.caught_up.is_some_and(|since| now < since + RESUME) && target > self.acting.id;
        let waits = self.versions.held(target).is_some()
            && (self.stopped == Some(target) || !self.is_due(now, target));
        let behind = self.behind.filter(|(_, until)| now >= *until).map(|(id, _)| Shut::Behind(id));
        let out = (must && turned_down).then_some(Shut::TurnedDown(newest)).or(behind);
        if out.is_some() != self.wants_out.is_some() {
            self.wants_out = out.as_ref().map(|_| now);
            self.say();
        }
        let out = out.filter(|_| self.may_shut(now, newest));
        let cause = match () {
            () if self.by_hand => Some(Shut::ByHand),
            () if self.resumed.is_some_and(|(resumed, _)| now < resumed + RESUME) => Some(Shut::Paused),
            () if fetches && !waits => Some(Shut::Paused),
            () if out.is_some() => out,
            // Who has nobody to hear is not cut off.
            () if self.terms.silent_shuts
                && !self.terms.peers.is_empty()
                && now.saturating_sub(self.alone) > self.terms.silent =>
            {
                Some(Shut::Silent)
            }
            () => None,
        };
        if cause != self.shut {
            self.shut = cause.clone();
            self.event(cause.map_or(Event::LetIn, Event::Shut));
            self.say();
        }
    }

    /// Guards against a version or a network at fault that takes the whole fleet away: of those who would go only so many do, first
    /// those who have gone, then by name, which all reckon alike.
    fn may_shut(&mut self, now: Ms, id: Id) -> bool {
        if self.wants_out.is_none_or(|since| now < since + SAID) {
            return false;
        }
        let own = (self.shut.is_none(), self.terms.own.name.as_str());
        let words =
            self.members.present().filter_map(|member| self.words.of(member)).map(|heard| &heard.word);
        let before = words.filter(|word| word.wants_out && (!word.shut, word.of.name.as_str()) < own).count();
        let all = self.members.count() + 1;
        let most = (all as f64 * SHUT_MOST) as usize;
        let may = before < if all >= 3 { most.max(1) } else { most };
        if !may && self.told_too_many != Some(id) {
            self.told_too_many = Some(id);
            self.event(Event::TooMany(id));
        }
        may
    }

    /// Whether this server's wave of a version that it holds has come: by its own clock since the version came here (wall clocks may be an hour
    /// apart), or because others of the same or a later wave act on it. Guards against a server that was away, and would begin to count
    /// where all others are long done.
    fn is_due(&self, now: Ms, id: Id) -> bool {
        let (Some(version), Some(since)) = (self.versions.held(id), self.versions.since(id)) else {
            return false;
        };
        let Some(wave) = version.wave(&self.terms.own.name) else { return false };
        let due = version.due_ms(&self.terms.own.name).unwrap_or(0);
        let reached = |word: &Word| {
            word.acts_on == id && version.wave(&word.of.name).is_some_and(|other| other >= wave)
        };
        since == 0 || now >= since.saturating_add(due) || self.words.all().any(|heard| reached(&heard.word))
    }

    /// The version to be checked and taken now, where there is one: its wave is due and was not stopped.
    pub fn pending(&mut self, now: Ms) -> Option<(Id, Version)> {
        let (id, version) = self.versions.wanted()?;
        if id <= self.acting.id || self.leaving {
            return None;
        }
        let version = version.clone();
        if !self.is_due(now, id) {
            return None;
        }
        // A wave stops where those before it turned it down or do worse; the first has none before it.
        let wave = version.wave(&self.terms.own.name).unwrap_or(0);
        let (mut here, mut there, mut refused) = ((0, 0), (0, 0), 0);
        for heard in self.words.all().map(|heard| &heard.word) {
            let of_it = heard.acts_on == id;
            let sum = if of_it { &mut here } else { &mut there };
            (sum.0, sum.1) = (sum.0 + heard.ok, sum.1 + heard.rpcs);
            refused += u32::from(heard.turned_down.as_ref().is_some_and(|(what, _)| *what == id));
        }
        let why = match () {
            () if wave == 0 => None,
            () if refused > 0 => Some(format!("{refused} turned it down")),
            () if worse(here, there) => {
                Some(format!("{} of {} ok, elsewhere {} of {}", here.0, here.1, there.0, there.1))
            }
            () => None,
        };
        let Some(why) = why else { return Some((id, version)) };
        if self.stopped != Some(id) {
            self.stopped = Some(id);
            self.event(Event::Stopped(id, why));
        }
        None
    }

    /// It acts on `id` from now on.
    pub fn took(&mut self, now: Ms, wall_ms: u64, id: Id) {
        let stamp = self.clock.stamp(wall_ms);
        let (rpcs, _) = self.acting.counts();
        self.chain.add(self.acting.id, self.acting.since_ms, stamp, rpcs);
        self.acting = Acting { id, since_ms: stamp, base: self.acting.now, now: self.acting.now };
        self.event(Event::ActsOn(id));
        self.judge(now);
        self.say();
    }

    pub fn turned_down(&mut self, now: Ms, id: Id, why: &str) {
        self.versions.turn_down(id, why);
        self.event(Event::TurnedDown(id, why.to_owned()));
        self.judge(now);
        self.say();
    }

    /// What is to be kept over a restart: the version that it acts on, and its record.
    pub fn record(&self) -> (Vec<u8>, Vec<Vec<u8>>) {
        let acts_on = self.versions.blob(self.acting.id).unwrap_or_default().to_vec();
        (
            acts_on,
            self.chain.entries().map(|entry| postcard::to_allocvec(entry).unwrap_or_default()).collect(),
        )
    }

    /// Takes in what was kept; the version is to be checked again, and its record is believed only where it hangs together.
    pub fn restore(&mut self, acts_on: &[u8], entries: &[Vec<u8>]) -> Option<Id> {
        let entries: Option<Vec<Entry>> =
            entries.iter().map(|entry| postcard::from_bytes(entry).ok()).collect();
        match entries.and_then(|entries| Chain::resume(entries).ok()) {
            Some(chain) => self.chain = chain,
            None => self.event(Event::RecordChanged(self.terms.own.name.clone())),
        }
        self.versions.restore(acts_on)
    }

    /// An operator publishes here.
    pub fn publish(
        &mut self,
        now: Ms,
        wall_ms: u64,
        content: String,
        must: bool,
        waves: Vec<f32>,
        pause_ms: u64,
    ) -> Result<Id, String> {
        let newest = self.versions.newest();
        let version = Version {
            number: newest.number + 1,
            replaces: newest,
            must,
            by: self.terms.own.name.clone(),
            at_ms: self.clock.stamp(wall_ms),
            waves,
            pause_ms,
            content,
        };
        let id = self.versions.publish(now, version)?;
        self.event(Event::Held(id));
        self.say();
        Ok(id)
    }

    pub fn by_hand(&mut self, now: Ms, shut: bool) {
        self.by_hand = shut;
        self.judge(now);
    }

    /// The notice to leave: told before the drain.
    pub fn leave(&mut self, now: Ms, wall_ms: u64) {
        self.leaving = true;
        self.say();
        self.members.leave(now);
        self.collect(wall_ms, now);
    }

    /// How long those that are turned away should stay away; none while this server admits. To be asked before each RPC: a pause of the
    /// process is seen here first.
    pub fn back(&mut self, now: Ms) -> Option<Ms> {
        self.paused(now);
        let left = self.resumed.map_or(0, |(resumed, _)| (resumed + RESUME).saturating_sub(now));
        match self.shut.as_ref()? {
            Shut::Paused => Some(left.max(1)),
            // Nobody knows when: another look is worth while after a few rounds of words.
            _ => Some(AWAY),
        }
    }

    pub fn send(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.send)
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn shut(&self) -> Option<&Shut> {
        self.shut.as_ref()
    }

    pub fn acts_on(&self) -> Id {
        self.acting.id
    }

    pub fn own(&self) -> &Member {
        self.members.own()
    }

    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// All members by name: where, in what state, acting on what, and how old that knowledge is. This server is one of them.
    pub fn members(&self, now: Ms) -> Vec<(Member, State, Option<Id>, u64)> {
        let own_state = match () {
            () if self.leaving => State::Leaving,
            () if self.members.count() == 0 => State::Joining,
            () => State::Alive,
        };
        let mut all = vec![(self.members.own().clone(), own_state, Some(self.acting.id), 0)];
        for (member, state) in self.members.all() {
            let heard = self.words.of(member).filter(|heard| heard.word.of == *member);
            let state = if heard.is_some_and(|heard| heard.word.leaving) { State::Leaving } else { state };
            let age = heard.map_or(u64::MAX, |heard| now.saturating_sub(heard.at));
            all.push((member.clone(), state, heard.map(|heard| heard.word.acts_on), age));
        }
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Members whose reports count: there, current, not shut out.
    pub fn current(&self) -> impl Iterator<Item = &Member> {
        let newest = self.versions.newest();
        self.members.present().filter(move |member| {
            let heard = self.words.of(member).map(|heard| &heard.word);
            heard.is_some_and(|word| {
                !word.shut && !word.leaving && (word.acts_on == newest || word.knows == newest)
            })
        })
    }

    pub fn audit(&self, now: Ms, filter: &Filter) -> Vec<Row> {
        let server = || self.terms.own.name.clone();
        let row = |version, from_ms, to_ms, rpcs| Row {
            server: server(),
            version,
            from_ms,
            to_ms,
            rpcs,
            age_ms: 0,
            known: true,
        };
        let past = self
            .chain
            .entries()
            .map(|entry| row(entry.version, entry.from_ms, Some(entry.to_ms), entry.rpcs));
        let present = row(self.acting.id, self.acting.since_ms, None, self.acting.counts().0);
        let mut rows: Vec<Row> =
            past.chain([present]).chain(self.others.rows(now)).filter(|row| filter.takes(row)).collect();
        rows.sort_by(|a, b| (&a.server, a.from_ms).cmp(&(&b.server, b.from_ms)));
        rows
    }
}
