//! Parsing and validation of a fleet file.

use toml::de::DeTable;

use crate::check::check;
use crate::draft::FleetDraft;
use crate::reader::Field;
use crate::sink::Sink;
use crate::{Finding, Fleet, split};

/// Maximum size of a fleet file in bytes; a file with 29,000 teams has about 7 MB.
pub const MAX_FILE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum size of a part in bytes; the platform rejects larger values.
const MAX_PART_BYTES: usize = 1_000_000;

impl Fleet {
    /// Parses and validates a fleet file.
    ///
    /// `file_name` appears in the findings. On failure, returns all findings sorted by position.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut sink = Sink::new(file_name, text);
        if text.len() > MAX_FILE_BYTES {
            let message = format!("the file has {} bytes", text.len());
            sink.report(
                &(0..0),
                message,
                format!("the limit is {MAX_FILE_BYTES} bytes"),
            );
            return Err(sink.finish());
        }
        let (root, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            report_syntax_error(&mut sink, error);
        }
        let root_table = Field {
            value: root.get_ref(),
            span: 0..0,
        };
        let draft = FleetDraft::read(&mut sink, root_table);
        check(&mut sink, &draft);
        if !sink.is_empty() {
            return Err(sink.finish());
        }
        let Some(fleet) = draft.build() else {
            sink.report(
                &(0..0),
                "a required value is absent",
                "compare docs/configuration.md",
            );
            return Err(sink.finish());
        };
        check_part_sizes(&mut sink, &fleet);
        if sink.is_empty() {
            Ok(fleet)
        } else {
            Err(sink.finish())
        }
    }
}

/// Checks that each part of the fleet fits into an object of the platform.
fn check_part_sizes(sink: &mut Sink<'_>, fleet: &Fleet) {
    let (content, parts) = split(fleet);
    for (hash, value) in &parts {
        let size_bytes = value.len();
        if size_bytes <= MAX_PART_BYTES {
            continue;
        }
        let (content_name, hint) = if *hash == content.core {
            (
                "the file without its teams",
                "shorten the lists of models, groups and services",
            )
        } else {
            (
                "a bucket of about 32 teams",
                "shorten the services lists of teams",
            )
        };
        let message =
            format!("{content_name} has {size_bytes} bytes, the limit is {MAX_PART_BYTES}");
        sink.report(&(0..0), message, hint);
    }
}

/// Reports an error of the TOML parser.
fn report_syntax_error(sink: &mut Sink<'_>, error: &toml::de::Error) {
    let span = error.span().unwrap_or(0..0);
    if error.message().starts_with("duplicate key") {
        sink.report(&span, error.message(), "remove one of the two");
        return;
    }
    sink.after_syntax_error = true;
    let message = format!("not valid TOML: {}", error.message().replace('\n', ", "));
    sink.report(&span, message, "check quotes, brackets and equals signs");
}
