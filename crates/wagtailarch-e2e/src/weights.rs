//! Mixes of calls that several tests and tools send.

use wagtailarch_load::load::Weights;

/// Model calls only.
pub const MODELS: Weights = Weights {
    stream: 3.0,
    whole: 1.0,
    get: 0.0,
    post: 0.0,
    direct: 0.0,
};

/// Calls of plain services only.
pub const PLAIN: Weights = Weights {
    stream: 0.0,
    whole: 0.0,
    get: 1.0,
    post: 1.0,
    direct: 0.0,
};

/// Every kind of call that goes through entry instances.
pub const ALL: Weights = Weights {
    stream: 3.0,
    whole: 1.0,
    get: 1.0,
    post: 1.0,
    direct: 0.0,
};

/// The mix of the demonstration.
pub const MIXED: Weights = Weights {
    stream: 5.0,
    whole: 2.0,
    get: 2.0,
    post: 1.0,
    direct: 0.0,
};
