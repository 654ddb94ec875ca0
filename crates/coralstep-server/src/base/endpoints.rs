//! Addresses of the engine, the store and the control plane. A reload may replace them; connections then follow.
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
    /// Creates an endpoint at `address`.
    pub fn new(address: T) -> Endpoint<T> {
        Endpoint {
            address: Cell::new(address),
            changed: Event::new(),
        }
    }

    /// Returns the current address.
    pub fn get(&self) -> T {
        self.address.get()
    }

    /// Replaces the address and notifies listeners if it differs.
    pub fn set(&self, address: T) {
        if self.address.replace(address) != address {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns a listener that is notified when the address next changes.
    pub fn listen_for_change(&self) -> EventListener {
        self.changed.listen()
    }
}

/// All addresses that a reload may replace, and the descriptors for connecting to them.
pub struct Endpoints {
    /// The engine.
    pub engine: Endpoint<Option<SocketAddr>>,
    /// The store.
    pub store: Endpoint<Option<SocketAddr>>,
    /// The control plane.
    pub control_plane: Endpoint<Option<SocketAddr>>,
    /// Opens all connections to these endpoints.
    pub descriptors: Rc<Descriptors>,
}

impl Endpoints {
    /// Creates the endpoints configured in `config`.
    pub fn new(config: &Config) -> Endpoints {
        Endpoints {
            engine: Endpoint::new(config.engine),
            store: Endpoint::new(config.store),
            control_plane: Endpoint::new(config.control_plane),
            descriptors: Rc::new(Descriptors::new(config.descriptors)),
        }
    }
}
