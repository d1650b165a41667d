//! Small stand-ins for what the platform provides, for tests and the demo.

pub mod backend;
pub mod relay;
pub mod store;
