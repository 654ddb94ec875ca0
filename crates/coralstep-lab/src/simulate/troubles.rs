//! Troubles begin and end.
use rand::Rng;

use super::{Event, Sim, ticks};
use crate::world::Kind;

impl Sim<'_> {
    pub(super) fn trouble(&mut self, at: usize, begins: bool) {
        let trouble = &self.world.troubles[at];
        let count = self.nodes.len();
        if begins {
            let mut all: Vec<usize> = (0..count).collect();
            // A part that is not none strikes one at the least.
            let struck = ((count as f64 * trouble.part).round() as usize)
                .clamp(usize::from(trouble.part > 0.0), count);
            for place in 0..struck {
                let other = self.chance.random_range(place..count);
                all.swap(place, other);
            }
            all.truncate(struck);
            self.struck[at] = all;
        }
        let (kind, size) = (trouble.kind, trouble.size);
        let (part, span) = (trouble.part, ticks(trouble.for_s * 1000.0));
        let struck = self.struck[at].clone();
        match kind {
            Kind::Jump => self.jump = if begins { size } else { 1.0 },
            Kind::DependencySlow => self.slow_calls = if begins { size } else { 1.0 },
            // For a part of the servers it is their way there that fails.
            Kind::DependencyHangs if part < 1.0 => struck
                .into_iter()
                .for_each(|node| self.nodes[node].way_hangs = begins),
            Kind::DependencyDead if part < 1.0 => struck
                .into_iter()
                .for_each(|node| self.nodes[node].way_dead = begins),
            Kind::DependencyHangs => self.hangs = begins,
            Kind::DependencyDead => self.dead = begins,
            Kind::HeavyTail => self.tail = begins.then_some((part, size)),
            Kind::HotCaller => {
                // One server is struck, whatever the part.
                let server = self.chance.random_range(0..count);
                self.hot = begins.then_some((part, server));
            }
            Kind::Partition => struck
                .into_iter()
                .for_each(|node| self.nodes[node].cut_off = begins),
            Kind::LostReports => {
                // An entry of the list lapses some time after its last report.
                let (lapses, listed) = (self.now + 3 * self.list(), self.now + self.list());
                for node in struck {
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
                for node in struck {
                    self.advance(node);
                    match kind {
                        Kind::Slow => self.nodes[node].slow = if begins { size } else { 1.0 },
                        _ => {
                            self.nodes[node].paused = begins;
                            self.nodes[node].pause_ends =
                                if begins { self.now + span } else { self.now };
                            if begins {
                                self.rules.paused(node, span);
                            }
                        }
                    }
                    self.schedule(node);
                }
            }
            Kind::Crash => {
                for node in struck {
                    if begins && self.nodes[node].server.is_some() {
                        self.stop(node, true);
                        (self.nodes[node].unlisted_from, self.nodes[node].listed_from) =
                            (self.now + self.list() * 3, 0);
                    } else if !begins {
                        self.push(self.now, Event::Return(node));
                    }
                }
            }
            Kind::Deploy if begins => {
                let each = span / struck.len().max(1) as u64;
                for (number, node) in struck.into_iter().enumerate() {
                    self.push(self.now + each * number as u64, Event::Leave(node));
                }
            }
            Kind::Deploy => {}
        }
    }
}
