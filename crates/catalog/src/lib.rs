//! Configuration state machine fed by log records in offset order.
