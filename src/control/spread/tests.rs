use super::*;

#[test]
fn the_tree_reaches_each_node_once_within_few_steps() {
    for count in 1..=400 {
        let mut depths = vec![None; count];
        depths[0] = Some(0);
        for rank in 0..count {
            let children = child_ranks(rank, count);
            assert!(children.len() <= FANOUT);
            for child in children {
                assert_eq!(
                    depths[child], None,
                    "rank {child} of {count} has two parents"
                );
                depths[child] = depths[rank].map(|depth| depth + 1);
            }
        }
        // Four steps reach 1 + 4 + 16 + 64 + 256 = 341 nodes.
        let reached_depths = depths
            .into_iter()
            .map(|depth| depth.expect("the tree reaches every node"));
        assert!(reached_depths.max() <= Some(if count <= 341 { 4 } else { 5 }));
    }
}

#[test]
fn ranks_beyond_the_zone_have_no_children() {
    assert!(child_ranks(usize::MAX, 10).is_empty());
    assert!(child_ranks(3, 4).is_empty());
}
