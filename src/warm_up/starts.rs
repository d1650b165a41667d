//! Requests sent within the last second to an upstream that was last known to be warm.

use std::collections::VecDeque;
use std::time::Duration;

/// Times of the last requests. Times are offsets from any fixed origin.
#[derive(Debug, Default)]
pub struct RecentStarts {
    starts: VecDeque<Duration>,
}

impl RecentStarts {
    /// Window of the limit.
    pub const WINDOW: Duration = Duration::from_secs(1);

    /// Adds a request; keeps at most `capacity` of them, the newest.
    pub fn record(&mut self, now: Duration, capacity: usize) {
        self.starts.push_back(now);
        while self.starts.len() > capacity
            || self
                .starts
                .front()
                .is_some_and(|at| *at + Self::WINDOW <= now)
        {
            self.starts.pop_front();
        }
    }

    /// Removes the requests sent before this time.
    pub fn remove_before(&mut self, query_sent_at: Duration) {
        self.starts.retain(|at| *at >= query_sent_at);
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.starts.clear();
    }

    /// Number of requests sent since this time.
    pub fn count_since(&self, time: Duration) -> u32 {
        let later = self.starts.iter().filter(|at| **at >= time);
        u32::try_from(later.count()).unwrap_or(u32::MAX)
    }

    /// Number of requests within the last second.
    pub fn count(&self, now: Duration) -> u32 {
        let recent = self.starts.iter().filter(|at| **at + Self::WINDOW > now);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}
