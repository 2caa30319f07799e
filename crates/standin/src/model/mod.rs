//! Discrete-event simulation of request load, which runs the product's own decision code.
//!
//! Proxies offer requests to backend servers, each with a number of slots, a speed and an admission
//! queue. Callers have deadlines and may retry after a refusal. Placement, admission queue, rounds
//! of offers and maximum waits are the product's code; [`policy`] holds the baselines that they are
//! compared with. [`world`] is the event loop, [`sweep`] simulates every policy at every load, and
//! [`plot`] draws the results.

pub mod plot;
pub mod policy;
pub mod sweep;
pub mod world;
