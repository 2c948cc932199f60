//! Orders to the engines that this daemon leads, through the ledger.
