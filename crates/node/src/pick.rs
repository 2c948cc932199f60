//! The choice of a backend server for one attempt.
