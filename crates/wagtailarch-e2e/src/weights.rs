//! Mixes of request kinds for the load of tests and tools.

use wagtailarch_load::load::KindWeights;

/// Model calls only.
pub const MODELS: KindWeights = KindWeights {
    stream: 3.0,
    whole: 1.0,
    get: 0.0,
    post: 0.0,
    direct: 0.0,
};

/// Calls of plain services only.
pub const PLAIN: KindWeights = KindWeights {
    stream: 0.0,
    whole: 0.0,
    get: 1.0,
    post: 1.0,
    direct: 0.0,
};

/// All kinds of calls that entry instances serve.
pub const ALL: KindWeights = KindWeights {
    stream: 3.0,
    whole: 1.0,
    get: 1.0,
    post: 1.0,
    direct: 0.0,
};

/// The mix of the demonstration and of `wagtail-bench requests`.
pub const MIXED: KindWeights = KindWeights {
    stream: 5.0,
    whole: 2.0,
    get: 2.0,
    post: 1.0,
    direct: 0.0,
};
