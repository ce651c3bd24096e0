use super::*;

#[test]
fn quantile_is_an_element_or_none_if_empty() {
    let values = [3.0, 1.0, 2.0, 4.0];
    let quantiles = [0.0, 0.5, 0.99, 1.0].map(|fraction| quantile(&values, fraction));
    assert_eq!(quantiles, [Some(1.0), Some(3.0), Some(4.0), Some(4.0)]);
    assert_eq!(quantile(&[], 0.5), None);
}
