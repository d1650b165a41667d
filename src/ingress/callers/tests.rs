use futures_util::FutureExt;

use super::*;

const MEGABYTE: u64 = 1024 * 1024;

fn new_account(caller_bytes: u64, caller_connections: usize) -> Arc<CallerAccount> {
    let limits = ResourceLimits {
        caller_bytes,
        caller_connections,
        ..ResourceLimits::default()
    };
    Arc::new(CallerAccount::new(&limits, Instant::now(), Arc::default()))
}

fn enter(account: &Arc<CallerAccount>) -> ConnectionEntry {
    account.enter().now_or_never().flatten().unwrap()
}

fn is_evicted(entry: &ConnectionEntry) -> bool {
    entry.usage.is_evicted.load(Ordering::Relaxed)
}

#[test]
fn bytes_are_released_with_the_request() {
    let account = new_account(MEGABYTE, 10);
    let entry = enter(&account);
    let request = entry.usage().begin_request(1_000);
    request.add(5_000);
    request.release(2_000);
    entry.usage().set_buffer(16_384);
    let before = account.held_bytes();
    assert_eq!(before, REQUEST_BYTES + HEAD_COPIES * 1_000 + 3_000 + 16_384);
    drop(request);
    assert_eq!(account.held_bytes(), 16_384);
    drop(entry);
    assert_eq!(account.held_bytes(), 0);
}

#[test]
fn more_is_never_released_than_was_added() {
    let account = new_account(MEGABYTE, 10);
    let entry = enter(&account);
    let request = entry.usage().begin_request(0);
    request.release(10 * REQUEST_BYTES as usize);
    drop(request);
    assert_eq!(account.held_bytes(), 0);
}

#[test]
fn connection_that_holds_most_is_closed_beyond_the_limit() {
    let account = new_account(MEGABYTE, 10);
    let (small, large) = (enter(&account), enter(&account));
    let small_request = small.usage().begin_request(100);
    let large_request = large.usage().begin_request(100);
    large_request.add(MEGABYTE / 2);
    assert!(account.is_under_pressure() && !is_evicted(&large));
    large_request.add(MEGABYTE / 2);
    assert!(is_evicted(&large) && !is_evicted(&small));
    // What a closed connection still holds costs no other.
    small_request.add(1_000);
    assert!(!is_evicted(&small));
}

#[test]
fn new_connection_takes_the_place_of_an_idle_one_once_that_is_closed() {
    let account = new_account(MEGABYTE, 2);
    let (idle, busy) = (enter(&account), enter(&account));
    let _request = busy.usage().begin_request(0);
    let mut entering = Box::pin(account.enter());
    assert!(entering.as_mut().now_or_never().is_none());
    assert!(is_evicted(&idle) && !is_evicted(&busy));
    drop(idle);
    let newest = entering.now_or_never().flatten().unwrap();
    let _newest_request = newest.usage().begin_request(0);
    let refused = account.enter().now_or_never();
    assert!(matches!(refused, Some(None)), "all others are in use");
}

#[test]
fn body_is_counted_up_to_its_windows() {
    let account = new_account(16 * MEGABYTE, 2);
    let entry = enter(&account);
    let request = entry.usage().begin_request(0);
    for _ in 0..100 {
        request.add_body(16 * 1024);
    }
    assert_eq!(account.held_bytes(), REQUEST_BYTES + MAX_BODY_BYTES);
}
