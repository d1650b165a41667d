use super::*;

#[test]
fn deadline_is_extended_while_data_arrives() {
    let started_at = Instant::now();
    let after = |milliseconds| started_at + Duration::from_millis(milliseconds);
    let mut deadline = BodyDeadline::new(after(1_000), started_at);
    assert_eq!(deadline.expires_at(), after(1_000));
    deadline.record_progress(after(990));
    assert_eq!(deadline.expires_at(), after(1_990));
    deadline.record_progress(after(1_400));
    assert_eq!(deadline.expires_at(), after(2_400));
}

#[test]
fn extension_of_a_trickling_body_is_bounded() {
    let started_at = Instant::now();
    let call_deadline = started_at + Duration::from_secs(1);
    let mut deadline = BodyDeadline::new(call_deadline, started_at);
    for interval_count in 0..1_000 {
        deadline.record_progress(started_at + Duration::from_millis(100) * interval_count);
    }
    assert_eq!(deadline.expires_at(), call_deadline + MAX_EXTENSION);
}
