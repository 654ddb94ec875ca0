//! One server's part in its fleet: members, riders, the version it acts on, and whether it is shut out. What it leads to (datagrams,
//! events) is kept until it is fetched.
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Millis;
use crate::audit::{AuditChain, AuditEntry, AuditFilter, AuditRow, PeerAudits};
use crate::clock::HybridClock;
use crate::datagram::{self, Datagram, DecodeError, MAX_SENT_BYTES, PayloadKind};
use crate::exclusion::{ExclusionInputs, ExclusionLimits, ExclusionReason, ExclusionState};
use crate::extension::{MembershipView, Message, Registration};
use crate::gossip::MAX_SOURCES;
use crate::membership::{Member, MemberState, Membership, MembershipChange};
use crate::status::{ANNOUNCE_INTERVAL_MS, MAX_ORDERS, MembershipOrder, NodeStatus, NodeStatuses};
use crate::versions::{Version, VersionId, VersionMessage, VersionStore, is_significantly_worse};

/// Letters that wait to be sent, and events to be fetched.
const MAX_QUEUE_LENGTH: usize = 1_024;
/// Bytes of a datagram that are not parts.
const HEAD: usize = 160;

#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The fleet's name.
    pub name: String,
    pub own: Member,
    /// Where others may be found at the start.
    pub peers: Vec<SocketAddr>,
    /// Behind what is to be acted on for longer than that: shut out.
    pub max_lag: Millis,
    /// Without any other member for longer than that: shut out where `exclude_when_isolated`.
    pub max_silence: Millis,
    pub exclude_when_isolated: bool,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    MemberStateChanged(Member, MemberState),
    /// The others took this server for gone.
    Rejoined,
    /// Two processes have one name.
    DuplicateName(Member, Member),
    VersionReceived(VersionId),
    VersionActivated(VersionId),
    VersionRejected(VersionId, String),
    VersionFork(VersionId, VersionId),
    /// A wave goes no further, and why.
    RolloutHalted(VersionId, String),
    Excluded(ExclusionReason),
    Readmitted,
    /// More would be shut out than may be.
    ExclusionLimitReached(VersionId),
    /// A server's record is not what it was.
    AuditRecordAltered(String),
    /// A member's clock is too far ahead to be believed.
    ClockSkewed(String),
    ProcessPaused(Millis),
}

/// The version that this server acts on.
#[derive(Clone, Copy, Debug, Default)]
struct ActiveVersion {
    id: VersionId,
    active_since_ms: u64,
    /// Counts at its start, and now.
    base: (u64, u64),
    now: (u64, u64),
}

impl ActiveVersion {
    fn counts(&self) -> (u64, u64) {
        let rpcs = self.now.0.saturating_sub(self.base.0);
        (rpcs, self.now.1.saturating_sub(self.base.1).min(rpcs))
    }
}

pub struct Fleet {
    terms: FleetConfig,
    fleet: u32,
    clock: HybridClock,
    chance: SmallRng,
    members: Membership,
    words: NodeStatuses,
    versions: VersionStore,
    chain: AuditChain,
    others: PeerAudits,
    acting: ActiveVersion,
    number: u64,
    leaving: bool,
    exclusion: ExclusionState,
    /// What operators want of servers, the newest for each; and those given here.
    ordered: BTreeMap<String, MembershipOrder>,
    orders: Vec<MembershipOrder>,
    /// Datagrams sent, and the last of each sender's that was heard.
    spoken: u64,
    echoes: HashMap<SocketAddr, u64>,
    ticked: Option<Millis>,
    own_due: Millis,
    stopped: Option<VersionId>,
    clock_off: Vec<String>,
    extensions: Vec<Registration>,
    /// Whose turn it is to fill a datagram first: the words', then each rider's.
    turn: usize,
    send: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
}

