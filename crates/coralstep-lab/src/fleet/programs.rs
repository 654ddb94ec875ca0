//! The builds of `coralstep` that the members of a fleet are started from.
use std::path::{Path, PathBuf};

/// One program for all members, or two that alternate.
#[derive(Clone, Debug)]
pub struct Programs {
    primary: PathBuf,
    other: Option<PathBuf>,
}

impl Programs {
    /// Members with an even number are started from `primary`, the rest from `other` if there is one.
    pub fn alternating(primary: PathBuf, other: Option<PathBuf>) -> Programs {
        Programs { primary, other }
    }

    /// Returns the program of a member.
    pub fn of(&self, member: usize) -> &Path {
        self.other
            .as_deref()
            .filter(|_| member % 2 == 1)
            .unwrap_or(&self.primary)
    }
}

impl From<&Path> for Programs {
    fn from(program: &Path) -> Programs {
        Programs::alternating(program.to_owned(), None)
    }
}
