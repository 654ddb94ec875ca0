//! Where this server's engine, store and control plane are. What moves them (a reload) and what goes there (links, calls, reports) meet
//! here and know nothing of each other.
use std::cell::Cell;
use std::net::SocketAddr;

use event_listener::{Event, EventListener};

use super::config::Config;

/// Where somebody is; a new configuration may move it.
pub struct Place<T> {
    at: Cell<T>,
    moved: Event,
}

impl<T: Copy + PartialEq> Place<T> {
    pub fn new(at: T) -> Place<T> {
        Place { at: Cell::new(at), moved: Event::new() }
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

/// All that a reload moves.
pub struct Places {
    pub engine: Place<Option<SocketAddr>>,
    pub store: Place<Option<SocketAddr>>,
    pub control: Place<Option<SocketAddr>>,
}

impl Places {
    pub fn of(config: &Config) -> Places {
        Places {
            engine: Place::new(config.engine),
            store: Place::new(config.store),
            control: Place::new(config.control),
        }
    }
}
