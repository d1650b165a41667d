//! currantlift: a load balancer for servers whose load shifts in milliseconds.
//!
//! One small node process runs beside each backend server. A node takes
//! callers' HTTP requests (ingress), passes each to the node beside a chosen
//! upstream over a framed link, and is the only way to its own backend server
//! (gate). The decisions (routing, admission, retry, membership, change
//! tickets) are state machines without sockets, clocks or random sources of
//! their own; the processes are thin drivers around them.

pub mod admin;
pub mod admission;
pub mod backend;
pub mod control;
pub mod ctl;
pub mod decisions;
pub mod discovery;
pub mod error;
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
pub mod replay;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod shutdown;
pub mod standin;
pub mod store;
pub mod table;
pub mod tickets;
pub mod trace;
