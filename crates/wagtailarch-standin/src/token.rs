//! The token function, which maps a prompt to the output of every stand-in engine.

use displaydoc::Display;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of prompt in a block of the prefix cache.
pub const BLOCK_BYTES: usize = 256;
/// Bytes of prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Text in a prompt or body on which an engine or a service exits when it runs the request.
pub const CRASH_MARKER: &str = "CRASH-ON-RUN";
/// Prompt text that, followed by a decimal number, ends the output after that many tokens.
pub const STOP_MARKER: &str = "STOP-AT-";

/// Hash of a prompt that determines the tokens of the output.
pub type PromptKey = u64;

/// Returns the key of a prompt.
///
/// If the prompt contains text between `<<` and `>>`, the key depends on that text only. A client
/// can then predict the output although a chat template surrounds its message.
pub fn prompt_key(prompt: &str) -> PromptKey {
    let marked = prompt
        .split_once("<<")
        .and_then(|(_, rest)| rest.split_once(">>"))
        .map_or(prompt, |(inner, _)| inner);
    xxh3_64(marked.as_bytes())
}

/// Returns the text of token `index`: the index, a hash of prompt and index, and a space.
pub fn token_text(key: PromptKey, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), key) & 0xffff_ffff;
    format!("t{index}.{hash:08x} ")
}

/// Returns the text of the first `count` tokens of the output.
pub fn output_text(key: PromptKey, count: u32) -> String {
    (0..count).map(|index| token_text(key, index)).collect()
}

/// Returns the number of tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the number of tokens of the whole output and whether it ends because of
/// [`STOP_MARKER`] rather than the limit.
pub fn output_length(prompt: &str, max_tokens: u32) -> (u32, bool) {
    let stop_count = prompt.split_once(STOP_MARKER).and_then(|(_, rest)| {
        let digits_end = rest.find(|c: char| !c.is_ascii_digit());
        rest[..digits_end.unwrap_or(rest.len())].parse::<u32>().ok()
    });
    match stop_count {
        Some(count) if count.max(1) <= max_tokens => (count.max(1), true),
        _ => (max_tokens, false),
    }
}

/// Difference between a text and the output that the token function defines.
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
    /// text at position {index} belongs to no token of this output
    ForeignText {
        /// Position of the text.
        index: u32,
    },
}

impl std::error::Error for OutputError {}

/// Checks that `text` consists of exactly the first `count` tokens of the output, in order.
pub fn check_output(key: PromptKey, count: u32, text: &str) -> Result<(), OutputError> {
    let mut index = 0;
    for fragment in text.split_inclusive(' ') {
        if index < count && fragment == token_text(key, index) {
            index += 1;
            continue;
        }
        return Err(mismatch_error(key, count, index, fragment));
    }
    if index < count {
        return Err(OutputError::MissingToken { index });
    }
    Ok(())
}

/// Returns the error for a fragment that is not the token expected at `index`.
fn mismatch_error(key: PromptKey, count: u32, index: u32, fragment: &str) -> OutputError {
    let claimed_index = fragment
        .strip_prefix('t')
        .and_then(|rest| rest.split_once('.'));
    let claimed_index = claimed_index.and_then(|(number, _)| number.parse::<u32>().ok());
    match claimed_index {
        Some(number) if number < count && fragment == token_text(key, number) => {
            if number < index {
                OutputError::RepeatedToken { index }
            } else {
                OutputError::MissingToken { index }
            }
        }
        _ if index < count && token_text(key, index).starts_with(fragment) => {
            OutputError::MissingToken { index }
        }
        _ => OutputError::ForeignText { index },
    }
}

/// Returns the chained hashes of the complete blocks of a prompt, one for each prefix length.
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
