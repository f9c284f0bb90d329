//! Partial pooling by kind of server: the Fay-Herriot model (Fay and Herriot 1979), an empirical Bayes
//! estimator.
//!
//! All values are natural logarithms. For server `s` of kind `k`, the measurement is `y_s = theta_s + e_s`,
//! and the variance `v_s` of `e_s` is known from the evidence. The capacity is
//! `theta_s = mu_k + beta (list_s - list_k) + u_s`, where all kinds share the variance `tau^2` of `u_s`.
//! `mu_k`, `beta` and `tau^2` are fitted to the fleet by the method of moments (after DerSimonian and Laird
//! 1986). Each has a weak prior at the listed weights, so that without measurements the estimates equal the
//! listed weights. The estimate is `m_s + gamma_s (y_s - m_s)`, where `m_s` is the expected value of
//! `theta_s` and `gamma_s = tau^2 / (tau^2 + v_s)`: a server without evidence gets the value of its kind,
//! and one with much evidence gets its own.

use std::collections::BTreeMap;

/// Minimum standard deviation of the capacity (logarithm) within a kind.
const TAU_MIN: f64 = 0.02;
/// Prior standard deviation of the capacity (logarithm) within a kind.
const TAU_PRIOR: f64 = 0.09;
/// Maximum standard deviation of the capacity (logarithm) within a kind.
const TAU_MAX: f64 = 0.4;
/// Weight of the prior of `tau^2`, as a number of servers.
const TAU_PRIOR_WEIGHT: f64 = 2.0;
/// Variance of the prior that the mean of a kind equals the mean of its listed weights (logarithms).
const KIND_PRIOR_VARIANCE: f64 = 0.09;
/// Weight of the prior that the listed differences within a kind are right (`beta` is 1).
const BETA_PRIOR_WEIGHT: f64 = 4.0;
/// Number of standard deviations at which a residual is clipped.
const CLIP: f64 = 2.5;
/// Number of iterations of the fit.
const ITERATIONS: usize = 6;

/// A measured capacity with its variance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    /// Natural logarithm of the capacity, in the scale of the listed weights.
    pub ln_capacity: f64,
    /// Variance of `ln_capacity`.
    pub variance: f64,
}

/// Input of the fit for one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Row {
    /// Kind of the server.
    pub kind: u32,
    /// Natural logarithm of the listed weight.
    pub ln_listed: f64,
    /// Measured capacity; `None` if the server has no evidence.
    pub measurement: Option<Measurement>,
}

/// Estimate of one server's capacity; values are natural logarithms in the scale of the listed weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pooled {
    /// Expected value by the server's kind and listed weight.
    pub expected: f64,
    /// Fraction of the difference between measurement and expected value that enters the estimate.
    pub gamma: f64,
    /// Estimated capacity.
    pub estimate: f64,
}

/// State of the fit for one kind of server.
#[derive(Debug, Clone, Copy, Default)]
struct Kind {
    /// Mean logarithm of the listed weights.
    ln_listed: f64,
    /// Number of servers.
    servers: f64,
    /// Fitted mean logarithm of the capacity (`mu_k`).
    mean: f64,
}

/// Sums for a weighted mean of residuals.
#[derive(Debug, Clone, Copy, Default)]
struct ResidualSum {
    weighted: f64,
    weight: f64,
}

/// Parameters of the model during the fit.
struct Fit {
    kinds: BTreeMap<u32, Kind>,
    /// Coefficient of the listed differences within a kind.
    beta: f64,
    /// Variance of the capacity within a kind.
    tau2: f64,
}

impl Fit {
    /// Returns the parameters of the prior.
    fn new(rows: &[Row]) -> Self {
        let mut kinds: BTreeMap<u32, Kind> = BTreeMap::new();
        for row in rows {
            let kind = kinds.entry(row.kind).or_default();
            kind.ln_listed += row.ln_listed;
            kind.servers += 1.0;
        }
        for kind in kinds.values_mut() {
            kind.ln_listed /= kind.servers;
            kind.mean = kind.ln_listed;
        }
        Self { kinds, beta: 1.0, tau2: TAU_PRIOR * TAU_PRIOR }
    }