impl Fleet {
    /// `wall_ms`: the Unix clock, for people and for the order across servers; nothing else rests on it.
    pub fn new(terms: FleetConfig, now: Millis, wall_ms: u64) -> Fleet {
        let clock = HybridClock::new(terms.seed ^ terms.own.incarnation);
        let acting = ActiveVersion {
            active_since_ms: clock.timestamp(wall_ms),
            ..ActiveVersion::default()
        };
        // Who has nobody to hear is not cut off.
        let exclude_when_isolated = terms.exclude_when_isolated && !terms.peers.is_empty();
        let bounds = ExclusionLimits {
            max_lag: terms.max_lag,
            max_silence: terms.max_silence,
            exclude_when_isolated,
        };
        Fleet {
            fleet: datagram::fleet_id(&terms.name),
            members: Membership::new(terms.own.clone(), &terms.peers, terms.seed),
            chance: SmallRng::seed_from_u64(terms.seed ^ 1),
            words: NodeStatuses::default(),
            versions: VersionStore::default(),
            chain: AuditChain::default(),
            others: PeerAudits::default(),
            number: 0,
            leaving: false,
            exclusion: ExclusionState::new(bounds, now),
            ordered: BTreeMap::new(),
            orders: Vec::new(),
            spoken: 0,
            echoes: HashMap::new(),
            ticked: None,
            own_due: now,
            stopped: None,
            clock_off: Vec::new(),
            extensions: Vec::new(),
            turn: 0,
            send: Vec::new(),
            events: Vec::new(),
            clock,
            acting,
            terms,
        }
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < MAX_QUEUE_LENGTH {
            self.events.push(event);
        }
    }

    /// A datagram came.
    pub fn handle_datagram(
        &mut self,
        now: Millis,
        wall_ms: u64,
        bytes: &[u8],
    ) -> Result<(), DecodeError> {
        self.paused(now);
        let datagram = Datagram::decode(bytes, self.fleet)?;
        if !self.clock.observe(wall_ms, datagram.stamp_ms)
            && !self.clock_off.contains(&datagram.from.name)
        {
            if self.clock_off.len() >= MAX_QUEUE_LENGTH {
                self.clock_off.clear();
            }
            self.clock_off.push(datagram.from.name.clone());
            self.event(Event::ClockSkewed(datagram.from.name.clone()));
        }
        if self.echoes.len() >= MAX_SOURCES {
            self.echoes.clear();
        }
        self.echoes.insert(datagram.from.address, datagram.number);
        self.exclusion.datagram_received(now);
        for (rider, bytes) in &datagram.parts {
            match rider {
                PayloadKind::Membership => self.members.receive(now, bytes),
                PayloadKind::Statuses => self.words_heard(now, &datagram, bytes),
                PayloadKind::Versions => {
                    let Ok(letter) = postcard::from_bytes::<VersionMessage>(bytes) else {
                        return Err(DecodeError::Corrupt);
                    };
                    let forks = self.versions.forks().len();
                    let (answers, whole) = self.versions.handle_message(now, letter);
                    if let Some(id) = whole {
                        self.event(Event::VersionReceived(id))
                    }
                    if let Some((a, b)) = self.versions.forks().get(forks).copied() {
                        self.event(Event::VersionFork(a, b));
                    }
                    answers
                        .into_iter()
                        .for_each(|answer| self.letter(wall_ms, datagram.from.address, &answer));
                }
                other => {
                    let registration = self
                        .extensions
                        .iter()
                        .find(|one| [one.id.gossip_kind(), one.id.message_kind()].contains(other));
                    let Some(Registration { id, extension }) = registration.cloned() else {
                        continue;
                    };
                    if *other == id.gossip_kind() {
                        extension
                            .borrow_mut()
                            .handle_gossip(now, self.members.own(), bytes);
                    } else {
                        let letters =
                            extension
                                .borrow_mut()
                                .handle_message(now, &datagram.from, bytes);
                        self.post(wall_ms, id.message_kind(), letters);
                    }
                }
            }
        }
        self.collect(wall_ms, now);
        Ok(())
    }

    fn words_heard(&mut self, now: Millis, datagram: &Datagram, bytes: &[u8]) {
        let own = self.members.own().clone();
        for word in self.words.receive(now, &own, bytes) {
            if word.member == datagram.from {
                self.exclusion.answer_received(now, datagram.echo);
            }
            word.orders.iter().for_each(|order| self.order(order));
            let at = self
                .words
                .get(&word.member)
                .map_or(now, |heard| heard.sent_at);
            if !self.others.observe(at, &word) {
                self.event(Event::AuditRecordAltered(word.member.name.clone()));
            }
            // A server that is shut out is listened to only for what it holds.
            self.versions.learn_of(word.newest_held);
        }
    }

    /// A datagram to `to`, without parts yet.
    fn datagram(&mut self, wall_ms: u64, to: SocketAddr) -> Datagram {
        let mut datagram = Datagram::new(
            self.fleet,
            self.members.own().clone(),
            self.clock.timestamp(wall_ms),
        );
        self.spoken += 1;
        (datagram.number, datagram.echo) =
            (self.spoken, self.echoes.get(&to).copied().unwrap_or(0));
        datagram
    }

