//! currantlift: a load balancer for servers whose load shifts in milliseconds.
//!
//! One node process runs beside each backend server. Its ingress accepts
//! callers' HTTP requests and forwards each over a framed link to the node of a
//! selected upstream. Its gate is the only path to its own backend server and
//! controls admission to it.
//!
//! Routing, admission, retries, membership and change tickets are state machines
//! that perform no I/O and get the time and random numbers from their caller. The
//! node process drives them with sockets and timers, the replay of traces in
//! virtual time with simulated ones.

pub mod admin;
pub mod admission;
pub mod backend;
pub mod body_channel;
pub mod control;
pub mod ctl;
pub mod decisions;
pub mod departures;
pub mod discovery;
pub mod error;
pub mod evacuation;
pub mod exchange;
pub mod fields;
pub mod gate;
pub mod http1;
pub mod ids;
pub mod ingress;
pub mod ledger;
pub mod link;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod options;
pub mod platform;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod replay;
pub mod resources;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod shutdown;
pub mod standin;
pub mod store;
pub mod table;
pub mod tickets;
pub mod trace;
pub mod warm_up;
pub mod zone_balancing;
