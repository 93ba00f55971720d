//! A count-min sketch: approximate counts by key in fixed memory. Estimates are never too low as long as only
//! positive amounts are added.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rows of counters, each row with its own hash, so that a key has one counter in each row. The estimate of a
/// key is the smallest of its counters.
#[derive(Clone, Debug)]
pub struct CountMinSketch {
    seeds: Vec<u64>,
    columns: usize,
    counters: Vec<f64>,
}

impl CountMinSketch {
    /// Creates a sketch with one row for each seed and `columns` counters in each row.
    ///
    /// # Panics
    /// Panics if `seeds` is empty or `columns` is 0.
    pub fn new(seeds: Vec<u64>, columns: usize) -> Self {
        assert!(
            !seeds.is_empty() && columns > 0,
            "a count-min sketch needs at least one seed and one column, got {} and {columns}",
            seeds.len()
        );
        let counters = vec![0.0; seeds.len() * columns];
        Self { seeds, columns, counters }
    }

    /// Adds `amount` to the count of a key, and returns its new estimate. A negative amount subtracts what
    /// was added before.
    pub fn add(&mut self, key: &str, amount: f64) -> f64 {
        for row in 0..self.seeds.len() {
            let index = self.counter_index(row, key);
            self.counters[index] += amount;
        }
        self.estimate(key)
    }

    /// Estimated count of a key: all that was added for it, and possibly amounts of other keys.
    pub fn estimate(&self, key: &str) -> f64 {
        let counts = (0..self.seeds.len()).map(|row| self.counters[self.counter_index(row, key)]);
        counts.fold(f64::INFINITY, f64::min)
    }

    /// Resets all counts to 0.
    pub fn clear(&mut self) {
        self.counters.fill(0.0);
    }

    fn counter_index(&self, row: usize, key: &str) -> usize {
        let hash = xxh3_64_with_seed(key.as_bytes(), self.seeds[row]);
        row * self.columns + (hash % self.columns as u64) as usize
    }
}
