//! The table of the exact records of customers, limited in number.
//!
//! Clients choose which customers they name, so the memory for records must not follow the number of names.
//! A full table drops the records whose loss matters least. Those that a ceiling depends on stay.

use super::customer::{Customer, RecordValue};
use crate::interface::{Millis, Plan};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Divisor of the maximum number of records: a full table drops one part in this many at once, so that the
/// search for them costs little for each new record.
const EVICTION_DIVISOR: usize = 4;
/// Delay in milliseconds before the next eviction if the last one found too few records to drop. The search
/// would otherwise be repeated for each request.
const EVICTION_RETRY_DELAY: Millis = 100.0;

/// The exact records of the tracked customers.
pub(super) struct CustomerTable {
    records: BTreeMap<Arc<str>, Customer>,
    max_records: usize,
    /// Time before which no record is evicted.
    next_eviction_at: Millis,
}

impl CustomerTable {
    /// Creates an empty table for at most `max_records` records; `None` for no limit.
    pub(super) fn new(max_records: Option<usize>) -> Self {
        let max_records = max_records.unwrap_or(usize::MAX);
        Self { records: BTreeMap::new(), max_records, next_eviction_at: f64::NEG_INFINITY }
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the customer has a record.
    pub(super) fn contains(&self, customer: &str) -> bool {
        self.records.contains_key(customer)
    }

    /// Returns the record of a customer; `None` if it has none.
    pub(super) fn get_mut(&mut self, customer: &str) -> Option<&mut Customer> {
        self.records.get_mut(customer)
    }

    /// Adds a record, for which [`make_room`](Self::make_room) has made room.
    pub(super) fn insert(&mut self, customer: Arc<str>, record: Customer) {
        self.records.insert(customer, record);
    }

    /// Drops the records that have expired.
    pub(super) fn prune(&mut self, plans: &[Plan], now: Millis) {
        self.records.retain(|_, record| !record.is_expired(&plans[record.plan_index()], now));
    }

    /// Makes room for one more record if the table is full. Returns whether there is room.
    pub(super) fn make_room(&mut self, plans: &[Plan], now: Millis) -> bool {
        if self.records.len() >= self.max_records && now >= self.next_eviction_at {
            self.prune(plans, now);
            let target = self.max_records - (self.max_records / EVICTION_DIVISOR).max(1);
            self.evict(self.records.len().saturating_sub(target), plans, now);
            if self.records.len() > target {
                self.next_eviction_at = now + EVICTION_RETRY_DELAY;
            }
        }
        self.records.len() < self.max_records
    }

    /// Drops `count` records, or all that may be dropped if those are fewer.
    fn evict(&mut self, count: usize, plans: &[Plan], now: Millis) {
        let priority_of = |record: &Customer| EvictionPriority {
            value: record.value(&plans[record.plan_index()], now),
            last_seen_at: record.last_seen_at(),
        };
        let mut priorities: Vec<_> = self.records.values().map(priority_of).collect();
        priorities.retain(|priority| priority.value != RecordValue::CeilingUsage);
        let count = count.min(priorities.len());
        let Some(last_index) = count.checked_sub(1) else { return };
        let (_, last, _) = priorities.select_nth_unstable_by(last_index, EvictionPriority::compare);
        let mut left = count;
        self.records.retain(|_, record| {
            let is_dropped = left > 0 && priority_of(record).compare(last).is_le();
            left -= usize::from(is_dropped);
            !is_dropped
        });
    }
}

/// The order in which records are dropped, lowest first: those of lowest value, and among equals the one that
/// has been unused for longest.
#[derive(Clone, Copy, Debug)]
struct EvictionPriority {
    value: RecordValue,
    last_seen_at: Millis,
}

impl EvictionPriority {
    fn compare(&self, other: &Self) -> Ordering {
        self.value.cmp(&other.value).then(self.last_seen_at.total_cmp(&other.last_seen_at))
    }
}
