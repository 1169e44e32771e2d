//! The platform's balancer.
