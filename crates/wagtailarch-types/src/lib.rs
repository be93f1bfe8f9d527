//! Identifiers, units and closed sets shared by every crate.
