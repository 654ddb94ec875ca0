//! One server's part in its fleet: members, riders, the version it acts on, and whether it is shut out. What it leads to (datagrams,
//! events) is kept until it is fetched.
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Ms;
use crate::audit::{Chain, Entry, Filter, Others, Row};
use crate::clock::Clock;
use crate::envelope::{self, Datagram, Fault, Rider, SENT_MOST};
use crate::members::{Change, Member, Members, State};
use crate::rider::{Letter as RiderLetter, Riding, View};
use crate::spread::SOURCES_MOST;
use crate::straggler::{Bounds, Facts, Shut, Straggler};
use crate::versions::{Id, Letter, Version, Versions, worse};
use crate::words::{ORDERS_MOST, OWN, Order, Word, Words};

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
    straggler: Straggler,
    /// What operators want of servers, the newest for each; and those given here.
    ordered: BTreeMap<String, Order>,
    orders: Vec<Order>,
    /// Datagrams sent, and the last of each sender's that was heard.
    spoken: u64,
    echoes: HashMap<SocketAddr, u64>,
    ticked: Option<Ms>,
    own_due: Ms,
    stopped: Option<Id>,
    clock_off: Vec<String>,
    riders: Vec<Riding>,
    /// Whose turn it is to fill a datagram first: the words', then each rider's.
    turn: usize,
    send: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
}

