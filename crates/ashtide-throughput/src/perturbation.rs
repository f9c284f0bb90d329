//! Random perturbation of weights, for gateways that hold few connections per server.
//!
//! The decision module compares `(open + 1) / weight` of two drawn servers. Where a gateway's own counts are
//! mostly zero, the server with the larger weight always wins, whether its weight is larger by 1 % or by 50
//! %. The heaviest of ninety servers then gets twice its share and the lightest gets nothing, even with the
//! true weights. If each gateway multiplies the weights by random factors of its own, the heavier server wins
//! more often but not always. With factors `e^(g/2)`, `g` Gumbel-distributed, server `i` wins over `j` with
//! the probability `w_i^2 / (w_i^2 + w_j^2)` (Luce's choice rule, after McFadden 1974). Against servers of
//! about the same weight, this probability grows in proportion to the weight.

use crate::register::{GatewayId, ServerKey, scramble};

/// Factor on the Gumbel variable in the logarithm of the weight, for a gateway that holds no connections.
const SCALE: f64 = 0.5;

/// Returns the perturbed weight of a server at one gateway.
///
/// The factor is a deterministic function of `gateway`, `server` and `round`; the caller changes `round`
/// every one or two seconds. `connections_per_server` is the gateway's mean number of connections on a server
/// of average weight: from one connection on, the counts decide and the perturbation becomes small.
pub fn perturbed_weight(
    weight: f64,
    gateway: GatewayId,
    server: ServerKey,
    round: u64,
    connections_per_server: f64,
) -> f64 {
    let seed = scramble(round).wrapping_add(u64::from(gateway.0) << 32 | u64::from(server.0));
    // A uniform variable with 53 random bits, above zero and below one.
    let uniform = ((scramble(seed) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let gumbel = -(-uniform.ln()).ln();
    let scale = SCALE / (1.0 + connections_per_server.max(0.0)).powi(2);
    weight * (gumbel * scale).exp()
}
