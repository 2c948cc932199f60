//! The slots of the journal that this daemon leads.
