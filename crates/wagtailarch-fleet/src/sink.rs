//! Collection of findings with their positions.

use std::ops::Range;

use crate::Finding;
use crate::finding::MAX_SOURCE_LINE_CHARS;

/// Maximum number of findings of a file; further ones are only counted.
///
/// A file with 29,000 teams and an error in each would otherwise produce megabytes of output.
const MAX_FINDINGS: usize = 1_000;

/// Byte range of a value in the file.
pub(crate) type Span = Range<usize>;

/// Findings of one file, in the order in which they were reported.
pub(crate) struct Sink<'a> {
    file: &'a str,
    text: &'a str,
    /// Offset of the first byte of each line in ascending order; the first is 0.
    line_starts: Vec<usize>,
    /// Offsets and findings; at most `MAX_FINDINGS`.
    findings: Vec<(usize, Finding)>,
    /// Number of findings beyond `MAX_FINDINGS`.
    omitted: usize,
    /// Whether the parser recovered from a syntax error, so that keys may be missing from the
    /// syntax tree.
    pub(crate) after_syntax_error: bool,
}

impl<'a> Sink<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        let mut line_starts = vec![0];
        line_starts.extend(text.match_indices('\n').map(|(offset, _)| offset + 1));
        Self {
            file,
            text,
            line_starts,
            findings: Vec::new(),
            omitted: 0,
            after_syntax_error: false,
        }
    }

    /// Adds a finding at `span`.
    pub(crate) fn report(
        &mut self,
        span: &Span,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        if self.is_full() {
            self.omitted += 1;
            return;
        }
        let start = span.start.min(self.text.len());
        let line = self.line_index(start);
        let line_start = self.line_starts[line];
        let source_line = self.text[line_start..].lines().next().unwrap_or_default();
        let line_end = line_start + source_line.len();
        let marked_end = span.end.clamp(start, line_end.max(start));
        let finding = Finding {
            file: self.file.into(),
            line: line as u32 + 1,
            column: self.char_count(line_start, start) + 1,
            width: self.char_count(start, marked_end).max(1),
            source_line: source_line.chars().take(MAX_SOURCE_LINE_CHARS).collect(),
            message: message.into(),
            hint: hint.into(),
        };
        self.findings.push((start, finding));
    }

    /// Returns the number of the line in which `span` starts; the first line is 1.
    pub(crate) fn line(&self, span: &Span) -> usize {
        self.line_index(span.start) + 1
    }

    /// Returns whether further findings are only counted.
    pub(crate) fn is_full(&self) -> bool {
        self.findings.len() == MAX_FINDINGS
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings sorted by position.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|(offset, _)| *offset);
        let mut findings: Vec<Finding> = self.findings.into_iter().map(|(_, f)| f).collect();
        if self.omitted > 0
            && let Some(last) = findings.last_mut()
        {
            last.hint += &format!(" ({} further findings are not shown)", self.omitted);
        }
        findings
    }

    /// Returns the index of the line that contains `offset`.
    fn line_index(&self, offset: usize) -> usize {
        self.line_starts
            .partition_point(|start| *start <= offset)
            .saturating_sub(1)
    }

    /// Returns the number of characters between two byte offsets.
    fn char_count(&self, start: usize, end: usize) -> u32 {
        // After a syntax error, spans may start or end inside a UTF-8 character.
        self.text
            .get(start..end)
            .map_or(0, |text| text.chars().count() as u32)
    }
}
