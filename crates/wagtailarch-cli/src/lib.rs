//! The operator command line.
