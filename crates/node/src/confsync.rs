//! Distribution of the configuration: reads the head, applies revisions.
