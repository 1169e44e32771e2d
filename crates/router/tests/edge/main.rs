//! Bad input at the callers' port of one real router, judged by the answers and by what the
//! stand-ins say that they got.

mod scanner;
