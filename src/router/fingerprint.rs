//! Recognizes requests with the same content.

use std::fmt::Display;
use std::fmt::Formatter;

use sha2::Digest;
use sha2::Sha256;

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Fingerprint of what a request asks for and of its caller. Requests with the same content have
/// the same one, whatever their ids. It reveals nothing of the content, and callers cannot
/// choose contents with the same fingerprint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Returns the fingerprint of a request whose content consists of these fields, in a fixed
    /// order.
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
}

impl Display for RequestFingerprint {
    /// Writes the fingerprint in hexadecimal digits.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
