//! Stand-ins for outside systems; not for production.
