//! The agent's weight distribution: chunk exchange, staging and activation.
