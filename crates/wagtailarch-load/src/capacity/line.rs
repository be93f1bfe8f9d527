//! Linear regression of measured points.

use crate::capacity::CapacityError;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Size at which the quantity was measured.
    pub x: f64,
    /// Value of the quantity.
    pub y: f64,
}

/// Least-squares line through several points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Coefficient of determination; 1 if all values are equal.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line to `points`.
    ///
    /// # Errors
    ///
    /// Returns [`CapacityError::TooFewSizes`] unless the points have at least two different sizes.
    pub fn fit(points: &[Point]) -> Result<Self, CapacityError> {
        let count = points.len() as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.x), mean(|point| point.y));
        let (mut xx, mut xy, mut yy) = (0.0, 0.0, 0.0);
        for point in points {
            let (dx, dy) = (point.x - mean_x, point.y - mean_y);
            xx += dx * dx;
            xy += dx * dy;
            yy += dy * dy;
        }
        if points.is_empty() || xx == 0.0 {
            return Err(CapacityError::TooFewSizes);
        }
        let slope = xy / xx;
        Ok(Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared: if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) },
        })
    }

    /// Returns the value of the line at size `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
