use super::*;

/// A counter that must not reach a figure; 0 counts up, 1 down, 2 does nothing.
struct Counter(i32, Option<String>);

impl Play for Counter {
    type Scope = i32;
    fn start(_: &i32) -> Counter {
        Counter(0, None)
    }
    fn moves(&self) -> Vec<u8> {
        vec![0, 1, 2]
    }
    fn step(&mut self, what: u8) {
        self.0 += [1, -1, 0][what as usize];
        if self.0 == 4 {
            self.1 = Some("four".to_owned());
        }
    }
    fn digest(&self) -> u64 {
        self.0 as u64
    }
    fn broken(&self) -> Option<&str> {
        self.1.as_deref()
    }
    fn comes_free(self) -> Option<String> {
        (self.0 == -3).then(|| "stuck".to_owned())
    }
    fn name(what: u8) -> &'static str {
        ["up", "down", "nothing"][what as usize]
    }
}

#[test]
fn the_shortest_fault_is_found_and_each_state_met_once() {
    let walked = exhaust::<Counter>(&0, 9, 1_000, |_, _| {});
    let fault = walked.fault.unwrap();
    assert_eq!(
        (fault.moves.clone(), fault.why.as_str()),
        (vec![1, 1, 1], "stuck")
    );
    assert_eq!(fault.told::<Counter>(), "stuck; after: down, down, down");
    let few = exhaust::<Counter>(&0, 2, 1_000, |_, _| {});
    assert_eq!((few.states, few.fault, few.cut), (5, None, false));
    assert!(exhaust::<Counter>(&0, 9, 4, |_, _| {}).cut);
}

#[test]
fn a_long_history_is_made_short() {
    let found = wander::<Counter>(&0, 100, 60, 1).fault.unwrap();
    assert!(
        found.moves == [0, 0, 0, 0] || found.moves == [1, 1, 1],
        "{found:?}"
    );
}
