//! Reduction of a failing schedule by delta debugging.
//!
//! Parts of the schedule are removed, first halves and then ever smaller parts, as long as the rest
//! still breaks the promise. The steps that remain are needed for the failure, as far as runs of
//! real processes are reproducible.

use std::future::Future;

/// Returns the shortest sublist of `numbers` found for which `breaks` holds.
///
/// Assumes that `breaks` holds for the whole list, which is returned if no shorter one breaks.
pub async fn shorten<F, Fut>(numbers: Vec<usize>, mut breaks: F) -> Vec<usize>
where
    F: FnMut(Vec<usize>) -> Fut,
    Fut: Future<Output = bool>,
{
    let mut kept = numbers;
    let mut parts = 2;
    while kept.len() >= 2 {
        match leave_out(&kept, parts, &mut breaks).await {
            Some(shorter) => {
                kept = shorter;
                parts = parts.saturating_sub(1).max(2);
            }
            None if parts < kept.len() => parts = (parts * 2).min(kept.len()),
            None => break,
        }
    }
    kept
}

/// Removes the first of `parts` equal parts without which the rest still breaks.
async fn leave_out<F, Fut>(kept: &[usize], parts: usize, breaks: &mut F) -> Option<Vec<usize>>
where
    F: FnMut(Vec<usize>) -> Fut,
    Fut: Future<Output = bool>,
{
    let size = kept.len().div_ceil(parts);
    for start in (0..kept.len()).step_by(size) {
        let end = (start + size).min(kept.len());
        let rest = [&kept[..start], &kept[end..]].concat();
        if !rest.is_empty() && breaks(rest.clone()).await {
            return Some(rest);
        }
    }
    None
}
