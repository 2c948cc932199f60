//! The generated text, a deterministic function of the model and the prompt.

use xxhash_rust::xxh3::Xxh3;

/// The bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;

/// The text of the token at `index` of the response to a prompt.
///
/// `model` is the name of the model or adapter as sent to the engine.
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let mut hash = Xxh3::new();
    hash.update(model.as_bytes());
    hash.update(&[0]);
    hash.update(prompt.as_bytes());
    hash.update(&[0]);
    hash.update(&index.to_le_bytes());
    format!("{:04x} ", hash.digest() & 0xffff)
}

/// The text of `count` tokens of the response to a prompt, starting at token `from`.
pub fn expected_text(model: &str, prompt: &str, from: u32, count: u32) -> String {
    (from..from + count).map(|index| token_text(model, prompt, index)).collect()
}

/// The number of tokens of a prompt; at least 1.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(TOKEN_BYTES).max(1) as u32
}
