//! World of the demonstration: three overloaded servers whose store first slows down, then hangs.
use crate::world::World;

/// Duration of the load, in seconds.
pub const SECONDS: u64 = 30;

const WORLD: &str = r#"{
  "name": "demo", "seconds": 30,
  "servers": {"count": 3, "cores": 2, "speed": [0.9, 1.1], "crowd": 5, "memory_kb": 40000, "held_kb": 24, "run_factor": 8,
    "key_kb": 2, "cold_speed": 0.3, "warm_ms": 5000, "stop_ms": 1500, "grace_ms": 300},
  "dependency": {"capacity": 24, "call_ms": {"log_normal": [40, 0.4]}, "fails": 0.005},
  "methods": [
    {"name": "read", "share": 4, "work_ms": {"exponential": 30}, "effect": "idempotent", "target_ms": 600, "deadline_ms": 2000,
      "criticality": 1, "late": 0.2, "calls": true},
    {"name": "book", "share": 1, "work_ms": {"gamma": [30, 3]}, "effect": "non_idempotent", "target_ms": 800, "deadline_ms": 2500,
      "criticality": 3, "late": 0.2, "calls": true},
    {"name": "pay", "share": 1, "work_ms": {"uniform": [20, 50]}, "effect": "tokened", "target_ms": 800, "deadline_ms": 3000,
      "window_ms": 8000, "criticality": 4, "late": 0.2}
  ],
  "gateways": {"count": 4, "retries": 2, "heed": 0.75, "pause_ms": 100},
  "load": 0.7,
  "troubles": [
    {"kind": "jump", "at_s": 5, "for_s": 7, "size": 2},
    {"kind": "dependency_slow", "at_s": 13, "for_s": 4, "size": 12},
    {"kind": "dependency_hangs", "at_s": 19, "for_s": 5},
    {"kind": "deploy", "at_s": 25, "for_s": 3, "part": 0.34}
  ]
}"#;

/// Parses the world of the demonstration.
pub fn world() -> Result<World, String> {
    World::parse(WORLD)
}

#[cfg(test)]
mod tests;
