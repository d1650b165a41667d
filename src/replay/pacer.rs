//! Hands jobs to the sending threads at their intended times.
//!
//! The runtime's timers count whole milliseconds, which is longer than the
//! latencies measured here. The pacer therefore has a thread of its own, which
//! sleeps until shortly before a job's time and then spins.

use std::hint;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::job::{RequestResult, ScheduledJob};
use super::sender::{JobSender, SenderSettings};

/// Time before a job in which the pacer spins; a sleep can overrun by this.
const SPIN_WINDOW: Duration = Duration::from_micros(150);
/// Time from the start of the sending threads to the first job.
const STARTUP_DELAY: Duration = Duration::from_millis(200);

/// Sends all jobs at their times and gathers the results.
///
/// # Errors
///
/// Fails if a thread can't be started or ends early.
pub fn run_jobs(
    jobs: &[ScheduledJob],
    threads: u64,
    settings: SenderSettings,
) -> io::Result<Vec<RequestResult>> {
    let begin = Instant::now() + STARTUP_DELAY;
    let mut lanes = Vec::new();
    let mut workers = Vec::new();
    for _ in 0..threads {
        let (lane, jobs) = unbounded_channel::<ScheduledJob>();
        lanes.push(lane);
        let worker = thread::Builder::new().name("sender".to_string());
        workers.push(worker.spawn(move || run_sender_thread(begin, jobs, settings))?);
    }
    for (index, job) in jobs.iter().enumerate() {
        wait_until(begin + job.scheduled_offset);
        let lane = &lanes[index % lanes.len()];
        lane.send(job.clone())
            .map_err(|_| io::Error::other("a sending thread ended early"))?;
    }
    drop(lanes);
    let mut results = Vec::with_capacity(jobs.len());
    for worker in workers {
        let joined = worker.join();
        results.extend(joined.map_err(|_| io::Error::other("a sending thread panicked"))??);
    }
    results.sort_by_key(|result| result.request.id);
    Ok(results)
}

fn wait_until(time: Instant) {
    let left = time.saturating_duration_since(Instant::now());
    if left > SPIN_WINDOW {
        thread::sleep(left - SPIN_WINDOW);
    }
    while Instant::now() < time {
        hint::spin_loop();
    }
}

fn run_sender_thread(
    begin: Instant,
    jobs: UnboundedReceiver<ScheduledJob>,
    settings: SenderSettings,
) -> io::Result<Vec<RequestResult>> {
    let system = ntex::rt::System::new("sender", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let sender = JobSender::build(begin, settings).await?;
        Ok(sender.run(jobs).await)
    })
}
