//! Tests of `Gateway` with synthetic events and a simulated clock, without a network.

mod ceilings;
mod harness;
mod hedging;
mod housekeeping;
mod idempotency;
mod load_balancing;
mod outlier_detection;
mod queueing;
mod quota;
mod quota_cost;
mod random_events;
mod replaced_processes;
mod request_lifecycle;
mod retries;
mod settings_document;
mod settings_validation;
mod slow_start;
mod slow_start_fleet;
mod subset;
mod tracked_customers;
mod usage_reports;
