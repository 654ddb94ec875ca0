//! Where this server's engine, store and control plane are. What moves them (a reload) and what goes there (links, calls, reports) meet
//! here and know nothing of each other.
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use event_listener::{Event, EventListener};

use super::config::Config;
use super::descriptors::Descriptors;

/// Where somebody is; a new configuration may move it.
pub struct Endpoint<T> {
    at: Cell<T>,
    moved: Event,
}

impl<T: Copy + PartialEq> Endpoint<T> {
    pub fn new(at: T) -> Endpoint<T> {
        Endpoint {
            at: Cell::new(at),
            moved: Event::new(),
        }
    }

    pub fn get(&self) -> T {
        self.at.get()
    }

    pub fn set(&self, at: T) {
        if self.at.replace(at) != at {
            self.moved.notify(usize::MAX);
        }
    }

    /// Ends at the next move.
    pub fn moved(&self) -> EventListener {
        self.moved.listen()
    }
}

/// All that a reload moves, and what goes there.
pub struct Endpoints {
    pub engine: Endpoint<Option<SocketAddr>>,
    pub store: Endpoint<Option<SocketAddr>>,
    pub control: Endpoint<Option<SocketAddr>>,
    /// Dials are made through it.
    pub descriptors: Rc<Descriptors>,
}

impl Endpoints {
    pub fn of(config: &Config) -> Endpoints {
        Endpoints {
            engine: Endpoint::new(config.engine),
            store: Endpoint::new(config.store),
            control: Endpoint::new(config.control),
            descriptors: Rc::new(Descriptors::new(config.descriptors)),
        }
    }
}
