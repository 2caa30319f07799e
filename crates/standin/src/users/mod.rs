//! Stand-ins for the users' platform: its object store, its backend servers, and a mesh of proxies
//! between them. They implement the platform's own protocol independently of the adapter
//! (`rf_platform`), so that tests also cover the adapter.

pub mod mesh;
pub mod server;
pub mod store;

pub use crate::raw_answer::Endless;
pub use mesh::{Mesh, MeshSettings};
pub use server::{ServerBehaviour, UsersServer};
pub use store::{StoreFault, UsersStore};
