//! Problems of a file: the location, what was found there and what was expected.

use std::fmt;

/// Maximum number of problems that are reported in detail; further ones are only counted.
pub const MAX_PROBLEMS: usize = 100;

/// One problem of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file, as given by the caller that read it.
    pub file: String,
    /// Location in the file: a JSON pointer, `line N, column M`, or empty if the problem concerns the entire
    /// file.
    pub location: String,
    /// Description of what was found at the location.
    pub found: String,
    /// Description of what was expected at the location.
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

/// All problems of a file or a set of files, in the order in which they were found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Problems {
    reported: Vec<Problem>,
    unreported_count: usize,
}

impl std::error::Error for Problems {}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.reported.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        match self.unreported_count {
            0 => Ok(()),
            more => write!(f, "\nand {more} more"),
        }
    }
}

impl Problems {
    /// Adds a problem. After [`MAX_PROBLEMS`] have been added, further ones are only counted.
    pub(crate) fn add(
        &mut self,
        file: &str,
        location: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        if self.reported.len() >= MAX_PROBLEMS {
            self.unreported_count += 1;
            return;
        }
        let (location, found, expected) = (location.into(), truncate(found.into()), expected.into());
        self.reported.push(Problem { file: file.to_owned(), location, found, expected });
    }

    /// Creates a set with a single problem.
    pub(crate) fn single(
        file: &str,
        location: impl Into<String>,
        found: impl Into<String>,
        expected: &str,
    ) -> Self {
        let mut problems = Self::default();
        problems.add(file, location, found, expected);
        problems
    }

    /// Returns `value` if there are no problems, and the problems as the error otherwise.
    pub(crate) fn ok_or_problems<T>(self, value: T) -> Result<T, Self> {
        if self.reported.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Checks whether there are no problems.
    pub fn is_empty(&self) -> bool {
        self.reported.is_empty()
    }

    /// Returns the problems that are reported in detail.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.reported.iter()
    }

    /// Returns the number of all problems, including those that are only counted.
    pub fn count(&self) -> usize {
        self.reported.len() + self.unreported_count
    }
}

/// Truncates the description of what was found, which may be as long as the file.
fn truncate(text: String) -> String {
    const MAX_CHARS: usize = 120;
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
