use super::*;

#[test]
fn a_quantile_is_one_of_the_values_and_there_is_none_without_values() {
    let values = [3.0, 1.0, 2.0, 4.0];
    let quantiles = [0.0, 0.5, 0.99, 1.0].map(|part| quantile(&values, part));
    assert_eq!(quantiles, [Some(1.0), Some(3.0), Some(4.0), Some(4.0)]);
    assert_eq!(quantile(&[], 0.5), None);
}
