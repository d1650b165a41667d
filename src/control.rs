//! Control plane of a node: membership, configuration and administration requests.
//!
//! All of it runs on one thread, the control thread. It builds the routing table
//! from the members and the rules in force and publishes it to the worker
//! threads, configures the gate for the local backend server, accepts peer
//! connections and passes call links on to the gate.

pub mod admin;
pub mod evacuation;
pub mod peers;
pub mod placement;
pub mod presence;
pub mod state;
