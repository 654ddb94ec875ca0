//! What rides on the fleet's one channel beside the fleet's own words and versions. A rider knows who is there and what it wants said; it
//! knows neither sockets nor other riders. What it spreads fills the room that datagrams have left, in turn with the others; its
//! letters go to one server each, now. A message that comes twice, late or never must not harm it.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::Ms;
use crate::envelope;
use crate::members::Member;

/// A letter of a rider's, and to whom.
pub type Letter = (SocketAddr, Vec<u8>);

/// Who is there, as this server knows it now.
pub struct View<'a> {
    pub own: &'a Member,
    /// Others that are there as far as anybody knows.
    pub present: Vec<&'a Member>,
    /// Those of them whose reports count: current, not shut out, not leaving.
    pub current: Vec<&'a Member>,
    /// Those that are known to be shut out.
    pub shut: Vec<&'a Member>,
    /// This server leaves, or is shut out: it gives back what it holds.
    pub leaving: bool,
}

impl View<'_> {
    /// This server and those whose reports count.
    pub fn count(&self) -> usize {
        self.current.len() + 1
    }

    pub fn is_current(&self, member: &Member) -> bool {
        self.current.contains(&member)
    }
}

pub trait Rider {
    /// Something to be spread, of at most `room` bytes.
    fn said(&mut self, _now: Ms, _room: usize) -> Option<Vec<u8>> {
        None
    }

    /// What was spread came from a member.
    fn heard(&mut self, _now: Ms, _own: &Member, _bytes: &[u8]) {}

    /// A letter came; what it is answered with at once.
    fn letter(&mut self, _now: Ms, _from: &Member, _bytes: &[u8]) -> Vec<Letter> {
        Vec::new()
    }

    /// Time passes; letters to be sent.
    fn tick(&mut self, _now: Ms, _view: &View<'_>) -> Vec<Letter> {
        Vec::new()
    }
}

/// Who a rider's bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seat {
    Limits,
    Verdicts,
}

impl Seat {
    pub(crate) fn spread(self) -> envelope::Rider {
        match self {
            Seat::Limits => envelope::Rider::Limits,
            Seat::Verdicts => envelope::Rider::Verdicts,
        }
    }

    pub(crate) fn letter(self) -> envelope::Rider {
        match self {
            Seat::Limits => envelope::Rider::LimitLetter,
            Seat::Verdicts => envelope::Rider::VerdictLetter,
        }
    }
}

pub type Riding = (Seat, Rc<RefCell<dyn Rider>>);
