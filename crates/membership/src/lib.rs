//! Failure detection and dissemination of member records.
