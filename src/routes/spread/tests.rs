use std::collections::{BTreeMap, BTreeSet};

use super::*;

fn nodes(numbers: impl IntoIterator<Item = u16>) -> Vec<SocketAddr> {
    let addresses = numbers
        .into_iter()
        .map(|number| ([127, 0, 0, 1], number).into());
    addresses.collect()
}

/// Replays a push: each receiver in `reachable` forwards it, the others are covered by
/// their sender. Returns the depth at which each node receives it, 1 for the first.
fn deliver(groups: Vec<PushGroup>, reachable: &BTreeSet<SocketAddr>) -> BTreeMap<SocketAddr, u32> {
    let mut depths = BTreeMap::new();
    let mut pending: Vec<(u32, PushGroup)> = groups.into_iter().map(|group| (1, group)).collect();
    while let Some((depth, group)) = pending.pop() {
        let next_groups = if reachable.contains(&group.receiver) {
            let previous = depths.insert(group.receiver, depth);
            assert_eq!(previous, None, "{} receives it twice", group.receiver);
            divide(&group.forward_to)
        } else {
            group.fallback_groups()
        };
        pending.extend(next_groups.into_iter().map(|group| (depth + 1, group)));
    }
    depths
}

#[test]
fn first_node_reaches_each_other_node_once_within_few_steps() {
    for count in 0..400 {
        let others = nodes(1..=count);
        let reachable = others.iter().copied().collect();
        let depths = deliver(first_groups(&others, 0, false), &reachable);
        assert_eq!(depths.len(), others.len());
        // Four steps reach 4 + 16 + 64 + 256 = 340 nodes.
        let limit = if count <= 340 { 4 } else { 5 };
        assert!(
            depths.values().all(|depth| *depth <= limit),
            "{count} nodes"
        );
    }
}

#[test]
fn nodes_behind_unreachable_ones_receive_the_configuration() {
    let others = nodes(1..=60);
    for unreachable in [
        vec![1],
        vec![1, 2, 3],
        vec![1, 16, 31, 46],
        (1..60).collect(),
    ] {
        let mut reachable: BTreeSet<SocketAddr> = others.iter().copied().collect();
        for node in nodes(unreachable) {
            reachable.remove(&node);
        }
        let depths = deliver(first_groups(&others, 0, false), &reachable);
        assert!(depths.keys().eq(&reachable));
    }
}

#[test]
fn second_node_covers_the_zone_if_the_first_one_is_unreachable() {
    let others = nodes([1, 3, 4, 5, 6, 7, 8]);
    let groups = first_groups(&others, 1, false);
    assert_eq!(groups.len(), 1);
    assert_eq!(groups[0].receiver, others[0]);
    assert!(groups[0].forward_to.is_empty());
    let reachable = others[1..].iter().copied().collect();
    assert!(deliver(groups, &reachable).keys().eq(&reachable));
    assert!(first_groups(&others, 2, false).is_empty());
}

#[test]
fn node_that_fetched_a_configuration_pushes_to_the_nodes_after_it() {
    let others = nodes([1, 2, 4, 5]);
    let receivers = |own_rank| -> Vec<SocketAddr> {
        let groups = first_groups(&others, own_rank, true);
        assert!(groups.iter().all(|group| group.forward_to.is_empty()));
        groups.iter().map(|group| group.receiver).collect()
    };
    assert_eq!(receivers(2), nodes([4, 5, 1, 2]));
    assert_eq!(receivers(4), nodes([1, 2, 4, 5]));
    let many = nodes(1..=40);
    let groups = first_groups(&many, 10, true);
    assert!(groups.iter().map(|group| group.receiver).eq(nodes(11..=14)));
}

#[test]
fn limit_of_a_push_grows_with_its_size() {
    assert_eq!(push_timeout(0), Duration::from_millis(500));
    assert_eq!(push_timeout(160_000), Duration::from_millis(1_500));
}
