//! Memory and file descriptors of the machine, and the shares of them that callers, links
//! and other nodes may take.
//!
//! A share is a limit on a sum, over all connections or calls of the process. What remains
//! is left to the process itself, to the allocator, and to its own connections: those to
//! upstreams, to other nodes and to the store.

use std::fs;

use derive_more::{Display, Error};

use crate::options::{DescriptorCount, MemoryMegabytes};

const BYTES_PER_MEGABYTE: u64 = 1024 * 1024;
/// Share of the memory that may be held for callers, as a divisor.
const CALLER_MEMORY_DIVISOR: u64 = 4;
/// Share of the memory that the queues of all links may hold, as a divisor.
const LINK_MEMORY_DIVISOR: u64 = 16;
/// Share of the memory for responses that wait for their acknowledgement, as a divisor.
const RETAINED_MEMORY_DIVISOR: u64 = 16;
/// Share of the descriptors for callers' connections, as a divisor.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;
/// Share of the descriptors for exchanges that other nodes open, as a divisor.
const PEER_EXCHANGE_DIVISOR: usize = 16;
/// Share of the descriptors for connections to each server of the administration, as a divisor.
const ADMIN_DESCRIPTOR_DIVISOR: usize = 32;
/// Limits of the process, as the kernel states them.
const PROCESS_LIMITS_PATH: &str = "/proc/self/limits";
/// Line of the limit on descriptors there; the soft limit is the first number.
const DESCRIPTORS_LINE: &str = "Max open files";
/// Descriptors of a process whose limit is not known.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// The limit on descriptors can't be read.
#[derive(Debug, Clone, Copy, Display, Error, PartialEq, Eq)]
#[display("no limit on descriptors")]
pub struct NoDescriptorLimit;

/// Limits on what the process holds for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Bytes held for callers: heads, bodies, responses that they have not taken.
    pub caller_bytes: u64,
    /// Bytes in the queues of all links.
    pub link_bytes: usize,
    /// Bytes of complete responses that wait for their acknowledgement.
    pub retained_bytes: usize,
    /// Callers' connections.
    pub caller_connections: usize,
    /// Connections of other nodes that carry one exchange, or whose hello has not arrived.
    pub peer_exchanges: usize,
    /// Connections to each server of the administration.
    pub admin_connections: usize,
}

impl ResourceLimits {
    /// Limits on a machine of this size.
    pub fn new(memory: MemoryMegabytes, descriptors: DescriptorCount) -> Self {
        let memory_bytes = memory.get() * BYTES_PER_MEGABYTE;
        let to_size = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
        let descriptors = to_size(descriptors.get());
        Self {
            caller_bytes: memory_bytes / CALLER_MEMORY_DIVISOR,
            link_bytes: to_size(memory_bytes / LINK_MEMORY_DIVISOR),
            retained_bytes: to_size(memory_bytes / RETAINED_MEMORY_DIVISOR),
            caller_connections: descriptors / CALLER_DESCRIPTOR_DIVISOR,
            peer_exchanges: descriptors / PEER_EXCHANGE_DIVISOR,
            admin_connections: descriptors / ADMIN_DESCRIPTOR_DIVISOR,
        }
    }
}

impl Default for ResourceLimits {
    /// Limits on the smallest machine that the default settings are meant for.
    fn default() -> Self {
        let memory = MemoryMegabytes::try_from(256);
        let descriptors = DescriptorCount::try_from(DEFAULT_DESCRIPTORS);
        match (memory, descriptors) {
            (Ok(memory), Ok(descriptors)) => Self::new(memory, descriptors),
            _ => unreachable!("both are in range"),
        }
    }
}

/// Descriptors that the process may open, as far as its resource limit says.
pub fn process_descriptors() -> DescriptorCount {
    let limits = fs::read_to_string(PROCESS_LIMITS_PATH).unwrap_or_default();
    let count = parse_descriptor_limit(&limits).unwrap_or_else(|error| {
        log::warn!(
            target: "node",
            "{PROCESS_LIMITS_PATH}: {error}; {DEFAULT_DESCRIPTORS} descriptors are assumed"
        );
        DEFAULT_DESCRIPTORS
    });
    DescriptorCount::clamped(count)
}

/// Soft limit on descriptors in the text of the kernel's file.
fn parse_descriptor_limit(limits: &str) -> Result<u64, NoDescriptorLimit> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix(DESCRIPTORS_LINE));
    let soft_limit = line.and_then(|line| line.split_whitespace().next());
    match soft_limit {
        Some("unlimited") => Ok(u64::MAX),
        Some(count) => count.parse().map_err(|_| NoDescriptorLimit),
        None => Err(NoDescriptorLimit),
    }
}

#[cfg(test)]
mod tests;
