//! A straight line through measured points.

/// Values measured at sizes.
pub struct Points {
    pub what: &'static str,
    pub unit: &'static str,
    pub sizes: Vec<f64>,
    pub values: Vec<f64>,
}

impl Points {
    /// Prints a row with the fit and the largest residual, in percent of the
    /// largest value.
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
            self.what,
            self.unit,
            self.sizes,
            values.join(", "),
            100.0 * residual / largest,
        );
    }

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
