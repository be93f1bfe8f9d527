//! The protocol between instances and the protocol towards engines.
