//! Identifiers as newtypes, so that a service name is never passed where a VM name is expected.

use std::sync::Arc;

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, IdError>;

/// Longest accepted identifier in bytes; keeps a member record within one datagram.
const MAX_ID_BYTES: usize = 64;

/// Reports why a text is not a valid identifier.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    #[display("identifier is empty; give at least one character")]
    Empty,
    /// The text is longer than the limit.
    #[display("identifier is longer than {MAX_ID_BYTES} bytes; shorten it")]
    TooLong,
    /// The text contains a character that is not allowed.
    #[display("identifier contains {_0:?}; use lower-case letters, digits, '.', '_' and '-'")]
    BadCharacter(#[error(not(source))] char),
}

fn validate(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong);
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        #[debug("{_0}")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the identifier after checking its characters and length.
            ///
            /// # Errors
            ///
            /// Returns [`IdError`] if the text is empty, too long or has a character that is not
            /// allowed.
            pub fn new(text: &str) -> Result<Self> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

string_id!(
    /// Names a VM; unique among the VMs that run at the same time.
    VmName
);
string_id!(
    /// Names a service, a set of interchangeable upstreams.
    ServiceName
);
string_id!(
    /// Names a team, on whose behalf a request is made.
    TeamName
);
string_id!(
    /// Names a region.
    Region
);
string_id!(
    /// Names a failure domain, the unit that operators take out of service.
    FailureDomain
);
string_id!(
    /// Names a route of a service.
    RouteName
);
string_id!(
    /// Names a residency rule.
    RuleName
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        #[debug("{_0}")]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_id!(
    /// Distinguishes successive starts of the same process or upstream; a later start has a
    /// larger number.
    Incarnation
);
number_id!(
    /// Position of a record in a log stream.
    Offset
);
number_id!(
    /// Revision of the accepted configuration: the offset of the last accepted change plus one;
    /// it only rises.
    Revision
);
