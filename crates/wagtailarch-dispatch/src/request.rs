//! What a request asks for, independent of the protocol that carried it.

use smol_str::SmolStr;
use wagtailarch_types::ModelName;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another backend server may continue the stream after a given event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Tells whether a run that may have happened can be followed by another one.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns the stable textual form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at_most_once",
            Self::Stream { resumable: true } => "resumable_stream",
            Self::Stream { resumable: false } => "stream",
        }
    }
}

/// The prompt of a generation and what is expected of its output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: ModelName,
    /// Parts in their order; the last one belongs to this request or to its session.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Greatest number of output tokens.
    pub output_tokens: u32,
}

/// One part of a prompt, which other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; equal identifiers mean equal tokens.
    pub id: SmolStr,
    /// Number of tokens.
    pub tokens: u32,
}

/// One prefix of a prompt: all parts up to some part.
///
/// Two prompts of one model with equal hashes begin with the same tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixLink {
    /// Hash over the model and the identifiers of the parts.
    pub hash: u64,
    /// Tokens from the start of the prompt to the end of the last part.
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
}
