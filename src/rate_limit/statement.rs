//! Decides which response of a backend server is its newest statement about its limit.
//!
//! Responses on several connections state no order. A response that arrives after
//! another may have been made before it. A lower rate therefore applies at once; a
//! higher one, or the end of the limit, only from the response to a request that was
//! sent after the last statement of the limit had arrived. Responses to load polls may
//! lack the field altogether: they end a limit only if they have stated it before.

use std::time::Duration;

use super::StartRate;

/// What a response says about the limit.
#[derive(Debug, Clone, PartialEq)]
pub enum RateReading {
    /// It names no limit.
    Absent,
    /// It names this limit.
    Named(StartRate),
    /// It names something that is not a rate.
    Unreadable(String),
}

/// What a backend server says of itself in the head of a response.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendStatement {
    /// Limit on its requests.
    pub rate: RateReading,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Time for which it is still cold, zero if it is warm; `None` if it doesn't say.
    pub warm_up_left: Option<Duration>,
}

/// Times of a request and of the head of its response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseTime {
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Time at which the response was read.
    pub read_at: Duration,
}

/// Kind of message that a statement came with.
#[derive(Debug, Clone, Copy, derive_more::Display, PartialEq, Eq)]
pub enum StatementSource {
    /// Response to a call.
    #[display("response")]
    Response,
    /// Response to a load poll.
    #[display("load-poll")]
    LoadPoll,
    /// An ingress that was told before this gate started.
    #[display("ingress")]
    Ingress,
    /// Announcement of the backend server.
    #[display("announcement")]
    Announcement,
}

/// Change of the limit in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// Limit before.
    pub old: Option<StartRate>,
    /// Limit in force from now on.
    pub new: Option<StartRate>,
    /// Time since the limit before was stated last; `None` if there was none.
    pub old_age: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct NamedRate {
    rate: StartRate,
    stated_at: Duration,
    is_stated_by_polls: bool,
}

/// Statements of one backend server about its limit.
#[derive(Debug, Default)]
pub struct RateStatements {
    named: Option<NamedRate>,
    announced: Option<StartRate>,
    /// Whether a response of the backend server has been read.
    has_own_reading: bool,
}

impl RateStatements {
    /// Limit in force: the lowest that is stated.
    pub fn rate(&self) -> Option<StartRate> {
        let named = self.named.map(|named| named.rate);
        match (named, self.announced) {
            (Some(named), Some(announced)) if announced < named => Some(announced),
            (named, announced) => named.or(announced),
        }
    }

    /// Applies what a response says; returns the change of the limit, if any.
    pub fn record_response(
        &mut self,
        times: ResponseTime,
        reading: &RateReading,
        source: StatementSource,
    ) -> Option<RateChange> {
        let is_poll = source == StatementSource::LoadPoll;
        let stated = match reading {
            RateReading::Unreadable(_) => return None,
            RateReading::Named(rate) => Some(*rate),
            RateReading::Absent => None,
        };
        self.has_own_reading |= !is_poll || stated.is_some();
        self.update(times.read_at, |statements| match stated {
            Some(rate) => statements.apply_named(times, rate, is_poll),
            None => statements.apply_absent(times, is_poll),
        })
    }

    /// Applies what an ingress was told before the gate started, unless the backend
    /// server itself has been heard since.
    pub fn record_from_ingress(&mut self, now: Duration, rate: StartRate) -> Option<RateChange> {
        if self.has_own_reading || self.named.is_some_and(|named| named.rate <= rate) {
            return None;
        }
        self.update(now, |statements| {
            statements.named = Some(NamedRate {
                rate,
                stated_at: now,
                is_stated_by_polls: false,
            });
        })
    }

    /// Applies the limit that the backend server's last announcement states.
    pub fn record_announcement(
        &mut self,
        now: Duration,
        rate: Option<StartRate>,
    ) -> Option<RateChange> {
        self.update(now, |statements| statements.announced = rate)
    }

    fn update(&mut self, now: Duration, apply: impl FnOnce(&mut Self)) -> Option<RateChange> {
        let old = self.rate();
        let old_age = self.named.map(|named| now.saturating_sub(named.stated_at));
        apply(self);
        let new = self.rate();
        (old != new).then_some(RateChange { old, new, old_age })
    }

    fn apply_named(&mut self, times: ResponseTime, rate: StartRate, is_poll: bool) {
        let known = self.named;
        let is_newer = known.is_none_or(|known| known.stated_at <= times.sent_at);
        let rate = match known {
            Some(known) if known.rate < rate && !is_newer => known.rate,
            _ => rate,
        };
        self.named = Some(NamedRate {
            rate,
            stated_at: times.read_at,
            is_stated_by_polls: is_poll || known.is_some_and(|known| known.is_stated_by_polls),
        });
    }

    fn apply_absent(&mut self, times: ResponseTime, is_poll: bool) {
        self.named = self.named.filter(|known| {
            let is_older = times.sent_at < known.stated_at;
            is_older || (is_poll && !known.is_stated_by_polls)
        });
    }
}
