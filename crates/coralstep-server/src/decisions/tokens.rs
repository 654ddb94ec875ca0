//! The tokens by which repeats are known: of which RPC each is, whether that has run, and for how long one that ran must not run
//! again. Pure; the caller passes the time in.
use std::collections::{HashMap, VecDeque};

use coralstep::{RpcId, Span, Time};

/// A method, and the token as its callers wrote it.
pub type Token = (usize, Box<[u8]>);

/// What came with a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// Of the body.
    pub content: u64,
    pub tenant: Option<usize>,
}

impl Mark {
    /// Whether both may be tries of one RPC. A front that knows no tenants says nothing of them.
    fn fits(self, other: Mark) -> bool {
        let tenants = self
            .tenant
            .zip(other.tenant)
            .is_none_or(|(one, other)| one == other);
        self.content == other.content && tenants
    }
}

#[derive(Debug, PartialEq, Eq)]
pub enum Found {
    Nothing,
    /// A try of the same RPC is here, or has run.
    Of(RpcId),
    /// It must not run, and its outcome is nobody's to be told.
    Barred,
}

struct Kept {
    rpc: RpcId,
    mark: Mark,
    until: Time,
    ran: bool,
}

#[derive(Default)]
pub struct Tokens {
    kept: HashMap<Token, Kept>,
    /// What ran and is no longer kept: what came to the machine by then must not run.
    past: HashMap<Token, Time>,
    /// When these may be forgotten, in order.
    forget: VecDeque<(Time, Token)>,
    most: usize,
}

impl Tokens {
    pub fn new(most: usize) -> Tokens {
        Tokens {
            most,
            ..Tokens::default()
        }
    }

    pub fn is_kept(&self, token: &Token) -> bool {
        self.kept.contains_key(token)
    }

    /// What an RPC that came to the machine at `arrived` repeats.
    pub fn find(&self, token: &Token, mark: Mark, arrived: Time) -> Found {
        match self.kept.get(token) {
            // Guards against a stranger who has seen a token: neither is the result theirs, nor may theirs run in its place.
            Some(kept) if !kept.mark.fits(mark) => Found::Barred,
            Some(kept) => Found::Of(kept.rpc),
            // Guards against a second run of what came within the window and was read after it: after a pause, or from a full socket.
            None if self.past.get(token).is_some_and(|until| arrived <= *until) => Found::Barred,
            None => Found::Nothing,
        }
    }

    pub fn keep(&mut self, token: Token, mark: Mark, rpc: RpcId, until: Time) {
        self.kept.insert(
            token,
            Kept {
                rpc,
                mark,
                until,
                ran: false,
            },
        );
    }

    /// `rpc` runs, or provably never did.
    pub fn runs(&mut self, token: &Token, rpc: RpcId, ran: bool) {
        if let Some(kept) = self.kept.get_mut(token).filter(|kept| kept.rpc == rpc) {
            kept.ran = ran;
        }
    }

    /// It need not be kept any more. A try of it may lie unread for `unread` at the most.
    pub fn release(&mut self, now: Time, token: &Token, rpc: RpcId, unread: Span) {
        while self.forget.front().is_some_and(|(at, _)| *at <= now)
            || self.forget.len() >= self.most.max(1)
        {
            let Some((at, old)) = self.forget.pop_front() else {
                break;
            };
            if self
                .past
                .get(&old)
                .is_some_and(|until| *until + unread <= at)
            {
                self.past.remove(&old);
            }
        }
        if self.kept.get(token).is_some_and(|kept| kept.rpc == rpc)
            && let Some(Kept {
                until, ran: true, ..
            }) = self.kept.remove(token)
        {
            self.past.insert(token.clone(), until);
            self.forget.push_back((until + unread, token.clone()));
        }
    }
}

#[cfg(test)]
mod tests;
