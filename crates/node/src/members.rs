//! Membership and claims: renews the lease, reads changes, takes claims.
