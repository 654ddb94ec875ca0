//! Applies the troubles of a world at their start and end.
use rand::Rng;

use super::{Event, Simulation, ticks_from_ms};
use crate::world::Kind;

impl Simulation<'_> {
    pub(super) fn apply_trouble(&mut self, at: usize, begins: bool) {
        let trouble = &self.world.troubles[at];
        let count = self.nodes.len();
        if begins {
            let mut all: Vec<usize> = (0..count).collect();
            // A fraction above zero affects at least one server.
            let affected = ((count as f64 * trouble.part).round() as usize)
                .clamp(usize::from(trouble.part > 0.0), count);
            for place in 0..affected {
                let other = self.chance.random_range(place..count);
                all.swap(place, other);
            }
            all.truncate(affected);
            self.affected[at] = all;
        }
        let (kind, size) = (trouble.kind, trouble.size);
        let (part, span) = (trouble.part, ticks_from_ms(trouble.for_s * 1000.0));
        let affected = self.affected[at].clone();
        match kind {
            Kind::Jump => self.jump = if begins { size } else { 1.0 },
            Kind::DependencySlow => self.slow_calls = if begins { size } else { 1.0 },
            // If only a fraction of the servers is affected, their connection to the dependency fails.
            Kind::DependencyHangs if part < 1.0 => affected
                .into_iter()
                .for_each(|node| self.nodes[node].way_hangs = begins),
            Kind::DependencyDead if part < 1.0 => affected
                .into_iter()
                .for_each(|node| self.nodes[node].way_dead = begins),
            Kind::DependencyHangs => self.hangs = begins,
            Kind::DependencyDead => self.dead = begins,
            Kind::HeavyTail => self.tail = begins.then_some((part, size)),
            Kind::HotCaller => {
                // Exactly one server is affected; `part` is the fraction of the requests.
                let server = self.chance.random_range(0..count);
                self.hot = begins.then_some((part, server));
            }
            Kind::Partition => affected
                .into_iter()
                .for_each(|node| self.nodes[node].cut_off = begins),
            Kind::LostReports => {
                // An entry of the endpoint list expires some time after its last report.
                let (lapses, listed) = (
                    self.now + 3 * self.health_propagation_time(),
                    self.now + self.health_propagation_time(),
                );
                for node in affected {
                    match begins {
                        true => {
                            self.nodes[node].unlisted_from =
                                self.nodes[node].unlisted_from.min(lapses)
                        }
                        false => {
                            (self.nodes[node].listed_from, self.nodes[node].unlisted_from) =
                                (listed, u64::MAX)
                        }
                    }
                }
            }
            Kind::ApplicationsHang => {
                for node in &mut self.nodes {
                    let most = (node.apps.len() as f64 * part).round() as usize;
                    node.apps
                        .iter_mut()
                        .take(most)
                        .for_each(|app| app.1 = begins);
                }
            }
            Kind::Slow | Kind::Pause => {
                for node in affected {
                    self.advance_service(node);
                    match kind {
                        Kind::Slow => self.nodes[node].slow = if begins { size } else { 1.0 },
                        _ => {
                            self.nodes[node].paused = begins;
                            self.nodes[node].pause_ends =
                                if begins { self.now + span } else { self.now };
                            if begins {
                                self.rules.postpone_deadlines(node, span);
                            }
                        }
                    }
                    self.schedule_completion(node);
                }
            }
            Kind::Crash => {
                for node in affected {
                    if begins && self.nodes[node].server.is_some() {
                        self.stop_server(node, true);
                        (self.nodes[node].unlisted_from, self.nodes[node].listed_from) =
                            (self.now + self.health_propagation_time() * 3, 0);
                    } else if !begins {
                        self.push(self.now, Event::Restart(node));
                    }
                }
            }
            Kind::Deploy if begins => {
                let each = span / affected.len().max(1) as u64;
                for (number, node) in affected.into_iter().enumerate() {
                    self.push(self.now + each * number as u64, Event::BeginDrain(node));
                }
            }
            Kind::Deploy => {}
        }
    }
}
