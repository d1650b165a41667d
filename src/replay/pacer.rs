//! Dispatches jobs to the sender threads at their scheduled times.
//!
//! The async runtime's timers have a resolution of one millisecond, which is
//! coarser than the latencies measured here. Jobs are therefore dispatched from
//! a separate thread, which sleeps until shortly before a job is due and then
//! busy-waits.

use std::hint;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::job::{RequestResult, ScheduledJob};
use super::sender::{JobSender, SenderSettings};

/// Time before a job for which the pacer busy-waits, as a sleep can overrun by
/// this much.
const SPIN_WINDOW: Duration = Duration::from_micros(150);
/// Time from the start of the sender threads to the start of the replay.
const STARTUP_DELAY: Duration = Duration::from_millis(200);

/// Dispatches all jobs at their scheduled times and returns the results, sorted
/// by request id.
///
/// # Errors
///
/// Fails if a sender thread can't be started, panics or ends early.
pub fn run_jobs(
    jobs: &[ScheduledJob],
    thread_count: u64,
    settings: SenderSettings,
) -> io::Result<Vec<RequestResult>> {
    let replay_start = Instant::now() + STARTUP_DELAY;
    let mut job_senders = Vec::new();
    let mut sender_threads = Vec::new();
    for _ in 0..thread_count {
        let (job_sender, jobs) = unbounded_channel::<ScheduledJob>();
        job_senders.push(job_sender);
        let builder = thread::Builder::new().name("sender".to_string());
        sender_threads
            .push(builder.spawn(move || run_sender_thread(replay_start, jobs, settings))?);
    }
    for (index, job) in jobs.iter().enumerate() {
        wait_until(replay_start + job.scheduled_offset);
        let job_sender = &job_senders[index % job_senders.len()];
        job_sender
            .send(job.clone())
            .map_err(|_| io::Error::other("a sender thread ended before all jobs were sent"))?;
    }
    drop(job_senders);
    let mut results = Vec::with_capacity(jobs.len());
    for thread in sender_threads {
        let joined = thread.join();
        results.extend(joined.map_err(|_| io::Error::other("a sender thread panicked"))??);
    }
    results.sort_by_key(|result| result.request.id);
    Ok(results)
}

fn wait_until(due: Instant) {
    let time_left = due.saturating_duration_since(Instant::now());
    if time_left > SPIN_WINDOW {
        thread::sleep(time_left - SPIN_WINDOW);
    }
    while Instant::now() < due {
        hint::spin_loop();
    }
}

fn run_sender_thread(
    replay_start: Instant,
    jobs: UnboundedReceiver<ScheduledJob>,
    settings: SenderSettings,
) -> io::Result<Vec<RequestResult>> {
    let system = ntex::rt::System::new("sender", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let sender = JobSender::build(replay_start, settings).await?;
        Ok(sender.run(jobs).await)
    })
}
