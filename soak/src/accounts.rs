//! Client accounts of a run: the keys that callers send, and the check of what replicas learn of
//! them.
//!
//! One account has the same key in all configurations. Another one gets a new key with each
//! configuration, which thereby withdraws the key of the one before.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::callers::CallerRequest;
use crate::checks::Arrival;
use crate::checks::Violation;

/// Time within which a withdrawn key is refused (`revokeMs` in the settings).
pub const REVOKE_BOUND: Duration = Duration::from_secs(3);
/// Header in which replicas get the name of the account.
pub const ACCOUNT_HEADER: &str = "bamboodoor-tenant";
/// Of this many requests, one carries the newest key and one the key before it.
const KEY_CYCLE: u64 = 8;

/// Key that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKey {
    /// Key that no configuration withdraws.
    Lasting,
    /// Key that only the configuration of this version has.
    Of {
        /// Version of the configuration.
        version: u64,
    },
}

/// Configuration that was published.
#[derive(Debug, Clone, Copy)]
pub struct Published {
    /// Its version.
    pub version: u64,
    /// When the store had it.
    pub at: Instant,
}

impl CallerKey {
    /// Returns the key of the request with this number.
    pub fn of_request(number: u64, published: &[Published]) -> Self {
        let mut versions = published.iter().rev().map(|published| published.version);
        let version = match KEY_CYCLE - 1 - number % KEY_CYCLE {
            0 => versions.next(),
            1 => versions.nth(1),
            _ => None,
        };
        version.map_or(Self::Lasting, |version| Self::Of { version })
    }

    /// Text of the key.
    pub fn text(&self) -> String {
        match self {
            Self::Lasting => "key-lasting".to_string(),
            Self::Of { version } => format!("key-{version}"),
        }
    }

    fn account(&self) -> &'static str {
        match self {
            Self::Lasting => "first",
            Self::Of { .. } => "second",
        }
    }

    /// When a configuration without the key was published.
    fn withdrawn_at(&self, published: &[Published]) -> Option<Instant> {
        let Self::Of { version } = self else { return None };
        published.iter().filter(|later| later.version > *version).map(|later| later.at).min()
    }
}

/// Returns the accounts of the configuration of a version.
pub fn accounts(version: u64) -> Value {
    let keys = [CallerKey::Lasting, CallerKey::Of { version }];
    keys.iter().map(|key| json!({"name": key.account(), "apiKeys": [key.text()]})).collect()
}

/// The replica learns the account that holds the key, and not the key; and no request arrives that
/// was sent later than the bound after its key was withdrawn.
pub(crate) fn check_account(
    request: &CallerRequest,
    arrival: &Arrival,
    published: &[Published],
) -> Option<Violation> {
    let key = request.key?;
    let headers = &arrival.request.headers;
    let named = headers.get(ACCOUNT_HEADER).map(String::as_str);
    let text = key.text();
    if named != Some(key.account()) || headers.values().any(|value| value.contains(&text)) {
        return Some(Violation::new("right account", format!("{:?}", arrival.request)));
    }
    let withdrawn_at = key.withdrawn_at(published)?;
    (request.sent_at > withdrawn_at + REVOKE_BOUND)
        .then(|| Violation::new("withdrawn key", format!("{request:?}")))
}
