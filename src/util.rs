//! Helpers shared by several modules: binary encoding, hashing of secrets, and validation of names.

use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Longest name of a customer, class, budget or target, in bytes.
pub const NAME_MAX: usize = 64;

/// Encodes a value in the binary form that is stored and sent between processes.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("serializable types always encode")
}

/// Decodes a value; `None` if the bytes are not exactly one encoded value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = decode_first(bytes)?;
    rest.is_empty().then_some(value)
}

/// Decodes the value at the start of the bytes, and returns it with the bytes after it.
pub fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, &[u8])> {
    let config = bincode::config::standard().with_limit::<{ 64 << 20 }>();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    Some((value, &bytes[used..]))
}

/// The stored form of a secret: hexadecimal SHA-256.
pub fn hash_secret(secret: &str) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(secret.as_bytes()) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Compares a secret with its stored form in constant time.
pub fn secret_matches(secret: &str, stored: &str) -> bool {
    hash_secret(secret)
        .as_bytes()
        .ct_eq(stored.as_bytes())
        .into()
}

/// Whether a name consists of 1 to 64 of `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= NAME_MAX && text.bytes().all(allowed)
}
