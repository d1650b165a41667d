use super::*;

#[test]
fn rest_has_the_whole_limit_and_goes_on_while_pieces_come() {
    let begun = Instant::now();
    let after = |milliseconds| begun + Duration::from_millis(milliseconds);
    let mut deadline = BodyDeadline::new(after(1_000), begun);
    assert_eq!(deadline.expires_at(), after(1_000));
    deadline.record_progress(after(990));
    assert_eq!(deadline.expires_at(), after(1_990));
    deadline.record_progress(after(1_400));
    assert_eq!(deadline.expires_at(), after(2_400));
}

#[test]
fn answer_that_trickles_is_given_up() {
    let begun = Instant::now();
    let limit = begun + Duration::from_secs(1);
    let mut deadline = BodyDeadline::new(limit, begun);
    for tenth in 0..1_000 {
        deadline.record_progress(begun + Duration::from_millis(100) * tenth);
    }
    assert_eq!(deadline.expires_at(), limit + MAX_EXTENSION);
}
