//! A model of load on a virtual clock, which drives the product's own decisions.
//!
//! Proxies place requests on backend servers with slots, speeds and a gate; callers have deadlines
//! and come back after a refusal. Placement, queue, rounds of offers and patience are the product's
//! own code; [`policy`] holds what they are compared with. [`world`] is the event loop, [`sweep`]
//! plays loads against policies, [`plot`] draws the outcome.

pub mod plot;
pub mod policy;
pub mod sweep;
pub mod world;
