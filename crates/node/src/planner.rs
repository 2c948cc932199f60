//! The planner of the pools that this daemon claims.
