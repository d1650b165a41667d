//! Tests of the quarantine.

mod fleet;
mod rules;
