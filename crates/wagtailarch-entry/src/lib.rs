//! The entry instance.
