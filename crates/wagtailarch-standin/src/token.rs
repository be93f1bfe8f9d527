//! The token function: what every stand-in engine answers to a prompt.

use displaydoc::Display;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of one block of the prefix cache.
pub const BLOCK_BYTES: usize = 256;
/// Bytes of prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Prompt text on which an engine or a service exits when it runs the request.
pub const CRASH_MARK: &str = "CRASH-ON-RUN";
/// Prompt text that, followed by a decimal number, ends the answer after that many tokens.
pub const STOP_MARK: &str = "STOP-AT-";

/// Hash of a prompt that selects the tokens of its answer.
pub type PromptKey = u64;

/// Computes the key of a prompt.
///
/// If the prompt holds text between `<<` and `>>`, that text alone counts, so that a client knows
/// the answer even when a chat template surrounds its message.
pub fn prompt_key(prompt: &str) -> PromptKey {
    let marked = prompt
        .split_once("<<")
        .and_then(|(_, rest)| rest.split_once(">>"))
        .map_or(prompt, |(inner, _)| inner);
    xxh3_64(marked.as_bytes())
}

/// Returns the text of token `index`: its index, a hash of prompt and index, and a space.
pub fn token_text(key: PromptKey, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), key) & 0xffff_ffff;
    format!("t{index}.{hash:08x} ")
}

/// Returns the text of the first `count` tokens.
pub fn output_text(key: PromptKey, count: u32) -> String {
    (0..count).map(|index| token_text(key, index)).collect()
}

/// Returns the number of tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the number of tokens of the whole answer, and whether the model ends it by itself.
pub fn output_length(prompt: &str, max_tokens: u32) -> (u32, bool) {
    let stop = prompt.split_once(STOP_MARK).and_then(|(_, rest)| {
        let digits = rest.find(|c: char| !c.is_ascii_digit());
        rest[..digits.unwrap_or(rest.len())].parse::<u32>().ok()
    });
    match stop {
        Some(count) if count.max(1) <= max_tokens => (count.max(1), true),
        _ => (max_tokens, false),
    }
}

/// How an answer differs from what the token function says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OutputError {
    /// token {index} is missing
    MissingToken {
        /// Index of the first missing token.
        index: u32,
    },
    /// a token was delivered twice at position {index}
    RepeatedToken {
        /// Position of the repeated token.
        index: u32,
    },
    /// text at position {index} belongs to no token of this answer
    ForeignText {
        /// Position of the foreign text.
        index: u32,
    },
}

impl std::error::Error for OutputError {}

/// Checks that `text` is exactly the first `count` tokens of the answer, once and in order.
pub fn check_output(key: PromptKey, count: u32, text: &str) -> Result<(), OutputError> {
    let mut index = 0;
    for piece in text.split_inclusive(' ') {
        if index < count && piece == token_text(key, index) {
            index += 1;
            continue;
        }
        return Err(classify(key, count, index, piece));
    }
    if index < count {
        return Err(OutputError::MissingToken { index });
    }
    Ok(())
}

/// Tells a repeated token, a skipped token and foreign text apart.
fn classify(key: PromptKey, count: u32, index: u32, piece: &str) -> OutputError {
    let stated = piece
        .strip_prefix('t')
        .and_then(|rest| rest.split_once('.'));
    let stated = stated.and_then(|(number, _)| number.parse::<u32>().ok());
    match stated {
        Some(number) if number < count && piece == token_text(key, number) => {
            if number < index {
                OutputError::RepeatedToken { index }
            } else {
                OutputError::MissingToken { index }
            }
        }
        _ if index < count && token_text(key, index).starts_with(piece) => {
            OutputError::MissingToken { index }
        }
        _ => OutputError::ForeignText { index },
    }
}

/// Returns the chained hashes of the whole blocks of a prompt, one for each prefix length.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}
