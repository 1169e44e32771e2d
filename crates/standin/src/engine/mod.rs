//! engine
