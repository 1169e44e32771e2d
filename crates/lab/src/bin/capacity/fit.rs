//! Straight lines through measured points.

/// `Line` is a least-squares line and how far it is from its points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) start: f64,
    pub(crate) slope: f64,
    /// Largest distance of a point, as a share of the largest value.
    pub(crate) residual: f64,
}

impl Line {
    /// Fits a line to points of size and value.
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let across: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let along: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = across / along;
        let start = y - slope * x;
        let off = |p: &(f64, f64)| (p.1 - start - slope * p.0).abs();
        let worst = points.iter().map(off).fold(0.0, f64::max);
        let largest = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        Self {
            start,
            slope,
            residual: worst / largest,
        }
    }

    /// Gets the line's value at a size.
    pub(crate) fn at(&self, size: f64) -> f64 {
        self.start + self.slope * size
    }
}
