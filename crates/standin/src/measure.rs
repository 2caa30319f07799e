//! Measurements with real processes.
