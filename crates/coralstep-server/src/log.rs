//! The one way to a log line: `note!`, to standard error, so many lines a second at the most.
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines a second; what is beyond is counted and told with the next line.
const LINES: u32 = 20;

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Lines left out before this one, where this one may be written.
pub fn admitted(now: Instant) -> Option<u32> {
    let (since, count) = WINDOW.get();
    let fresh = since.is_none_or(|since| now.saturating_duration_since(since) >= Duration::from_secs(1));
    if fresh {
        WINDOW.set((Some(now), 1));
        return Some(count.saturating_sub(LINES));
    }
    WINDOW.set((since, count.saturating_add(1)));
    (count < LINES).then_some(0)
}

#[macro_export]
macro_rules! note {
    ($($text:tt)*) => {
        match $crate::log::admitted(std::time::Instant::now()) {
            None => {}
            Some(0) => eprintln!($($text)*),
            Some(left_out) => eprintln!("{} ({left_out} lines left out before)", format_args!($($text)*)),
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted() {
        let start = Instant::now();
        let written = (0..100).filter(|_| admitted(start).is_some()).count();
        assert_eq!(written as u32, LINES);
        assert_eq!(admitted(start + Duration::from_secs(1)), Some(80));
    }
}
