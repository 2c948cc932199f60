//! The queues of the backend servers that this daemon leads.