impl Fleet {
    /// `wall_ms`: the Unix clock, for people and for the order across servers; nothing else rests on it.
    pub fn new(terms: FleetTerms, now: Ms, wall_ms: u64) -> Fleet {
        let clock = Clock::new(terms.seed ^ terms.own.started);
        let acting = Acting {
            since_ms: clock.stamp(wall_ms),
            ..Acting::default()
        };
        // Who has nobody to hear is not cut off.
        let silent_shuts = terms.silent_shuts && !terms.peers.is_empty();
        let bounds = Bounds {
            behind: terms.behind,
            silent: terms.silent,
            silent_shuts,
        };
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
            straggler: Straggler::new(bounds, now),
            ordered: BTreeMap::new(),
            orders: Vec::new(),
            spoken: 0,
            echoes: HashMap::new(),
            ticked: None,
            own_due: now,
            stopped: None,
            clock_off: Vec::new(),
            riders: Vec::new(),
            turn: 0,
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
        if !self.clock.heard(wall_ms, datagram.stamp_ms)
            && !self.clock_off.contains(&datagram.from.name)
        {
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
        self.straggler.heard(now);
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
                    answers
                        .into_iter()
                        .for_each(|answer| self.letter(wall_ms, datagram.from.at, &answer));
                }
                other => {
                    let seat = self
                        .riders
                        .iter()
                        .find(|(seat, _)| [seat.spread(), seat.letter()].contains(other));
                    let Some((seat, rider)) = seat.cloned() else {
                        continue;
                    };
                    if *other == seat.spread() {
                        rider.borrow_mut().heard(now, self.members.own(), bytes);
                    } else {
                        let letters = rider.borrow_mut().letter(now, &datagram.from, bytes);
                        self.post(wall_ms, seat.letter(), letters);
                    }
                }
            }
        }
        self.collect(wall_ms, now);
        Ok(())
    }

    fn words_heard(&mut self, now: Ms, datagram: &Datagram, bytes: &[u8]) {
        let own = self.members.own().clone();
        for word in self.words.heard(now, &own, bytes) {
            if word.of == datagram.from {
                self.straggler.answered(now, datagram.echo);
            }
            word.orders.iter().for_each(|order| self.order(order));
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
        let mut datagram = Datagram::new(
            self.fleet,
            self.members.own().clone(),
            self.clock.stamp(wall_ms),
        );
        self.spoken += 1;
        (datagram.number, datagram.echo) =
            (self.spoken, self.echoes.get(&to).copied().unwrap_or(0));
        datagram
    }

    /// Lets `rider` ride from now on.
    pub fn ride(&mut self, rider: Riding) {
        self.riders.push(rider);
    }

    /// A rider's letters go out, each as a datagram of its own.
    fn post(&mut self, wall_ms: u64, rider: Rider, letters: Vec<RiderLetter>) {
        for (to, bytes) in letters {
            let mut datagram = self.datagram(wall_ms, to);
            datagram.parts.push((rider, bytes));
            if self.send.len() < QUEUE_MOST {
                self.send.push((to, datagram.bytes()));
            }
        }
    }

    /// The riders' time passes.
    fn ride_on(&mut self, now: Ms, wall_ms: u64) {
        if self.riders.is_empty() {
            return;
        }
        let riders = self.riders.clone();
        let letters: Vec<_> = {
            let view = View {
                own: self.members.own(),
                present: self.members.present().collect(),
                current: self.current().collect(),
                shut: self
                    .members
                    .present()
                    .filter(|member| self.is_out(member))
                    .collect(),
                leaving: self.leaving || self.straggler.shut().is_some(),
            };
            riders
                .iter()
                .map(|(seat, rider)| (seat.letter(), rider.borrow_mut().tick(now, &view)))
                .collect()
        };
        letters
            .into_iter()
            .for_each(|(seat, letters)| self.post(wall_ms, seat, letters));
    }

    /// What datagrams have room for beside the members' part: words and what riders spread, in turn, so that none starves.
    fn filled(&mut self, now: Ms, mut room: usize) -> Vec<(Rider, Vec<u8>)> {
        let all = self.riders.len() + 1;
        self.turn = (self.turn + 1) % all;
        let mut parts = Vec::new();
        for at in 0..all {
            let left = all - at;
            // Whoever comes first leaves a part for the others, the last takes what is left.
            let may = if left == 1 { room } else { room * 3 / 5 };
            let part = match (self.turn + at) % all {
                0 => self.words.said(now, may).map(|bytes| (Rider::Words, bytes)),
                rider => {
                    let (seat, rider) = &self.riders[rider - 1];
                    rider
                        .borrow_mut()
                        .said(now, may)
                        .map(|bytes| (seat.spread(), bytes))
                }
            };
            if let Some(part) = part {
                room = room.saturating_sub(part.1.len() + 4);
                parts.push(part);
            }
        }
        parts
    }

    fn letter(&mut self, wall_ms: u64, to: SocketAddr, letter: &Letter) {
        let mut datagram = self.datagram(wall_ms, to);
        datagram.parts.push((
            Rider::Versions,
            postcard::to_allocvec(letter).unwrap_or_default(),
        ));
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
            datagram.parts.extend(self.filled(now, room));
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
                    let twin = twin
                        .or((own.name == member.name && own.at != member.at).then_some(own))
                        .cloned();
                    twin.into_iter()
                        .for_each(|twin| self.event(Event::NameHeld(twin, member.clone())));
                    self.event(Event::Member(member, State::Alive));
                }
                Change::Down(member) => {
                    let left = self
                        .words
                        .of(&member)
                        .is_some_and(|heard| heard.word.leaving);
                    self.event(Event::Member(
                        member,
                        if left { State::Leaving } else { State::Gone },
                    ));
                }
                Change::Back(_) => self.event(Event::Back),
            }
        }
    }

    fn paused(&mut self, now: Ms) {
        let gap = self.ticked.map_or(0, |ticked| now.saturating_sub(ticked));
        if self
            .straggler
            .paused(now, gap, self.spoken + 1, self.members.count())
        {
            self.ticked = Some(now);
            self.event(Event::Paused(gap));
            self.judge(now);
        }
    }

    /// An operator's order came, from here or by way of another server.
    fn order(&mut self, order: &Order) {
        let known = self
            .ordered
            .get(&order.server)
            .map_or(0, |known| known.number);
        if order.number <= known || (known == 0 && self.ordered.len() >= SOURCES_MOST) {
            return;
        }
        self.ordered.insert(order.server.clone(), order.clone());
        if order.server == self.terms.own.name {
            self.straggler.by_hand(order.shut);
        }
    }

    /// Lets time pass; `counts`: RPCs decided so far, and of these those with a result.
    pub fn tick(&mut self, now: Ms, wall_ms: u64, counts: (u64, u64)) {
        self.paused(now);
        self.ticked = Some(now);
        self.acting.now = counts;
        self.members.tick(now);
        if now >= self.own_due {
            self.own_due = now + OWN;
            self.words.forget(now);
            self.say();
        }
        let chance = self.chance.random_range(0.0..1.0);
        let (words, members) = (&self.words, &self.members);
        let holders = |id: Id| {
            let holds = |member: &&Member| {
                words
                    .of(member)
                    .is_some_and(|heard| heard.word.knows == id || heard.word.acts_on == id)
            };
            members.present().filter(holds).cloned().collect()
        };
        let asks = self.versions.ask(now, holders, chance);
        asks.into_iter()
            .for_each(|(of, letter)| self.letter(wall_ms, of.at, &letter));
        self.judge(now);
        self.ride_on(now, wall_ms);
        self.collect(wall_ms, now);
    }

    /// Makes its own word anew.
    fn say(&mut self) {
        self.number += 1;
        let (rpcs, ok) = self.acting.counts();
        let (chain, entries) = self.chain.head();
        let knows = self.versions.newest_held();
        let turned_down = self
            .versions
            .why_not(knows)
            .map(|why| (knows, why.to_owned()));
        self.words.own(Word {
            of: self.members.own().clone(),
            number: self.number,
            leaving: self.leaving,
            shut: self.straggler.shut().is_some(),
            wants_out: self.straggler.wants_out(),
            acts_on: self.acting.id,
            since_ms: self.acting.since_ms,
            rpcs,
            ok,
            before: self.chain.last(),
            knows,
            turned_down,
            chain,
            entries,
            orders: self.orders.clone(),
        });
    }

    fn judge(&mut self, now: Ms) {
        let newest = self.versions.newest();
        let mut facts = Facts {
            acts_on: self.acting.id,
            newest,
            wanted: self.versions.wanted().map(|(id, _)| id).unwrap_or_default(),
            must: self
                .versions
                .held(newest)
                .is_some_and(|version| version.must),
            turned_down: self.versions.why_not(newest).is_some(),
            ..Facts::default()
        };
        let target = facts.target();
        let held = self.versions.held(target);
        facts.held = held.is_some();
        facts.due = held
            .and_then(|version| version.due_ms(&self.terms.own.name))
            .unwrap_or(0);
        facts.stopped = self.stopped == Some(target);
        facts.others = self.members.count();
        if target > self.acting.id {
            facts.is_due = self.is_due(now, target);
        }
        if self.straggler.wants_out() {
            let own = (
                self.straggler.shut().is_none(),
                self.terms.own.name.as_str(),
            );
            let words = self
                .members
                .present()
                .filter_map(|member| self.words.of(member))
                .map(|heard| &heard.word);
            let goes = |word: &&Word| word.wants_out && (!word.shut, word.of.name.as_str()) < own;
            facts.before = words.filter(goes).count();
        }
        let judged = self.straggler.judge(now, &facts);
        judged
            .too_many
            .into_iter()
            .for_each(|id| self.event(Event::TooMany(id)));
        if let Some(cause) = judged.changed {
            self.event(cause.map_or(Event::LetIn, Event::Shut));
        }
        if judged.says {
            self.say();
        }
    }

    /// Whether this server's wave of a version that it holds has come: by its own clock since the version came here (wall clocks may be an hour
    /// apart), or because others of the same or a later wave act on it. Guards against a server that was away, and would begin to count
    /// where all others are long done.
    fn is_due(&self, now: Ms, id: Id) -> bool {
        let (Some(version), Some(since)) = (self.versions.held(id), self.versions.since(id)) else {
            return false;
        };
        let Some(wave) = version.wave(&self.terms.own.name) else {
            return false;
        };
        let due = version.due_ms(&self.terms.own.name).unwrap_or(0);
        let reached = |word: &Word| {
            word.acts_on == id
                && version
                    .wave(&word.of.name)
                    .is_some_and(|other| other >= wave)
        };
        since == 0
            || now >= since.saturating_add(due)
            || self.words.all().any(|heard| reached(&heard.word))
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
            refused += u32::from(
                heard
                    .turned_down
                    .as_ref()
                    .is_some_and(|(what, _)| *what == id),
            );
        }
        let why = match () {
            () if wave == 0 => None,
            () if refused > 0 => Some(format!("{refused} turned it down")),
            () if worse(here, there) => Some(format!(
                "{} of {} ok, elsewhere {} of {}",
                here.0, here.1, there.0, there.1
            )),
            () => None,
        };
        let Some(why) = why else {
            return Some((id, version));
        };
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
        self.chain
            .add(self.acting.id, self.acting.since_ms, stamp, rpcs);
        self.acting = Acting {
            id,
            since_ms: stamp,
            base: self.acting.now,
            now: self.acting.now,
        };
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
        let acts_on = self
            .versions
            .blob(self.acting.id)
            .unwrap_or_default()
            .to_vec();
        (
            acts_on,
            self.chain
                .entries()
                .map(|entry| postcard::to_allocvec(entry).unwrap_or_default())
                .collect(),
        )
    }

    /// Takes in what was kept; the version is to be checked again, and its record is believed only where it hangs together.
    pub fn restore(&mut self, acts_on: &[u8], entries: &[Vec<u8>]) -> Option<Id> {
        let entries: Option<Vec<Entry>> = entries
            .iter()
            .map(|entry| postcard::from_bytes(entry).ok())
            .collect();
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

    /// An operator shuts `server` out, or lets it in: itself, or by way of the words that all hear. It holds until the next order for it; an
    /// order for another server is handed on for as long as this process runs, the last [`ORDERS_MOST`] of them.
    pub fn by_hand(&mut self, now: Ms, server: &str, shut: bool) -> Result<(), String> {
        let known = |member: &Member| member.name == server;
        if server != self.terms.own.name && !self.members.all().any(|(member, _)| known(member)) {
            return Err(format!("{server:?} is not known here"));
        }
        let number = self.ordered.get(server).map_or(0, |known| known.number) + 1;
        let order = Order {
            server: server.to_owned(),
            number,
            shut,
        };
        self.orders.retain(|old| old.server != server);
        if self.orders.len() >= ORDERS_MOST {
            self.orders.remove(0);
        }
        self.orders.push(order.clone());
        self.order(&order);
        self.judge(now);
        self.say();
        Ok(())
    }

    /// The notice to leave: told before the drain.
    pub fn leave(&mut self, now: Ms, wall_ms: u64) {
        self.leaving = true;
        self.say();
        // What riders give back goes out while others still take it from a member.
        self.ride_on(now, wall_ms);
        self.members.leave(now);
        self.collect(wall_ms, now);
    }

    /// How long those that are turned away should stay away; none while this server admits. To be asked before each RPC: a pause of the
    /// process is seen here first.
    pub fn back(&mut self, now: Ms) -> Option<Ms> {
        self.paused(now);
        self.straggler.back(now)
    }

    pub fn send(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.send)
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn shut(&self) -> Option<&Shut> {
        self.straggler.shut()
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
        let mut all = vec![(
            self.members.own().clone(),
            own_state,
            Some(self.acting.id),
            0,
        )];
        let own = self.members.own();
        // Guards against the process that was here before a restart, of which others still speak: it stood beside this one.
        let others = self
            .members
            .all()
            .filter(|(member, _)| (&member.name, member.at) != (&own.name, own.at));
        for (member, state) in others {
            let heard = self
                .words
                .of(member)
                .filter(|heard| heard.word.of == *member);
            let state = if heard.is_some_and(|heard| heard.word.leaving) {
                State::Leaving
            } else {
                state
            };
            let age = heard.map_or(u64::MAX, |heard| now.saturating_sub(heard.at));
            all.push((
                member.clone(),
                state,
                heard.map(|heard| heard.word.acts_on),
                age,
            ));
        }
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Whether a member is known to be shut out, by itself or by an operator.
    fn is_out(&self, member: &Member) -> bool {
        let ordered = self
            .ordered
            .get(&member.name)
            .is_some_and(|order| order.shut);
        ordered || self.words.of(member).is_some_and(|heard| heard.word.shut)
    }

    /// Members whose reports count: there, current, not shut out.
    pub fn current(&self) -> impl Iterator<Item = &Member> {
        let newest = self.versions.newest();
        self.members.present().filter(move |member| {
            let heard = self.words.of(member).map(|heard| &heard.word);
            heard.is_some_and(|word| {
                !self.is_out(member)
                    && !word.leaving
                    && (word.acts_on == newest || word.knows == newest)
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
        let present = row(
            self.acting.id,
            self.acting.since_ms,
            None,
            self.acting.counts().0,
        );
        let mut rows: Vec<Row> = past
            .chain([present])
            .chain(self.others.rows(now))
            .filter(|row| filter.takes(row))
            .collect();
        rows.sort_by(|a, b| (&a.server, a.from_ms).cmp(&(&b.server, b.from_ms)));
        rows
    }
}
