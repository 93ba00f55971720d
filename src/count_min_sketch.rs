//! A count-min sketch: counts by key in fixed space, which are never too low as long as only positive
//! amounts are added.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rows of counters, each with its own hash; a key's count is the smallest of its cells.
#[derive(Clone, Debug)]
pub struct CountMinSketch {
    seeds: Vec<u64>,
    columns: usize,
    counters: Vec<f64>,
}

impl CountMinSketch {
    /// A sketch with one row for each seed, of `columns` counters each.
    ///
    /// # Panics
    /// If there is no seed or no column.
    pub fn new(seeds: Vec<u64>, columns: usize) -> Self {
        assert!(!seeds.is_empty() && columns > 0, "a sketch needs rows and columns");
        let counters = vec![0.0; seeds.len() * columns];
        Self { seeds, columns, counters }
    }

    /// Adds `amount`, which may be negative to subtract what was added before, and returns the new estimate.
    pub fn add(&mut self, key: &str, amount: f64) -> f64 {
        for row in 0..self.seeds.len() {
            let index = self.counter_index(row, key);
            self.counters[index] += amount;
        }
        self.estimate(key)
    }

    /// The estimated count of a key: all that was added for it, and perhaps some of other keys.
    pub fn estimate(&self, key: &str) -> f64 {
        let counts = (0..self.seeds.len()).map(|row| self.counters[self.counter_index(row, key)]);
        counts.fold(f64::INFINITY, f64::min)
    }

    /// Resets all counts to zero.
    pub fn clear(&mut self) {
        self.counters.fill(0.0);
    }

    fn counter_index(&self, row: usize, key: &str) -> usize {
        let hash = xxh3_64_with_seed(key.as_bytes(), self.seeds[row]);
        row * self.columns + (hash % self.columns as u64) as usize
    }
}