    /// Lets `rider` ride from now on.
    pub fn register(&mut self, extension: Registration) {
        self.extensions.push(extension);
    }

    /// A rider's letters go out, each as a datagram of its own.
    fn post(&mut self, wall_ms: u64, rider: PayloadKind, letters: Vec<Message>) {
        for Message { to, payload } in letters {
            let mut datagram = self.datagram(wall_ms, to);
            datagram.parts.push((rider, payload));
            if self.send.len() < MAX_QUEUE_LENGTH {
                self.send.push((to, datagram.encode()));
            }
        }
    }

    /// The riders' time passes.
    fn ride_on(&mut self, now: Millis, wall_ms: u64) {
        if self.extensions.is_empty() {
            return;
        }
        let extensions = self.extensions.clone();
        let letters: Vec<_> = {
            let view = MembershipView {
                own: self.members.own(),
                present: self.members.present().collect(),
                current: self.current_members().collect(),
                excluded: self
                    .members
                    .present()
                    .filter(|member| self.is_out(member))
                    .collect(),
                leaving: self.leaving || self.exclusion.reason().is_some(),
            };
            extensions
                .iter()
                .map(|one| {
                    (
                        one.id.message_kind(),
                        one.extension.borrow_mut().tick(now, &view),
                    )
                })
                .collect()
        };
        letters
            .into_iter()
            .for_each(|(kind, messages)| self.post(wall_ms, kind, messages));
    }

    /// What datagrams have room for beside the members' part: words and what riders spread, in turn, so that none starves.
    fn filled(&mut self, now: Millis, mut room: usize) -> Vec<(PayloadKind, Vec<u8>)> {
        let all = self.extensions.len() + 1;
        self.turn = (self.turn + 1) % all;
        let mut parts = Vec::new();
        for at in 0..all {
            let left = all - at;
            // Whoever comes first leaves a part for the others, the last takes what is left.
            let may = if left == 1 { room } else { room * 3 / 5 };
            let part = match (self.turn + at) % all {
                0 => self
                    .words
                    .next_payload(now, may)
                    .map(|bytes| (PayloadKind::Statuses, bytes)),
                number => {
                    let Registration { id, extension } = &self.extensions[number - 1];
                    extension
                        .borrow_mut()
                        .next_gossip(now, may)
                        .map(|bytes| (id.gossip_kind(), bytes))
                }
            };
            if let Some(part) = part {
                room = room.saturating_sub(part.1.len() + 4);
                parts.push(part);
            }
        }
        parts
    }

    fn letter(&mut self, wall_ms: u64, to: SocketAddr, letter: &VersionMessage) {
        let mut datagram = self.datagram(wall_ms, to);
        datagram.parts.push((
            PayloadKind::Versions,
            postcard::to_allocvec(letter).unwrap_or_default(),
        ));
        if self.send.len() < MAX_QUEUE_LENGTH {
            self.send.push((to, datagram.encode()));
        }
    }

    /// What the members want sent goes out, with words in the room that is left.
    fn collect(&mut self, wall_ms: u64, now: Millis) {
        for (to, bytes) in self.members.take_messages() {
            let mut datagram = self.datagram(wall_ms, to.address);
            let room = MAX_SENT_BYTES.saturating_sub(HEAD + bytes.len());
            datagram.parts.push((PayloadKind::Membership, bytes));
            datagram.parts.extend(self.filled(now, room));
            if self.send.len() < MAX_QUEUE_LENGTH {
                self.send.push((to.address, datagram.encode()));
            }
        }
        for change in self.members.take_changes() {
            match change {
                MembershipChange::Up(member) => {
                    let twin = self
                        .members
                        .present()
                        .find(|other| other.name == member.name && other.address != member.address);
                    let own = self.members.own();
                    let twin = twin
                        .or((own.name == member.name && own.address != member.address)
                            .then_some(own))
                        .cloned();
                    twin.into_iter()
                        .for_each(|twin| self.event(Event::DuplicateName(twin, member.clone())));
                    self.event(Event::MemberStateChanged(member, MemberState::Alive));
                }
                MembershipChange::Down(member) => {
                    let left = self
                        .words
                        .get(&member)
                        .is_some_and(|heard| heard.value.leaving);
                    self.event(Event::MemberStateChanged(
                        member,
                        if left {
                            MemberState::Leaving
                        } else {
                            MemberState::Down
                        },
                    ));
                }
                MembershipChange::Rejoined(_) => self.event(Event::Rejoined),
            }
        }
    }

