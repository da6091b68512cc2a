//! Decisions of weight distribution: chunk choice, assignment and activation.
