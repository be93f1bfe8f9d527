//! Collection of findings with their places.

use std::ops::Range;

use crate::Finding;
use crate::finding::MAX_SOURCE_LINE_CHARS;

/// Greatest number of findings that are kept; a 29,000-team file with a fault in each team would
/// otherwise produce megabytes of output.
const MAX_FINDINGS: usize = 1_000;

/// Bytes of the file that a value takes up.
pub(crate) type Span = Range<usize>;

/// Findings of one file, in the order of their discovery.
pub(crate) struct Sink<'a> {
    file: &'a str,
    text: &'a str,
    /// Offset of the first byte of each line; rising, the first is 0.
    line_starts: Vec<usize>,
    /// Offset and finding; at most `MAX_FINDINGS`.
    findings: Vec<(usize, Finding)>,
    omitted: usize,
    /// Whether the syntax tree was repaired, in which case keys may be missing from it.
    pub(crate) repaired: bool,
}

impl<'a> Sink<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        let mut line_starts = vec![0];
        line_starts.extend(text.match_indices('\n').map(|(at, _)| at + 1));
        Self {
            file,
            text,
            line_starts,
            findings: Vec::new(),
            omitted: 0,
            repaired: false,
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
            column: self.chars(line_start, start) + 1,
            width: self.chars(start, marked_end).max(1),
            source_line: source_line.chars().take(MAX_SOURCE_LINE_CHARS).collect(),
            message: message.into(),
            hint: hint.into(),
        };
        self.findings.push((start, finding));
    }

    /// Returns the number of the line that holds `span`, from 1.
    pub(crate) fn line(&self, span: &Span) -> usize {
        self.line_index(span.start) + 1
    }

    /// Tells whether further findings are only counted.
    pub(crate) fn is_full(&self) -> bool {
        self.findings.len() == MAX_FINDINGS
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings in the order of their places.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|(at, _)| *at);
        let mut findings: Vec<Finding> = self.findings.into_iter().map(|(_, f)| f).collect();
        if self.omitted > 0
            && let Some(last) = findings.last_mut()
        {
            last.hint += &format!(" ({} further findings are not shown)", self.omitted);
        }
        findings
    }

    fn line_index(&self, offset: usize) -> usize {
        self.line_starts
            .partition_point(|start| *start <= offset)
            .saturating_sub(1)
    }

    fn chars(&self, from: usize, to: usize) -> u32 {
        // Spans of a repaired syntax tree may split a character.
        self.text
            .get(from..to)
            .map_or(0, |text| text.chars().count() as u32)
    }
}
