//! Tests of placement and of the load estimates that it uses.

#[cfg(test)]
mod choose;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod load;
