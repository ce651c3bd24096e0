//! Quantiles of measured values.

/// The element at index `len * fraction` of the sorted values, at most the last one. `None` if there are no values.
pub fn quantile(values: &[f64], fraction: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().checked_sub(1)?;
    let index = (sorted.len() as f64 * fraction) as usize;
    Some(sorted[index.min(last)])
}

#[cfg(test)]
mod tests;
