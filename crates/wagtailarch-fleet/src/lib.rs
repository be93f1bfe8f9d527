//! The fleet file: data model, parser, validation with spans, parts and diff.
