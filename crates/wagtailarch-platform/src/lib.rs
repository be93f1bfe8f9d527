//! Access to the platform, which stores objects and lists instances.
//!
//! [`Platform`] is the interface. [`HttpPlatform`] implements it with the protocol of section 6 of
//! the design page, and [`FakePlatform`] in memory with injected faults. [`ConfigStore`] reads and
//! applies configurations. [`PartCollector`] removes configuration parts to which the manifest no
//! longer refers, and [`ClaimCollector`] claim log entries after their retention.

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
