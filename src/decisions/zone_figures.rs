//! Figures of a replay that concern availability zones and single upstreams.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::ids::{NodeId, ZoneName};

/// Length of the windows in which the cross-zone share is counted.
const WINDOW: Duration = Duration::from_millis(250);
/// Runs that a window needs for its share to count.
const MIN_RUNS_PER_WINDOW: u64 = 20;

/// Start of a run at a backend server.
#[derive(Debug, Clone)]
pub(super) struct RunStart {
    pub(super) at: Duration,
    /// Zone of the ingress.
    pub(super) zone: ZoneName,
    pub(super) upstream: (ZoneName, NodeId),
    /// Undisturbed run time divided by the slots and the speed, in microseconds.
    pub(super) work_per_capacity: f64,
    pub(super) cross_zone_bytes: u64,
    pub(super) is_other_zone: bool,
}

/// Runs in a window by zone of the ingress, or requests by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct WindowCounts {
    total: u64,
    counted: u64,
}

/// Traffic between zones, its changes, and the distribution over upstreams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneFigures {
    /// Bytes sent between zones: offers, bodies and responses.
    pub cross_zone_bytes: u64,
    /// Runs by zone of the ingress and window; counted are those in another zone.
    runs: BTreeMap<(ZoneName, u32), WindowCounts>,
    /// Requests by zone and window of their arrival; counted are those answered within
    /// their objective.
    requests: BTreeMap<(ZoneName, u32), WindowCounts>,
    work: BTreeMap<(ZoneName, NodeId), f64>,
}

fn window_of(at: Duration) -> u32 {
    u32::try_from(at.as_millis() / WINDOW.as_millis()).unwrap_or(u32::MAX)
}

fn share(counts: WindowCounts) -> f64 {
    counts.counted as f64 / counts.total.max(1) as f64
}

impl ZoneFigures {
    pub(super) fn record_run(&mut self, start: RunStart) {
        let counts = self
            .runs
            .entry((start.zone, window_of(start.at)))
            .or_default();
        counts.total += 1;
        counts.counted += u64::from(start.is_other_zone);
        self.cross_zone_bytes += start.cross_zone_bytes;
        *self.work.entry(start.upstream).or_default() += start.work_per_capacity;
    }

    pub(super) fn record_request(
        &mut self,
        arrived_at: Duration,
        zone: &ZoneName,
        is_answered: bool,
    ) {
        let key = (zone.clone(), window_of(arrived_at));
        let counts = self.requests.entry(key).or_default();
        counts.total += 1;
        counts.counted += u64::from(is_answered);
    }

    /// Share of the requests that arrived in this time and were answered within their
    /// objective, in percent.
    pub fn answered_percent_in(&self, time: Range<Duration>) -> f64 {
        let windows = window_of(time.start)..window_of(time.end);
        let requests = self.requests.iter();
        let counts = requests
            .filter(|((_, window), _)| windows.contains(window))
            .fold(WindowCounts::default(), |sum, (_, counts)| WindowCounts {
                total: sum.total + counts.total,
                counted: sum.counted + counts.counted,
            });
        share(counts) * 100.0
    }

    /// Share of the runs of ingresses in this time that were in another zone, in percent.
    pub fn cross_zone_percent_in(&self, time: Range<Duration>) -> f64 {
        let windows = window_of(time.start)..window_of(time.end);
        let runs = self.runs.iter();
        let counts = runs
            .filter(|((_, window), _)| windows.contains(window))
            .fold(WindowCounts::default(), |sum, (_, counts)| WindowCounts {
                total: sum.total + counts.total,
                counted: sum.counted + counts.counted,
            });
        share(counts) * 100.0
    }

    /// Mean reversal of the cross-zone share of a zone within three windows, in
    /// percentage points: by how much the middle one lies beyond both others. A share
    /// that follows a slow swing has none; sampling noise adds a few points.
    pub fn oscillation_points(&self) -> f64 {
        let mut reversals = Vec::new();
        for ((zone, window), middle) in &self.runs {
            let at = |window: Option<u32>| {
                let counts = self.runs.get(&(zone.clone(), window?))?;
                (counts.total >= MIN_RUNS_PER_WINDOW).then(|| share(*counts))
            };
            let neighbours = (at(window.checked_sub(1)), at(window.checked_add(1)));
            if let (Some(before), Some(after)) = neighbours
                && middle.total >= MIN_RUNS_PER_WINDOW
            {
                let middle = share(*middle);
                let above = middle - before.max(after);
                let below = before.min(after) - middle;
                reversals.push(above.max(below).max(0.0));
            }
        }
        reversals.iter().sum::<f64>() * 100.0 / reversals.len().max(1) as f64
    }

    /// Work of the busiest upstream of each zone by its capacity, relative to the mean of
    /// the zone; the largest over the zones.
    pub fn busiest_to_mean(&self) -> f64 {
        let mut zones: BTreeMap<&ZoneName, Vec<f64>> = BTreeMap::new();
        for ((zone, _), work) in &self.work {
            zones.entry(zone).or_default().push(*work);
        }
        let ratios = zones.values().map(|work| {
            let mean = work.iter().sum::<f64>() / work.len() as f64;
            work.iter().copied().fold(0.0, f64::max) / mean
        });
        ratios.fold(0.0, f64::max)
    }
}
