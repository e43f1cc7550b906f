//! Newtypes for names and numbers that identify something, so that the compiler rejects a service
//! name where a VM name is expected.

use std::sync::Arc;

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};

/// Result of creating an identifier.
pub(crate) type Result<T> = std::result::Result<T, IdError>;

/// Maximum length of an identifier in bytes. A member record, which contains several identifiers,
/// must fit into one datagram (`cornelvalve_wire::datagram::MAX_DATAGRAM_BYTES`).
const MAX_ID_BYTES: usize = 64;

/// Reason why a string is not a valid identifier.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum IdError {
    /// The string is empty.
    #[display("identifier is empty; give at least one character")]
    Empty,
    /// The string is longer than `MAX_ID_BYTES`.
    #[display("identifier is longer than {MAX_ID_BYTES} bytes; shorten it")]
    TooLong,
    /// The string contains this character, which is not allowed.
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

/// Defines an identifier that is a validated string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        #[debug("{_0}")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier after checking its length and characters.
            ///
            /// # Errors
            ///
            /// Returns an [`IdError`] if `text` is empty, is too long or contains a character that
            /// is not allowed.
            pub fn new(text: &str) -> Result<Self> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the identifier as a string slice.
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
    /// Name of a VM, unique among the VMs that run at the same time.
    VmName
);
string_id!(
    /// Name of a service, which is a set of interchangeable upstreams.
    ServiceName
);
string_id!(
    /// Name of a team on whose behalf requests are made.
    TeamName
);
string_id!(
    /// Name of a region, which consists of failure domains. Data residency rules refer to regions.
    Region
);
string_id!(
    /// Name of a failure domain, the unit that operators take out of service as a whole.
    FailureDomain
);
string_id!(
    /// Name of a route, unique within its service.
    RouteName
);
string_id!(
    /// Name of a data residency rule.
    RuleName
);

/// Defines an identifier that is a number.
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
            /// Returns this number plus one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_id!(
    /// Identifies one run of a daemon or upstream process, and is larger for a later run of the
    /// same process. Daemons use the wall-clock time of their start in milliseconds.
    Incarnation
);
number_id!(
    /// Position of a record in a log stream.
    Offset
);
number_id!(
    /// Number of times that a store was restored from an older copy, plus a constant. A restore
    /// gives offsets out again, so offsets are comparable within one era only. Zero means that the
    /// store does not name its era.
    StoreEra
);
number_id!(
    /// Revision of the configuration or of one of its entries: the log offset of the last accepted
    /// change to it, plus one. It increases with every accepted change, but not always by one. Zero
    /// means that there is no configuration, or no such entry.
    Revision
);
