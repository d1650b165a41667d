//! Test doubles for what surrounds the load balancer, for tests and the demo:
//! backend servers, the network between nodes, and the platform's key-value
//! store.

pub mod backend;
pub mod relay;
pub mod store;