    fn paused(&mut self, now: Millis) {
        let gap = self.ticked.map_or(0, |ticked| now.saturating_sub(ticked));
        if self
            .exclusion
            .detect_pause(now, gap, self.spoken + 1, self.members.count())
        {
            self.ticked = Some(now);
            self.event(Event::ProcessPaused(gap));
            self.judge(now);
        }
    }

    /// An operator's order came, from here or by way of another server.
    fn order(&mut self, order: &MembershipOrder) {
        let known = self
            .ordered
            .get(&order.member)
            .map_or(0, |known| known.sequence);
        if order.sequence <= known || (known == 0 && self.ordered.len() >= MAX_SOURCES) {
            return;
        }
        self.ordered.insert(order.member.clone(), order.clone());
        if order.member == self.terms.own.name {
            self.exclusion.set_by_operator(order.exclude);
        }
    }

    /// Lets time pass; `counts`: RPCs decided so far, and of these those with a result.
    pub fn tick(&mut self, now: Millis, wall_ms: u64, counts: (u64, u64)) {
        self.paused(now);
        self.ticked = Some(now);
        self.acting.now = counts;
        self.members.tick(now);
        if now >= self.own_due {
            self.own_due = now + ANNOUNCE_INTERVAL_MS;
            self.words.expire(now);
            self.say();
        }
        let chance = self.chance.random_range(0.0..1.0);
        let (words, members) = (&self.words, &self.members);
        let holders = |id: VersionId| {
            let holds = |member: &&Member| {
                words.get(member).is_some_and(|heard| {
                    heard.value.newest_held == id || heard.value.active_version == id
                })
            };
            members.present().filter(holds).cloned().collect()
        };
        let asks = self.versions.poll_fetch(now, holders, chance);
        asks.into_iter()
            .for_each(|(of, letter)| self.letter(wall_ms, of.address, &letter));
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
            .rejection_reason(knows)
            .map(|why| (knows, why.to_owned()));
        self.words.set_own(NodeStatus {
            member: self.members.own().clone(),
            sequence: self.number,
            leaving: self.leaving,
            excluded: self.exclusion.reason().is_some(),
            wants_exclusion: self.exclusion.wants_exclusion(),
            active_version: self.acting.id,
            active_since_ms: self.acting.active_since_ms,
            rpcs,
            succeeded: ok,
            previous: self.chain.last(),
            newest_held: knows,
            rejected: turned_down,
            audit_head: chain,
            audit_length: entries,
            orders: self.orders.clone(),
        });
    }

    fn judge(&mut self, now: Millis) {
        let newest = self.versions.newest();
        let mut facts = ExclusionInputs {
            active_version: self.acting.id,
            newest,
            newest_accepted: self
                .versions
                .newest_accepted()
                .map(|(id, _)| id)
                .unwrap_or_default(),
            mandatory: self
                .versions
                .get(newest)
                .is_some_and(|version| version.mandatory),
            rejected: self.versions.rejection_reason(newest).is_some(),
            ..ExclusionInputs::default()
        };
        let target = facts.target();
        let held = self.versions.get(target);
        facts.held = held.is_some();
        facts.stage_delay = held
            .and_then(|version| version.stage_delay_ms(&self.terms.own.name))
            .unwrap_or(0);
        facts.halted = self.stopped == Some(target);
        facts.others = self.members.count();
        if target > self.acting.id {
            facts.stage_due = self.is_due(now, target);
        }
        if self.exclusion.wants_exclusion() {
            let own = (
                self.exclusion.reason().is_none(),
                self.terms.own.name.as_str(),
            );
            let words = self
                .members
                .present()
                .filter_map(|member| self.words.get(member))
                .map(|heard| &heard.value);
            let goes = |word: &&NodeStatus| {
                word.wants_exclusion && (!word.excluded, word.member.name.as_str()) < own
            };
            facts.ahead = words.filter(goes).count();
        }
        let judged = self.exclusion.evaluate(now, &facts);
        judged
            .limit_reached
            .into_iter()
            .for_each(|id| self.event(Event::ExclusionLimitReached(id)));
        if let Some(cause) = judged.changed {
            self.event(cause.map_or(Event::Readmitted, Event::Excluded));
        }
        if judged.status_changed {
            self.say();
        }
    }

