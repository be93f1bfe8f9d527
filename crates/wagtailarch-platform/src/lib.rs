//! Client for the platform object API and the fault-injecting in-memory fake.
//!
//! [`Platform`] is the boundary; [`HttpPlatform`] speaks the protocol of section 6 of the design
//! page and [`FakePlatform`] answers from memory with seeded faults.
//! [`ConfigStore`] reads and applies configurations; [`PartCollector`] removes what no manifest refers
//! to any more.

mod claim_collector;
mod config_store;
mod error;
mod fake;
mod http;
mod part_collector;
mod platform;

pub use claim_collector::{ClaimCollector, CollectError, CollectedClaims};
pub use config_store::{ApplyOutcome, ConfigError, ConfigStore, RetryLimits};
pub use error::{PlatformError, PlatformResult};
pub use fake::{FakeFaults, FakePlatform};
pub use http::{HttpPlatform, HttpPlatformConfig};
pub use part_collector::{CollectedParts, PartCollector};
pub use platform::{ListPage, ListedObject, Platform, PlatformFuture, Precondition, Versioned};
