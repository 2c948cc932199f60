//! Client accounts, and the account that holds a key.

use std::fmt::{self, Display, Formatter};

use chestnut_base::{CallerName, NameError};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::formats::SpaceSeparator;
use serde_with::{DisplayFromStr, StringWithSeparator, serde_as};

use crate::key::KeyDigest;
use crate::limit::{Limit, Unit, UnitError};

/// A client account.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// The digests of its keys; none is that of another account.
    #[serde(rename = "key_sha256")]
    #[serde_as(as = "StringWithSeparator::<SpaceSeparator, KeyDigest>")]
    pub keys: Vec<KeyDigest>,
    /// Its weight when capacity is shared under overload; at least 1.
    pub share: u32,
    /// The priority of its requests, 0 being the highest; `None` leaves it to the route.
    pub priority: Option<u8>,
    /// The most that it may use; `None` if it has no limit.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub limit: Option<Limit>,
}

/// The declaration of an account as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct AccountText {
    /// The account's name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// The priority of its requests.
    pub priority: Option<u8>,
    /// What its limit counts; requests if absent.
    pub unit: Option<String>,
    /// Units per second; absent or zero for no limit.
    pub rate: Option<f64>,
    /// Units beyond the rate; zero if absent.
    pub burst: Option<f64>,
    /// The tokens that a request without a token count counts as; zero if absent.
    pub plain_tokens: Option<u32>,
}

impl TryFrom<AccountText> for (CallerName, ClientAccount) {
    type Error = AccountError;

    fn try_from(text: AccountText) -> Result<Self, AccountError> {
        let name =
            CallerName::try_from(text.name.as_str()).map_err(AccountError::Name)?;
        let error = |problem| AccountError::Account(name.clone(), problem);
        if text.keys.iter().any(String::is_empty) {
            return Err(error(AccountProblem::EmptyKey));
        }
        let limit = read_limit(&text).map_err(error)?;
        let keys = text.keys.iter().map(|key| KeyDigest::of(key)).collect();
        Ok((name, ClientAccount { keys, share: 1, priority: text.priority, limit }))
    }
}

fn read_limit(text: &AccountText) -> Result<Option<Limit>, AccountProblem> {
    let unit = text.unit.as_deref().map(Unit::try_from).transpose();
    let unit = unit.map_err(AccountProblem::Unit)?.unwrap_or_default();
    let (rate, burst) = (text.rate.unwrap_or(0.0), text.burst.unwrap_or(0.0));
    let plain_tokens = text.plain_tokens.unwrap_or(0);
    Limit::checked(unit, rate, burst, plain_tokens)
}

impl Limit {
    /// Checks a declared limit; a rate of zero means none.
    pub fn checked(
        unit: Unit,
        rate: f64,
        burst: f64,
        plain_tokens: u32,
    ) -> Result<Option<Self>, AccountProblem> {
        let is_valid = |value: f64| value >= 0.0 && value.is_finite();
        if !is_valid(rate) {
            return Err(AccountProblem::Rate);
        }
        if !is_valid(burst) {
            return Err(AccountProblem::Burst);
        }
        Ok((rate > 0.0).then_some(Self { unit, rate, burst, plain_tokens }))
    }
}

/// Identifies an account in [`Accounts`] of the same declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AccountKey(usize);

/// All declared accounts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    accounts: IndexMap<CallerName, ClientAccount>,
    /// The account that holds each key; has the keys of all accounts.
    holders: IndexMap<KeyDigest, AccountKey>,
}

impl Accounts {
    /// The account that holds a key; `None` if none does.
    pub fn authenticate(&self, key: &KeyDigest) -> Option<AccountKey> {
        self.holders.get(key).copied()
    }

    /// The name and declaration of an account.
    ///
    /// # Panics
    ///
    /// If the key is from other declarations with more accounts.
    pub fn get(&self, key: AccountKey) -> (&CallerName, &ClientAccount) {
        let AccountKey(index) = key;
        self.accounts.get_index(index).expect("the key is from these accounts")
    }

    /// The account with that name; `None` if it is not declared.
    pub fn find(&self, name: &CallerName) -> Option<&ClientAccount> {
        self.accounts.get(name)
    }

    /// All accounts with their names.
    pub fn iter(&self) -> impl Iterator<Item = (&CallerName, &ClientAccount)> {
        self.accounts.iter()
    }
}

impl TryFrom<Vec<AccountText>> for Accounts {
    type Error = AccountError;

    fn try_from(texts: Vec<AccountText>) -> Result<Self, AccountError> {
        let mut accounts = IndexMap::new();
        for text in texts {
            let (name, account) = text.try_into()?;
            if accounts.contains_key(&name) {
                return Err(AccountError::Account(name, AccountProblem::Repeated));
            }
            accounts.insert(name, account);
        }
        Self::try_from(accounts)
    }
}

impl TryFrom<IndexMap<CallerName, ClientAccount>> for Accounts {
    type Error = AccountError;

    fn try_from(
        accounts: IndexMap<CallerName, ClientAccount>,
    ) -> Result<Self, AccountError> {
        let mut holders = IndexMap::new();
        for (index, (name, account)) in accounts.iter().enumerate() {
            for key in &account.keys {
                let earlier = holders.insert(*key, AccountKey(index));
                if let Some(AccountKey(other)) = earlier.filter(|key| key.0 != index) {
                    let (other, _) =
                        accounts.get_index(other).expect("the index is of an account");
                    let problem = AccountProblem::SharedKey(other.clone());
                    return Err(AccountError::Account(name.clone(), problem));
                }
            }
        }
        Ok(Self { accounts, holders })
    }
}

/// Why accounts are rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountError {
    /// An account's name is invalid.
    Name(NameError),
    /// An account's declaration is invalid.
    Account(CallerName, AccountProblem),
}

/// Why the declaration of an account is invalid. It never names a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountProblem {
    /// One of its keys is empty.
    EmptyKey,
    /// One of its keys is also that of the named account.
    SharedKey(CallerName),
    /// Another account has the same name.
    Repeated,
    /// The unit of its limit is unknown.
    Unit(UnitError),
    /// The rate is negative or not finite.
    Rate,
    /// The burst is negative or not finite.
    Burst,
}

impl Display for AccountError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(error) => write!(f, "a client account's name is invalid: {error}"),
            Self::Account(name, problem) => {
                write!(f, "the client account {name} is invalid: {problem}")
            }
        }
    }
}

impl Display for AccountProblem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::EmptyKey => f.write_str("one of its keys is empty; remove it"),
            Self::SharedKey(other) => {
                write!(f, "the account {other} has the same key; create a new key")
            }
            Self::Repeated => f.write_str("it is declared twice; keep one declaration"),
            Self::Unit(error) => error.fmt(f),
            Self::Rate => {
                f.write_str("its rate is not a number of zero or more; correct it")
            }
            Self::Burst => {
                f.write_str("its burst is not a number of zero or more; correct it")
            }
        }
    }
}

impl std::error::Error for AccountError {}

impl std::error::Error for AccountProblem {}
