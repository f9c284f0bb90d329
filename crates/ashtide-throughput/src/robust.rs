//! Medians: robust against outliers that have less than half of the weight.

/// A value with its weight in a median.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Weighted {
    pub(crate) value: f64,
    pub(crate) weight: f64,
}

/// Returns the median; `None` if there are no finite values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    weighted_median(values.map(|value| Weighted { value, weight: 1.0 }).collect())
}

/// Returns the value that has half of the weight on either side, or the midpoint if that falls between two
/// values. Values that are not finite or have no weight are ignored.
pub(crate) fn weighted_median(mut rows: Vec<Weighted>) -> Option<f64> {
    rows.retain(|row| row.value.is_finite() && row.weight > 0.0);
    rows.sort_by(|left, right| left.value.total_cmp(&right.value));
    let half = rows.iter().map(|row| row.weight).sum::<f64>() / 2.0;
    let mut cumulative = 0.0;
    for (index, &Weighted { value, weight }) in rows.iter().enumerate() {
        cumulative += weight;
        if cumulative > half * (1.0 + 1e-9) {
            return Some(value);
        }
        if cumulative >= half * (1.0 - 1e-9) {
            let next = rows.get(index + 1).map_or(value, |row| row.value);
            return Some((value + next) / 2.0);
        }
    }
    None
}
