//! Relates the end of a backend server to the calls that ran there.
//!
//! All calls that ran when the server ended are suspects, unless one of them ran in a
//! trial: then that one is. Calls whose connection closed shortly before count as running,
//! as the end of a process reaches its connections one after the other, and so do calls
//! that were given up shortly before.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::fingerprint::RequestIdentity;
use super::record::CrashBlame;
use super::{HeadDigest, RequestFingerprint};
use crate::ids::CallId;

/// Time before the end of a backend server within which a call that ended without a
/// response counts as running at the end.
const LOST_WINDOW: Duration = Duration::from_millis(100);
/// The same if only the next start shows that the server has ended.
const RESTART_WINDOW: Duration = Duration::from_secs(5);

/// Call that runs at the backend server.
#[derive(Debug, Clone)]
pub struct WatchedRun {
    /// Identity of its request.
    pub identity: Rc<RequestIdentity>,
    /// Whether it runs as a suspect, and no other suspect beside it.
    pub is_trial: bool,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// With a complete response of the backend server.
    Completed,
    /// The connection failed before the response was complete.
    ConnectionLost,
    /// By a cancellation or at the deadline; the backend server may still be at it.
    GivenUp,
    /// No connection could be opened, which may be the first sign of a crash.
    Unreachable,
    /// The backend server did not run it.
    NotRun,
}

/// Who may have caused a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashFinding {
    /// Suspects with a known fingerprint.
    pub suspects: Vec<(RequestFingerprint, HeadDigest)>,
    /// Blame that each of them gets.
    pub blame: CrashBlame,
    /// Calls that were running.
    pub calls: Vec<CallId>,
}

#[derive(Debug)]
struct EndedRun {
    at: Duration,
    end: RunEnd,
    call: CallId,
    run: WatchedRun,
}

/// Calls at the backend server, present and recent.
#[derive(Debug, Default)]
pub struct CrashWatch {
    running: BTreeMap<CallId, WatchedRun>,
    recent: Vec<EndedRun>,
}

impl CrashWatch {
    /// Records the start of a run.
    pub fn start_run(&mut self, call: CallId, run: WatchedRun) {
        self.running.insert(call, run);
    }

    /// Records the end of a run; false if it was taken by a crash.
    pub fn end_run(&mut self, now: Duration, call: CallId, end: RunEnd) -> bool {
        self.recent
            .retain(|ended| now.saturating_sub(ended.at) < RESTART_WINDOW);
        let Some(run) = self.running.remove(&call) else {
            return false;
        };
        if matches!(end, RunEnd::ConnectionLost | RunEnd::GivenUp) {
            self.recent.push(EndedRun {
                at: now,
                end,
                call,
                run,
            });
        }
        true
    }

    /// The backend server has ended: nothing listens at its address.
    pub fn take_crash(&mut self, now: Duration) -> CrashFinding {
        self.take_finding(|ended| now.saturating_sub(ended.at) < LOST_WINDOW)
    }

    /// The backend server has started again; `None` if no run shows that it crashed.
    pub fn take_unnoticed_crash(&mut self, now: Duration) -> Option<CrashFinding> {
        let is_lost = |ended: &EndedRun| {
            ended.end == RunEnd::ConnectionLost && now.saturating_sub(ended.at) < RESTART_WINDOW
        };
        self.recent
            .iter()
            .any(is_lost)
            .then(|| self.take_finding(is_lost))
    }

    /// Forgets all runs, as the backend server ends as planned.
    pub fn forget(&mut self) {
        self.running.clear();
        self.recent.clear();
    }

    fn take_finding(&mut self, was_running: impl Fn(&EndedRun) -> bool) -> CrashFinding {
        let recent = std::mem::take(&mut self.recent).into_iter();
        let recent = recent
            .filter(was_running)
            .map(|ended| (ended.call, ended.run));
        let mut runs: Vec<_> = std::mem::take(&mut self.running).into_iter().collect();
        runs.extend(recent);
        let has_trial = runs.iter().any(|(_, run)| run.is_trial);
        let blamed = runs.iter().filter(|(_, run)| run.is_trial || !has_trial);
        let suspects: BTreeMap<_, _> = blamed
            .filter_map(|(_, run)| Some((run.identity.fingerprint()?, run.identity.head)))
            .collect();
        CrashFinding {
            suspects: suspects.into_iter().collect(),
            blame: if has_trial {
                CrashBlame::Sole
            } else {
                CrashBlame::Shared
            },
            calls: runs.into_iter().map(|(call, _)| call).collect(),
        }
    }
}
