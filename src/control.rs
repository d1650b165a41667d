//! Control: membership, configuration and the administration API's requests.
//!
//! Everything here runs on one thread. Control joins the members and the rules
//! in force into a routing table and publishes it to traffic; it tells the
//! gate about the backend server; it accepts peer connections and passes call
//! links on to the gate.

pub mod admin;
pub mod peers;
pub mod placement;
pub mod presence;
pub mod spread;
pub mod state;
