//! Addresses of this server's engine, store and control plane: a reload replaces them, links and calls follow.
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use event_listener::{Event, EventListener};

use super::config::Config;
use super::descriptors::Descriptors;

/// An address that a reload may replace.
pub struct Endpoint<T> {
    address: Cell<T>,
    changed: Event,
}

impl<T: Copy + PartialEq> Endpoint<T> {
    /// An endpoint at `address`.
    pub fn new(address: T) -> Endpoint<T> {
        Endpoint {
            address: Cell::new(address),
            changed: Event::new(),
        }
    }

    /// The address now.
    pub fn get(&self) -> T {
        self.address.get()
    }

    /// Replaces the address.
    pub fn set(&self, address: T) {
        if self.address.replace(address) != address {
            self.changed.notify(usize::MAX);
        }
    }

    /// Ends when the address is next replaced by another.
    pub fn listen_for_change(&self) -> EventListener {
        self.changed.listen()
    }
}

/// All addresses that a reload replaces, and what connects to them.
pub struct Endpoints {
    /// The engine.
    pub engine: Endpoint<Option<SocketAddr>>,
    /// The store.
    pub store: Endpoint<Option<SocketAddr>>,
    /// The control plane.
    pub control_plane: Endpoint<Option<SocketAddr>>,
    /// Makes all connections to them.
    pub descriptors: Rc<Descriptors>,
}

impl Endpoints {
    /// The endpoints that `config` names.
    pub fn new(config: &Config) -> Endpoints {
        Endpoints {
            engine: Endpoint::new(config.engine),
            store: Endpoint::new(config.store),
            control_plane: Endpoint::new(config.control_plane),
            descriptors: Rc::new(Descriptors::new(config.descriptors)),
        }
    }
}
