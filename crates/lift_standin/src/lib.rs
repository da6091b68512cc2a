//! Small stand-ins for the systems at the borders, for tests and experiments.
