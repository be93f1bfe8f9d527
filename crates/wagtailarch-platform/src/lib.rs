//! Client for the platform object API and the fault-injecting in-memory fake.
