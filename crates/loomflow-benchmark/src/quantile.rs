//! Quantiles of measured values.

/// The value below which this part of the values is; none where there are no values.
pub fn quantile(values: &[f64], part: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().checked_sub(1)?;
    let index = (sorted.len() as f64 * part) as usize;
    Some(sorted[index.min(last)])
}

#[cfg(test)]
mod tests;
