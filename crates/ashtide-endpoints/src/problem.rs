//! What is wrong with a file: where, what was found, and what was expected.

use std::fmt;

/// Most problems that are reported of one file; the others are counted.
pub const MAX_PROBLEMS: usize = 100;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file, as it was named by whoever read it.
    pub file: String,
    /// Where in it: a JSON pointer, `line N, column M`, or nothing for the file as a whole.
    pub location: String,
    /// What was found there.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if !self.location.is_empty() {
            write!(f, " {}", self.location)?;
        }
        write!(f, ": found {}, expected {}", self.found, self.expected)
    }
}

/// All that is wrong with a file or a set of files, in the order in which it was found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Problems {
    all: Vec<Problem>,
    more: usize,
}

impl std::error::Error for Problems {}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, problem) in self.all.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        match self.more {
            0 => Ok(()),
            more => write!(f, "\nand {more} more"),
        }
    }
}

impl Problems {
    /// Adds one; beyond [`MAX_PROBLEMS`] they are counted only.
    pub(crate) fn add(
        &mut self,
        file: &str,
        at: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        if self.all.len() >= MAX_PROBLEMS {
            self.more += 1;
            return;
        }
        let (at, found, expected) = (at.into(), shortened(found.into()), expected.into());
        self.all.push(Problem { file: file.to_owned(), location: at, found, expected });
    }

    /// A file with a single problem.
    pub(crate) fn one(file: &str, at: impl Into<String>, found: impl Into<String>, expected: &str) -> Self {
        let mut problems = Self::default();
        problems.add(file, at, found, expected);
        problems
    }

    /// Nothing, where there is no problem.
    pub(crate) fn none<T>(self, value: T) -> Result<T, Self> {
        if self.all.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Those that are reported.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.all.iter()
    }

    /// How many there are in all.
    pub fn count(&self) -> usize {
        self.all.len() + self.more
    }
}

/// What was found may be as large as the file.
fn shortened(text: String) -> String {
    const MOST: usize = 120;
    match text.char_indices().nth(MOST) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}
