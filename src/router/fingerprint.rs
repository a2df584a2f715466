//! Recognizes equal contents by a hash.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Fingerprint of a content. It reveals nothing of the content, and callers cannot choose
/// different contents with the same fingerprint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Returns the fingerprint of a content that consists of these fields.
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let digest = hash.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns the bytes, as for [`Fingerprint::from_bytes`].
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the fingerprint of these bytes; `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    /// Parses hexadecimal digits, as [`Fingerprint`] is displayed.
    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        let digits = text.len() == 2 * FINGERPRINT_BYTES && text.is_ascii();
        let value = digits.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        value.map(|value| Self(value.to_be_bytes())).ok_or(InvalidFingerprint)
    }
}

/// The text is not that of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has {} hexadecimal digits", 2 * FINGERPRINT_BYTES)]
pub struct InvalidFingerprint;

impl Display for Fingerprint {
    /// Writes the fingerprint in hexadecimal digits.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
