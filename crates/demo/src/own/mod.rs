//! The system on its own interface, before embedded stand-ins.
//!
//! 1. [`stage`] starts the stand-ins and three daemons in two failure domains,
//!    and declares models, adapters and a plain service,
//! 2. [`burst`] sends a mix of requests as several callers,
//! 3. [`ran`] asks the stand-ins what really ran.

pub mod burst;
pub mod ran;
pub mod stage;
