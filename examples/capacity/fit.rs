//! Fits a straight line to measured points.

/// Values of one quantity, measured at several sizes.
pub struct Points {
    /// Name of the quantity.
    pub quantity: &'static str,
    /// Unit of the values, and what the sizes count.
    pub unit: &'static str,
    /// Sizes at which the quantity was measured.
    pub sizes: Vec<f64>,
    /// Measured values, one for each size.
    pub values: Vec<f64>,
}

impl Points {
    /// Prints a table row with the sizes and values, the fitted slope and constant, and
    /// the largest residual in percent of the largest value.
    pub fn print(&self) {
        let (slope, fixed) = self.fit();
        let largest = self.values.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let residual = self
            .sizes
            .iter()
            .zip(&self.values)
            .map(|(size, value)| (value - slope * size - fixed).abs())
            .fold(0.0, f64::max);
        let values: Vec<String> = self.values.iter().map(|value| format!("{value:.2}")).collect();
        println!(
            "| {} ({}) | {:?} | {} | {slope:.4} | {fixed:.2} | {:.1} % |",
            self.quantity,
            self.unit,
            self.sizes,
            values.join(", "),
            100.0 * residual / largest,
        );
    }

    /// Returns the slope and the constant of the least-squares line.
    fn fit(&self) -> (f64, f64) {
        let count = self.sizes.len() as f64;
        let mean_size = self.sizes.iter().sum::<f64>() / count;
        let mean_value = self.values.iter().sum::<f64>() / count;
        let pairs = self.sizes.iter().zip(&self.values);
        let covariance: f64 =
            pairs.map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let variance: f64 = self.sizes.iter().map(|size| (size - mean_size).powi(2)).sum();
        let slope = covariance / variance;
        (slope, mean_value - slope * mean_size)
    }
}
