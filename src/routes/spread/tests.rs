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

fn tree(count: u16, own_rank: usize) -> DistributionTree {
    let addresses = (0..count).map(|rank| ([127, 0, 0, 1], 1_000 + rank).into());
    DistributionTree::new(addresses.collect(), own_rank)
}

/// Ranks that the node at `own_rank` pushes to if those in `failed` can't be reached.
fn pushed_ranks(tree: &DistributionTree, failed: &[usize]) -> Vec<usize> {
    let mut targets = tree.own_targets();
    let mut ranks = Vec::new();
    while let Some(target) = targets.pop() {
        ranks.push(target.rank);
        if failed.contains(&target.rank) {
            targets.extend(tree.fallback_targets(target));
        }
    }
    ranks.sort_unstable();
    ranks
}

#[test]
fn children_of_a_node_that_is_gone_receive_the_configuration() {
    let root = tree(30, 0);
    assert_eq!(pushed_ranks(&root, &[]), [1, 2, 3, 4]);
    let with_children_of_two = [1, 2, 3, 4, 9, 10, 11, 12];
    assert_eq!(pushed_ranks(&root, &[2]), with_children_of_two);
    let all: Vec<usize> = (1..30).collect();
    assert_eq!(pushed_ranks(&root, &all), all);
}

#[test]
fn second_node_reaches_the_zone_if_the_first_one_is_gone() {
    let second = tree(30, 1);
    assert_eq!(pushed_ranks(&second, &[]), [0, 5, 6, 7, 8]);
    assert_eq!(pushed_ranks(&second, &[0]), [0, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(pushed_ranks(&tree(30, 2), &[]), [9, 10, 11, 12]);
}

#[test]
fn limit_of_a_push_grows_with_its_size() {
    assert_eq!(push_timeout(0), Duration::from_millis(500));
    assert_eq!(push_timeout(160_000), Duration::from_millis(1_500));
}
