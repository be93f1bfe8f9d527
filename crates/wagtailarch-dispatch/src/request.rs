//! Description of a request, independent of the protocol that carries it.

use smol_str::SmolStr;
use wagtailarch_types::ModelName;
use wagtailarch_wire::part_report::{ReportedPart, WHOLE_REQUEST};

/// The kind of a request, which determines whether it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another backend server can continue the stream after a given event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether the request may run again if it may already have run.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the name used in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at_most_once",
            Self::Stream { resumable: true } => "resumable_stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

/// The prompt of a generation and the limit on its output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: ModelName,
    /// Parts in order; the last one belongs to this request or its session.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
}

/// A part of a prompt, which other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; parts with equal identifiers have equal tokens.
    pub id: SmolStr,
    /// Number of tokens.
    pub tokens: u32,
}

/// A prefix of a prompt: all parts up to and including one of them.
///
/// If the hashes of two prompts for the same model are equal, both begin with the same tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixLink {
    /// Hash of the model and the identifiers of the parts.
    pub hash: u64,
    /// Length of the prefix in tokens.
    pub end_tokens: u32,
}

impl Prompt {
    /// Returns the prefixes of the prompt, the shortest first.
    pub fn prefixes(&self) -> Vec<PrefixLink> {
        let mut hash = xxhash_rust::xxh3::xxh3_64(self.model.as_bytes());
        let mut end_tokens = 0;
        let mut links = Vec::with_capacity(self.parts.len());
        for part in &self.parts {
            hash = xxhash_rust::xxh3::xxh3_64_with_seed(part.id.as_bytes(), hash);
            end_tokens += part.tokens;
            links.push(PrefixLink { hash, end_tokens });
        }
        links
    }

    /// Returns the parts that other prompts may share: all but the last one.
    pub fn shared_parts(&self) -> Vec<ReportedPart> {
        let model = xxhash_rust::xxh3::xxh3_64(self.model.as_bytes());
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().enumerate();
        let parts = parts.map(|(depth, part)| ReportedPart {
            key: xxhash_rust::xxh3::xxh3_64_with_seed(part.id.as_bytes(), model),
            depth: u8::try_from(depth)
                .unwrap_or(u8::MAX)
                .min(WHOLE_REQUEST - 1),
        });
        parts.collect()
    }
}
