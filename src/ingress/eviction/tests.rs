use super::*;

fn connection(
    number: u64,
    phase: ConnectionPhase,
    held_bytes: u64,
    stalled_ms: u64,
) -> ConnectionState {
    ConnectionState {
        number: ConnectionNumber(number),
        phase,
        held_bytes,
        stalled_for: Duration::from_millis(stalled_ms),
    }
}

/// Replays the crowd of the trial: each connection holds megabytes of unread responses.
#[test]
fn crowd_that_reads_nothing_gives_way_before_ordinary_callers() {
    let crowd =
        (0..40).map(|number| connection(number, ConnectionPhase::Writing, 8 << 20, 1_000 + number));
    let ordinary = [
        connection(100, ConnectionPhase::Calling, 20 << 10, 900),
        connection(101, ConnectionPhase::Writing, 250 << 10, 3),
        connection(102, ConnectionPhase::Idle, 4 << 10, 12_000),
    ];
    let chosen = choose_for_memory(crowd.chain(ordinary));
    assert_eq!(chosen, Some(ConnectionNumber(39)));
}

/// Replays many uploads that stall beside one that makes progress and holds more.
#[test]
fn stalled_uploads_give_way_before_one_that_progresses() {
    let stalled =
        (0..400).map(|number| connection(number, ConnectionPhase::Calling, 150 << 10, 2_000));
    let progressing = connection(900, ConnectionPhase::Calling, 300 << 10, 20);
    let chosen = choose_for_memory(std::iter::once(progressing).chain(stalled));
    assert_ne!(chosen, Some(ConnectionNumber(900)));
}

#[test]
fn idle_connections_make_room_first_and_calls_never() {
    let calling = connection(1, ConnectionPhase::Calling, 0, 60_000);
    let unread = connection(2, ConnectionPhase::Writing, 0, 30_000);
    let head = connection(3, ConnectionPhase::ReadingHead, 0, 2_000);
    let idle = connection(4, ConnectionPhase::Idle, 0, 10);
    let choose = |states: &[ConnectionState]| choose_for_room(states.iter().copied());
    assert_eq!(
        choose(&[calling, unread, head, idle]),
        Some(ConnectionNumber(4))
    );
    assert_eq!(choose(&[calling, unread, head]), Some(ConnectionNumber(3)));
    assert_eq!(choose(&[calling, unread]), Some(ConnectionNumber(2)));
    assert_eq!(choose(&[calling]), None);
    let reading = connection(5, ConnectionPhase::Writing, 0, 100);
    assert_eq!(choose(&[calling, reading]), None);
}

#[test]
fn longest_idle_connection_makes_room() {
    let states = (0..10).map(|number| connection(number, ConnectionPhase::Idle, 0, 100 - number));
    assert_eq!(choose_for_room(states), Some(ConnectionNumber(0)));
}