    /// Returns the expected value of a server.
    fn expected(&self, row: &Row) -> f64 {
        let kind = self.kinds[&row.kind];
        kind.mean + self.beta * (row.ln_listed - kind.ln_listed)
    }

    /// Returns the difference between measurement and expected value, clipped at [`CLIP`] standard
    /// deviations.
    fn residual(&self, row: &Row, measurement: Measurement) -> f64 {
        let limit = CLIP * (self.tau2 + measurement.variance).sqrt();
        (measurement.ln_capacity - self.expected(row)).clamp(-limit, limit)
    }

    /// Fits the means of the kinds.
    fn update_means(&mut self, rows: &[Row]) {
        let mut sums: BTreeMap<u32, ResidualSum> = BTreeMap::new();
        for (row, measurement) in measured(rows) {
            let weight = 1.0 / (self.tau2 + measurement.variance);
            let residual = self.residual(row, measurement);
            let sum = sums.entry(row.kind).or_default();
            sum.weighted += weight * residual;
            sum.weight += weight;
        }
        for (key, ResidualSum { weighted, weight }) in sums {
            let kind = self.kinds.get_mut(&key).expect("every row's kind is in the map");
            let prior = 1.0 / KIND_PRIOR_VARIANCE;
            kind.mean =
                (weight * (kind.mean + weighted / weight) + prior * kind.ln_listed) / (weight + prior);
        }
    }

    /// Fits the coefficient of the listed differences.
    fn update_beta(&mut self, rows: &[Row]) {
        let (mut cross, mut square) = (BETA_PRIOR_WEIGHT, BETA_PRIOR_WEIGHT);
        for (row, measurement) in measured(rows) {
            let weight = 1.0 / (self.tau2 + measurement.variance);
            let listed_difference = row.ln_listed - self.kinds[&row.kind].ln_listed;
            let difference = self.residual(row, measurement) + self.beta * listed_difference;
            cross += weight * difference * listed_difference;
            square += weight * listed_difference * listed_difference;
        }
        self.beta = (cross / square).clamp(0.0, 1.0);
    }

    /// Fits the variance within kinds.
    fn update_tau2(&mut self, rows: &[Row]) {
        let (mut sum, mut weights) = (TAU_PRIOR_WEIGHT * TAU_PRIOR * TAU_PRIOR, TAU_PRIOR_WEIGHT);
        for (row, measurement) in measured(rows) {
            // A measurement contributes the more, the smaller its variance is against the prior of `tau^2`.
            let weight = (TAU_PRIOR * TAU_PRIOR / (TAU_PRIOR * TAU_PRIOR + measurement.variance)).powi(2);
            let residual = self.residual(row, measurement);
            sum += weight * (residual * residual - measurement.variance);
            weights += weight;
        }
        self.tau2 = (sum / weights).clamp(TAU_MIN * TAU_MIN, TAU_MAX * TAU_MAX);
    }
}

/// Returns the rows that have a measurement.
fn measured(rows: &[Row]) -> impl Iterator<Item = (&Row, Measurement)> {
    rows.iter().filter_map(|row| row.measurement.map(|measurement| (row, measurement)))
}

/// Returns the estimates of all servers, in the order of `rows`.
pub fn pool(rows: &[Row]) -> Vec<Pooled> {
    let mut fit = Fit::new(rows);
    for _ in 0..ITERATIONS {
        fit.update_means(rows);
        fit.update_beta(rows);
        fit.update_tau2(rows);
    }
    rows.iter()
        .map(|row| {
            let expected = fit.expected(row);
            let (ln_capacity, gamma) = row.measurement.map_or((expected, 0.0), |measurement| {
                (measurement.ln_capacity, fit.tau2 / (fit.tau2 + measurement.variance))
            });
            Pooled { expected, gamma, estimate: expected + gamma * (ln_capacity - expected) }
        })
        .collect()
}

/// Returns the largest `gamma` that a measurement of this variance can have, for the invariant check.
pub(crate) fn max_gamma(variance: f64) -> f64 {
    TAU_MAX * TAU_MAX / (TAU_MAX * TAU_MAX + variance)
}
