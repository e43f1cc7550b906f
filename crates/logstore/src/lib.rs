//! Client of the platform's append-only log service.
