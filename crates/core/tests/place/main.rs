//! Placement and the loads that it goes by.

#[cfg(test)]
mod choose;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod load;
