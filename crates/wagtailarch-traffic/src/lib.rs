//! Traffic decisions without I/O: routing, admission, retry, claims, quarantine, answers.
