//! A line through measured points.

use crate::capacity::CapacityError;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// Measured quantity.
    pub y: f64,
}

/// The line of least squares through several points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Share of the variance that the line explains; 1 if the points do not vary.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line.
    ///
    /// # Errors
    ///
    /// [`CapacityError::TooFewSizes`] unless two points differ in size.
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

    /// Returns the value of the line at a size.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
