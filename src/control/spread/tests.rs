use super::*;

#[test]
fn each_node_is_handed_a_configuration_once_and_soon() {
    for count in 1..=400 {
        let mut depths = vec![None; count];
        depths[0] = Some(0);
        for rank in 0..count {
            let children = child_ranks(rank, count);
            assert!(children.len() <= FANOUT);
            for child in children {
                assert_eq!(depths[child], None, "{child} of {count}");
                depths[child] = depths[rank].map(|depth| depth + 1);
            }
        }
        // 1 + 4 + 16 + 64 + 256 nodes are within four steps.
        let reached_depths = depths.into_iter().map(|depth| depth.expect("reached"));
        assert!(reached_depths.max() <= Some(if count <= 341 { 4 } else { 5 }));
    }
}

#[test]
fn ranks_beyond_the_zone_are_none() {
    assert!(child_ranks(usize::MAX, 10).is_empty());
    assert!(child_ranks(3, 4).is_empty());
}
