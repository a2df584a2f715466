//! Client accounts of a configuration: which API keys belong to them, their priority and
//! their quota.
//!
//! A configuration without accounts asks no caller for a key.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Debug;
use std::fmt::Formatter;
use std::sync::Arc;

use compact_str::CompactString;

use crate::router::request::Prompt;

/// Secret by which a caller shows to which account it belongs. It is not part of any text:
/// there is no `Display`, and `Debug` leaves it out.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(CompactString);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<CompactString>) -> Self {
        Self(text.into())
    }
}

impl Debug for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Client account.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Account {
    /// Name, which upstreams get in place of the key.
    pub name: CompactString,
    /// Priority of its requests, 0 is the highest; `None` if that of the route applies.
    pub priority: Option<u8>,
    /// Quota of all entries together; `None` if there is no limit.
    pub quota: Option<Quota>,
}

/// What an account may send through all entries together: a rate, and on top of it a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What counts.
    pub unit: QuotaUnit,
    /// Units a second.
    pub rate_per_s: f64,
    /// Units beyond the rate.
    pub burst: f64,
}

/// Unit in which a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the largest output.
    Tokens {
        /// Tokens for which a request counts that is no model request.
        per_plain_request: u32,
    },
}

impl Quota {
    /// Units for which a request counts.
    pub fn units(&self, prompt: Option<&Prompt>) -> f64 {
        match (self.unit, prompt) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens { .. }, Some(prompt)) => {
                f64::from(prompt.tokens) + f64::from(prompt.max_output_tokens)
            }
            (QuotaUnit::Tokens { per_plain_request }, None) => f64::from(per_plain_request),
        }
    }
}

/// Account with its keys, as a configuration lists it.
#[derive(Debug, Clone, Default)]
pub struct AccountEntry {
    /// The account.
    pub account: Account,
    /// All keys of the account.
    pub keys: Vec<ApiKey>,
}

/// Why the accounts of a configuration are not valid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum AccountsError {
    /// Two accounts have the same name.
    #[error("account {0}: the name stands twice")]
    DuplicateName(CompactString),
    /// A key belongs to two accounts.
    #[error("accounts {0} and {1}: both have the same key")]
    DuplicateKey(CompactString, CompactString),
    /// A rate or a burst is negative or not finite.
    #[error("account {0}: expected a rate and a burst of 0 or more")]
    InvalidQuota(CompactString),
}

/// All accounts of a configuration, by their keys.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    by_key: HashMap<ApiKey, Arc<Account>>,
    accounts: Vec<Arc<Account>>,
}

impl Accounts {
    /// Creates the accounts of a configuration.
    ///
    /// # Errors
    /// A name or a key stands twice, or a quota is not valid.
    pub fn new(entries: Vec<AccountEntry>) -> Result<Self, AccountsError> {
        let mut names = HashSet::new();
        let mut accounts = Self::default();
        for entry in entries {
            check_quota(&entry.account)?;
            if !names.insert(entry.account.name.clone()) {
                return Err(AccountsError::DuplicateName(entry.account.name));
            }
            accounts.insert(entry)?;
        }
        Ok(accounts)
    }

    fn insert(&mut self, entry: AccountEntry) -> Result<(), AccountsError> {
        let account = Arc::new(entry.account);
        for key in entry.keys {
            if let Some(other) = self.by_key.insert(key, account.clone())
                && other.name != account.name
            {
                return Err(AccountsError::DuplicateKey(other.name.clone(), account.name.clone()));
            }
        }
        self.accounts.push(account);
        Ok(())
    }

    /// True if there are no accounts, so that callers need no key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the account to which a key belongs.
    pub fn by_key(&self, key: &ApiKey) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// All accounts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }
}

fn check_quota(account: &Account) -> Result<(), AccountsError> {
    let valid = |number: f64| number.is_finite() && number >= 0.0;
    match account.quota {
        Some(quota) if !valid(quota.rate_per_s) || !valid(quota.burst) => {
            Err(AccountsError::InvalidQuota(account.name.clone()))
        }
        _ => Ok(()),
    }
}

/// Who sent a request, as far as its configuration tells.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Caller {
    /// The configuration has no accounts; what the caller sent to identify itself is
    /// forwarded as it is.
    #[default]
    Unchecked,
    /// The route is public, and the caller gave no key of an account.
    Anonymous,
    /// The caller gave a key of this account.
    Account(Arc<Account>),
}

impl Caller {
    /// Account of the caller, if known.
    pub fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unchecked | Self::Anonymous => None,
        }
    }
}