    /// Whether this server's wave of a version that it holds has come: by its own clock since the version came here (wall clocks may be an hour
    /// apart), or because others of the same or a later wave act on it. Guards against a server that was away, and would begin to count
    /// where all others are long done.
    fn is_due(&self, now: Millis, id: VersionId) -> bool {
        let (Some(version), Some(since)) = (self.versions.get(id), self.versions.received_at(id))
        else {
            return false;
        };
        let Some(wave) = version.stage(&self.terms.own.name) else {
            return false;
        };
        let due = version.stage_delay_ms(&self.terms.own.name).unwrap_or(0);
        let reached = |word: &NodeStatus| {
            word.active_version == id
                && version
                    .stage(&word.member.name)
                    .is_some_and(|other| other >= wave)
        };
        since == 0
            || now >= since.saturating_add(due)
            || self.words.iter().any(|heard| reached(&heard.value))
    }

    /// The version to be checked and taken now, where there is one: its wave is due and was not stopped.
    pub fn pending_version(&mut self, now: Millis) -> Option<(VersionId, Version)> {
        let (id, version) = self.versions.newest_accepted()?;
        if id <= self.acting.id || self.leaving {
            return None;
        }
        let version = version.clone();
        if !self.is_due(now, id) {
            return None;
        }
        // A wave stops where those before it turned it down or do worse; the first has none before it.
        let wave = version.stage(&self.terms.own.name).unwrap_or(0);
        let (mut here, mut there, mut refused) = ((0, 0), (0, 0), 0);
        for heard in self.words.iter().map(|heard| &heard.value) {
            let of_it = heard.active_version == id;
            let sum = if of_it { &mut here } else { &mut there };
            (sum.0, sum.1) = (sum.0 + heard.succeeded, sum.1 + heard.rpcs);
            refused += u32::from(heard.rejected.as_ref().is_some_and(|(what, _)| *what == id));
        }
        let why = match () {
            () if wave == 0 => None,
            () if refused > 0 => Some(format!("{refused} turned it down")),
            () if is_significantly_worse(here, there) => Some(format!(
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
            self.event(Event::RolloutHalted(id, why));
        }
        None
    }

    /// It acts on `id` from now on.
    pub fn activate(&mut self, now: Millis, wall_ms: u64, id: VersionId) {
        let stamp = self.clock.timestamp(wall_ms);
        let (rpcs, _) = self.acting.counts();
        self.chain
            .add(self.acting.id, self.acting.active_since_ms, stamp, rpcs);
        self.acting = ActiveVersion {
            id,
            active_since_ms: stamp,
            base: self.acting.now,
            now: self.acting.now,
        };
        self.event(Event::VersionActivated(id));
        self.judge(now);
        self.say();
    }

    pub fn reject(&mut self, now: Millis, id: VersionId, why: &str) {
        self.versions.reject(id, why);
        self.event(Event::VersionRejected(id, why.to_owned()));
        self.judge(now);
        self.say();
    }

    /// What is to be kept over a restart: the version that it acts on, and its record.
    pub fn snapshot(&self) -> (Vec<u8>, Vec<Vec<u8>>) {
        let active_version = self
            .versions
            .blob(self.acting.id)
            .unwrap_or_default()
            .to_vec();
        (
            active_version,
            self.chain
                .entries()
                .map(|entry| postcard::to_allocvec(entry).unwrap_or_default())
                .collect(),
        )
    }

    /// Takes in what was kept; the version is to be checked again, and its record is believed only where it hangs together.
    pub fn restore(&mut self, active_version: &[u8], entries: &[Vec<u8>]) -> Option<VersionId> {
        let entries: Option<Vec<AuditEntry>> = entries
            .iter()
            .map(|entry| postcard::from_bytes(entry).ok())
            .collect();
        match entries.and_then(|entries| AuditChain::resume(entries).ok()) {
            Some(chain) => self.chain = chain,
            None => self.event(Event::AuditRecordAltered(self.terms.own.name.clone())),
        }
        self.versions.restore(active_version)
    }

    /// An operator publishes here.
    pub fn publish(
        &mut self,
        now: Millis,
        wall_ms: u64,
        content: String,
        must: bool,
        waves: Vec<f32>,
        pause_ms: u64,
    ) -> Result<VersionId, String> {
        let newest = self.versions.newest();
        let version = Version {
            number: newest.number + 1,
            replaces: newest,
            mandatory: must,
            publisher: self.terms.own.name.clone(),
            published_at_ms: self.clock.timestamp(wall_ms),
            stages: waves,
            stage_pause_ms: pause_ms,
            content,
        };
        let id = self.versions.publish(now, version)?;
        self.event(Event::VersionReceived(id));
        self.say();
        Ok(id)
    }

    /// An operator shuts `server` out, or lets it in: itself, or by way of the words that all hear. It holds until the next order for it; an
    /// order for another server is handed on for as long as this process runs, the last [`MAX_ORDERS`] of them.
    pub fn set_excluded(&mut self, now: Millis, server: &str, shut: bool) -> Result<(), String> {
        let known = |member: &Member| member.name == server;
        if server != self.terms.own.name && !self.members.iter().any(|(member, _)| known(member)) {
            return Err(format!("{server:?} is not known here"));
        }
        let number = self.ordered.get(server).map_or(0, |known| known.sequence) + 1;
        let order = MembershipOrder {
            member: server.to_owned(),
            sequence: number,
            exclude: shut,
        };
        self.orders.retain(|old| old.member != server);
        if self.orders.len() >= MAX_ORDERS {
            self.orders.remove(0);
        }
        self.orders.push(order.clone());
        self.order(&order);
        self.judge(now);
        self.say();
        Ok(())
    }

    /// The notice to leave: told before the drain.
    pub fn leave(&mut self, now: Millis, wall_ms: u64) {
        self.leaving = true;
        self.say();
        // What riders give back goes out while others still take it from a member.
        self.ride_on(now, wall_ms);
        self.members.leave(now);
        self.collect(wall_ms, now);
    }

    /// How long those that are turned away should stay away; none while this server admits. To be asked before each RPC: a pause of the
    /// process is seen here first.
    pub fn retry_after(&mut self, now: Millis) -> Option<Millis> {
        self.paused(now);
        self.exclusion.retry_after(now)
    }

    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.send)
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn exclusion(&self) -> Option<&ExclusionReason> {
        self.exclusion.reason()
    }

    pub fn active_version(&self) -> VersionId {
        self.acting.id
    }

    pub fn local_member(&self) -> &Member {
        self.members.own()
    }

    pub fn versions(&self) -> &VersionStore {
        &self.versions
    }

    /// All members by name: where, in what state, acting on what, and how old that knowledge is. This server is one of them.
    pub fn members(&self, now: Millis) -> Vec<(Member, MemberState, Option<VersionId>, u64)> {
        let own_state = match () {
            () if self.leaving => MemberState::Leaving,
            () if self.members.count() == 0 => MemberState::Joining,
            () => MemberState::Alive,
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
            .iter()
            .filter(|(member, _)| (&member.name, member.address) != (&own.name, own.address));
        for (member, state) in others {
            let heard = self
                .words
                .get(member)
                .filter(|heard| heard.value.member == *member);
            let state = if heard.is_some_and(|heard| heard.value.leaving) {
                MemberState::Leaving
            } else {
                state
            };
            let age = heard.map_or(u64::MAX, |heard| now.saturating_sub(heard.sent_at));
            all.push((
                member.clone(),
                state,
                heard.map(|heard| heard.value.active_version),
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
            .is_some_and(|order| order.exclude);
        ordered
            || self
                .words
                .get(member)
                .is_some_and(|heard| heard.value.excluded)
    }

    /// Membership whose reports count: there, current, not shut out.
    pub fn current_members(&self) -> impl Iterator<Item = &Member> {
        let newest = self.versions.newest();
        self.members.present().filter(move |member| {
            let heard = self.words.get(member).map(|heard| &heard.value);
            heard.is_some_and(|word| {
                !self.is_out(member)
                    && !word.leaving
                    && (word.active_version == newest || word.newest_held == newest)
            })
        })
    }

    pub fn audit(&self, now: Millis, filter: &AuditFilter) -> Vec<AuditRow> {
        let server = || self.terms.own.name.clone();
        let row = |version, from_ms, to_ms, rpcs| AuditRow {
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
            self.acting.active_since_ms,
            None,
            self.acting.counts().0,
        );
        let mut rows: Vec<AuditRow> = past
            .chain([present])
            .chain(self.others.rows(now))
            .filter(|row| filter.matches(row))
            .collect();
        rows.sort_by(|a, b| (&a.server, a.from_ms).cmp(&(&b.server, b.from_ms)));
        rows
    }
}
