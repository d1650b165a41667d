use super::*;

/// Replays connections that send nothing, then one of another node.
#[test]
fn oldest_exchange_ends_beyond_the_limit() {
    let mut exchanges = OpenExchanges::new(3);
    let mut silent: Vec<_> = (0..5).map(|_| exchanges.add()).collect();
    let has_ended = |ended: &mut oneshot::Receiver<()>| {
        ended.try_recv() == Err(oneshot::error::TryRecvError::Closed)
    };
    let ended: Vec<bool> = silent.iter_mut().map(|(_, it)| has_ended(it)).collect();
    assert_eq!(ended, [true, true, false, false, false]);
    exchanges.remove(silent[3].0);
    let (_, mut newest) = exchanges.add();
    assert!(!has_ended(&mut newest) && !has_ended(&mut silent[2].1));
}
