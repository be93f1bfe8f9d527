//! An error in a fleet file.

use std::fmt;

use serde::Serialize;

/// An error in a fleet file with its position.
///
/// `Display` writes the position, the message, the source line with the error marked, and the hint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// Number of characters to mark in `source_line`; at least 1.
    pub width: u32,
    /// The line of the file without its line break, truncated to `MAX_SOURCE_LINE_CHARS`.
    pub source_line: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub hint: String,
}

/// Maximum number of characters of a source line in a finding.
pub(crate) const MAX_SOURCE_LINE_CHARS: usize = 160;

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.message
        )?;
        let number = self.line.to_string();
        writeln!(f, "  {number} | {}", self.source_line)?;
        let column = self.column as usize - 1;
        let line_chars = self.source_line.chars().count();
        if column <= line_chars {
            let width = (self.width as usize).min(line_chars - column).max(1);
            let (margin, marker) = (" ".repeat(number.len()), "^".repeat(width));
            writeln!(f, "  {margin} | {}{marker}", self.indent(column))?;
        }
        write!(f, "  hint: {}", self.hint)
    }
}

impl Finding {
    /// Returns whitespace as wide as the first `column` characters of the line; tabs are preserved.
    fn indent(&self, column: usize) -> String {
        let blank = |c| if c == '\t' { '\t' } else { ' ' };
        self.source_line.chars().take(column).map(blank).collect()
    }
}
