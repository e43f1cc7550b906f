//! Integration tests, one module a topic.

mod answers;
mod cold;
mod crashes;
mod outcome;
mod path;
mod stop;
mod support;
mod tickets;
