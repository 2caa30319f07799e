//! Shortening of schedules, with predicates in place of real runs.

use async_std::task;
use proptest::prelude::*;
use rf_soak::shorten::shorten;
use std::cell::Cell;
use std::collections::BTreeSet;

#[async_std::test]
async fn shortening_keeps_only_the_two_faults_that_cause_the_failure() {
    let tries = Cell::new(0);
    let breaks = |numbers: Vec<usize>| {
        tries.set(tries.get() + 1);
        async move { numbers.contains(&3) && numbers.contains(&17) }
    };
    let shortest = shorten((0..24).collect(), breaks).await;
    assert_eq!(shortest, [3, 17]);
    assert!(tries.get() < 60, "{} plays", tries.get());
}

#[async_std::test]
async fn a_schedule_that_does_not_fail_again_is_not_shortened() {
    let whole: Vec<usize> = (0..9).collect();
    let shortest = shorten(whole.clone(), |_| async { false }).await;
    assert_eq!(shortest, whole);
}

proptest! {
    #[test]
    fn shortening_keeps_the_needed_faults(needed in prop::collection::btree_set(0usize..20, 1..5)) {
        let breaks = |numbers: Vec<usize>| {
            let is_broken = needed.iter().all(|n| numbers.contains(n));
            async move { is_broken }
        };
        let shortest = task::block_on(shorten((0..20).collect(), breaks));
        prop_assert_eq!(shortest.into_iter().collect::<BTreeSet<_>>(), needed);
    }
}
