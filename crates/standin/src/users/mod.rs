//! Stand-ins for the users' platform: its store, its backend servers, and a mesh of proxies between
//! them. They speak the platform's own names and know nothing of the adapter.

pub mod mesh;
pub mod server;
pub mod store;

pub use mesh::{Mesh, MeshSettings};
pub use server::{Endless, ServerBehaviour, UsersServer};
pub use store::{StoreFault, UsersStore};
