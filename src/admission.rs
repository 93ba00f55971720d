//! Admission by quota: the sketch's estimate, the even slice that flags a customer, its share, exceptions.

use crate::count_min_sketch::CountMinSketch;
use crate::gateway::Gateway;
use crate::interface::*;
use crate::request::{Customer, Request};
use std::sync::Arc;

/// Rows of a sketch: four independent hashes make a full collision of two customers negligible.
const SKETCH_ROWS: usize = 4;
/// Counters in a row: many times the customers active within one window of one gateway.
const SKETCH_COLUMNS: usize = 2048;
/// Bounds on the even parts of its requests that a gateway is first taken to get: one over an excess's cost.
const BURST_PART: (f64, f64) = (0.8, 1.6);
/// A set is wide where a gateway's even part of the burst is less than this part of a unit.
const WIDE: f64 = 0.25;
/// Where a gateway's own store takes no longer than this for a unit, it soon holds the customer by itself.
const FIRST_REFILL: Millis = 15_000.0;
/// By how much a share starts below one in a wide set, times an excess's cost: with marked retries, without.
const UNKNOWN_CUT: (f64, f64) = (0.4, 0.6);
/// A request that follows another of its customer within this time is taken for the same one, come again.
const RETRY_SPAN: Millis = 2_000.0;
/// Least share: with none passing no reading would come back.
const SHARE_LEAST: f64 = 0.05;
/// Weight of one reading in the part of a customer's use that is this gateway's: some periods.
const PART_WEIGHT: f64 = 0.25;
/// The least that the part taken at first is worth, in units sent: one request says little of it.
const PART_PRIOR: f64 = 0.3;
/// How long a meter reading is believed, in milliseconds: some periods and a late report.
const READING_LIFE: Millis = 6_000.0;
/// And at the least for as many of this gateway's even units at the full rate.
const READING_REQUESTS: f64 = 3.0;
/// Age of a metered period's end when its reading arrives, in milliseconds: a usual reporting delay.
const READING_LAG: Millis = 800.0;
/// A changed reading is a new period's only after this part of a period; answers may overtake each other.
const READING_SPACING: f64 = 0.5;
/// Good answers without a reading, and none with one, that show a fleet in its meter's first period.
pub(crate) const FRESH_ANSWERS: u32 = 4;
/// Part of a ceiling's store that such a fleet begins with: an early restart may take it twice.
const FRESH_PART: f64 = 0.5;

/// Whether a request is within what its customer may use.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Admission {
    WithinQuota,
    OverQuota,
    /// Would pass the ceiling.
    AtCeiling,
}

/// What is counted for a plan.
pub(crate) struct PlanUse {
    /// Units sent on, in two sketches that take turns: together about a window.
    sent: [CountMinSketch; 2],
    rotate_at: Millis,
    /// Attempts out.
    pub out: CountMinSketch,
}

impl PlanUse {
    pub fn new(rng: &mut fastrand::Rng) -> Self {
        let mut sketch =
            || CountMinSketch::new((0..SKETCH_ROWS).map(|_| rng.u64(..)).collect(), SKETCH_COLUMNS);
        Self { sent: [sketch(), sketch()], rotate_at: f64::NEG_INFINITY, out: sketch() }
    }
}

impl Gateway {
    /// Units of a customer sent on by this gateway within about a window, and perhaps some of others.
    fn sent_of_late(&mut self, plan: usize, customer: &str) -> f64 {
        let (limits, view) = (&self.settings.plans[plan], &mut self.plans[plan]);
        // Two sketches that take turns every half window hold between a half and a whole one.
        let half = 500.0 * limits.burst / limits.rate;
        if self.now >= view.rotate_at {
            if self.now >= view.rotate_at + half {
                view.sent[0].clear();
            }
            view.sent.swap(0, 1);
            view.sent[0].clear();
            view.rotate_at = self.now + half;
        }
        view.sent[0].estimate(customer) + view.sent[1].estimate(customer)
    }

    /// Whether a request is within its customer's quota and ceiling.
    pub(crate) fn admission(&mut self, plan: usize, arrival: &IncomingRequest) -> Admission {
        let settings = Arc::clone(&self.settings);
        let limits = &settings.plans[plan];
        let width = f64::from(arrival.gateway_spread);
        let key = &arrival.customer;
        let mut admission = Admission::WithinQuota;
        if limits.max_concurrency > 0
            && self.plans[plan].out.estimate(key) >= (f64::from(limits.max_concurrency) / width).ceil()
        {
            admission = Admission::OverQuota;
        }
        let sent = if limits.rate > 0.0 { self.sent_of_late(plan, key) } else { 0.0 };
        let slice = limits.burst / width;
        let heavy = limits.rate > 0.0 && sent + arrival.units > slice;
        // Only flagged customers and those under a ceiling have an exact record: scans must not fill memory.
        if heavy || limits.ceiling_rate > 0.0 {
            self.customer(plan, key, width, sent);
        }
        let now = self.now;
        let Some(customer) = self.customers.get_mut(key) else { return admission };
        customer.seen_at = now;
        customer.fill(now, limits);
        if limits.rate > 0.0 && (heavy || now < customer.flagged_until) {
            if customer.reading.is_some_and(|(at, _)| now > at + reading_life(limits, width)) {
                customer.reading = None;
                customer.set_share(now, 1.0, READING_LIFE);
            }
            // Exception, sudden burst: what this gateway alone sent beyond rate and burst is in excess.
            if customer.own < arrival.units.min(limits.burst) || limits.burst == 0.0 {
                admission = Admission::OverQuota;
            } else if admission == Admission::WithinQuota {
                // Until the meter has told, who comes again has earned no more: its first try has counted.
                let again = arrival.is_retry || now < customer.credited_at + RETRY_SPAN;
                if customer.share >= 1.0 || !again || !customer.shares.is_empty() {
                    customer.credit = (customer.credit + customer.share).min(1.5);
                    customer.credited_at = now;
                }
                if customer.credit < 1.0 {
                    admission = Admission::OverQuota;
                }
            }
        }
        // Rule five: this gateway's part of the ceiling alone, so that no other needs to be asked.
        if limits.ceiling_rate > 0.0 && customer.ceiling < arrival.units {
            admission = Admission::AtCeiling;
        }
        admission
    }

    /// The exact record of a customer, made if there is none.
    fn customer(&mut self, plan: usize, key: &Arc<str>, width: f64, sent: f64) -> &mut Customer {
        let (now, begun_with) = (self.now, self.begun_with);
        let age = (now - self.born.unwrap_or(now)) / 1000.0;
        let limits = &self.settings.plans[plan];
        let part = ((1.0 / limits.over_quota_cost).clamp(BURST_PART.0, BURST_PART.1) / width).min(1.0);
        let slow = part * limits.rate * FIRST_REFILL < 1000.0;
        let unknown = limits.burst < WIDE * width && (slow || self.settings.usage_report_period.is_some());
        let most = if self.settings.retries_marked { UNKNOWN_CUT.0 } else { UNKNOWN_CUT.1 };
        let cut = if unknown { most * limits.over_quota_cost.min(1.0) } else { 0.0 };
        let prior = PART_PRIOR.max(part * limits.rate);
        let rng = &mut self.rng;
        self.customers.entry(key.clone()).or_insert_with(|| Customer {
            plan,
            width,
            flagged_until: f64::NEG_INFINITY,
            share: 1.0 - cut,
            // Gateways that all begin at nothing would all refuse their first request.
            credit: if cut > 0.0 { rng.f64() } else { 0.0 },
            credited_at: f64::NEG_INFINITY,
            mirror: (limits.burst - sent).max(0.0),
            part,
            own: (limits.burst - sent / part).max(0.0),
            filled_at: now,
            own_use: prior,
            metered_use: prior / part,
            // An earlier life of this gateway may have emptied its part just before this one began.
            ceiling: limits.ceiling_burst.min(begun_with * limits.ceiling_burst + age * limits.ceiling_rate)
                / width,
            seen_at: now,
            ..Customer::default()
        })
    }

    /// Counts a request when it is first sent on.
    pub(crate) fn count(&mut self, request: &Request, admission: Admission) {
        let IncomingRequest { customer: key, units, .. } = &request.arrival;
        self.plans[request.plan].sent[0].add(key, *units);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.ceiling -= units;
            if admission == Admission::WithinQuota {
                customer.own -= units / customer.part;
                customer.unmetered += units;
                customer.credit = (customer.credit - 1.0).max(0.0);
            }
        }
    }

    /// A reading of the meter: all gateways' use in the last period, in percent of the rate.
    pub(crate) fn read_meter(&mut self, plan: usize, arrival: &IncomingRequest, percent: f64) {
        let (key, width) = (&arrival.customer, f64::from(arrival.gateway_spread));
        let Some(period) = self.settings.usage_report_period else { return };
        let settings = Arc::clone(&self.settings);
        let limits = &settings.plans[plan];
        if limits.rate <= 0.0 {
            return;
        }
        let now = self.now;
        // Exception, excess spread under every slice: only the meter sees it.
        if percent > 100.0 && !self.customers.contains_key(key) {
            let sent = self.sent_of_late(plan, key);
            self.customer(plan, key, width, sent);
        }
        let Some(customer) = self.customers.get_mut(key) else { return };
        let elapsed = customer.reading.map_or(period, |(at, _)| now - at);
        let same = customer.reading.is_some_and(|(_, last)| last == percent);
        if elapsed < period && (same || elapsed < READING_SPACING * period) {
            return;
        }
        let unknown = customer.reading.replace((now, percent)).is_none() && customer.share < 1.0;
        let metered = percent / 100.0 * limits.rate * elapsed / 1000.0;
        let keep = 1.0 - PART_WEIGHT;
        customer.own_use = keep * customer.own_use + customer.unmetered;
        customer.metered_use = keep * customer.metered_use + metered;
        let part = customer.own_use / customer.metered_use.max(f64::MIN_POSITIVE);
        let part = part.clamp(0.5 / customer.width, 1.0);
        if unknown {
            // In a wide set what was sent before was scaled up by a guess.
            customer.own = limits.burst - (limits.burst - customer.own) * customer.part / part;
        }
        customer.part = part;
        customer.unmetered = 0.0;
        let gain = limits.rate * elapsed.min(READING_LIFE) / 1000.0 * (1.0 - percent / 100.0);
        customer.mirror = (customer.mirror + gain).clamp(0.0, limits.burst);
        let empty = customer.mirror < 1.0;
        if percent > 100.0 && empty {
            customer.flagged_until = now + reading_life(limits, customer.width);
        }
        if percent <= 100.0 || empty {
            // A reading is late: it speaks of the share then in force, and must not cut the next one again.
            let metered_at = now - READING_LAG - period / 2.0;
            let share = customer.shares.iter().rev().find(|(since, _)| *since <= metered_at);
            let share = share.or(customer.shares.front()).map_or(1.0, |(_, share)| *share);
            customer.set_share(now, (share * 100.0 / percent.max(1.0)).clamp(SHARE_LEAST, 1.0), READING_LIFE);
        }
    }

    /// A good answer without a reading. Some of them show that no earlier life can have emptied a ceiling.
    pub(crate) fn read_nothing(&mut self) {
        self.answers_without_reading += 1;
        if self.answers_without_reading < FRESH_ANSWERS || self.settings.usage_report_period.is_none() {
            return;
        }
        self.begun_with = FRESH_PART;
        for customer in self.customers.values_mut() {
            let most = self.settings.plans[customer.plan].ceiling_burst / customer.width;
            customer.ceiling = (customer.ceiling + FRESH_PART * most).min(most);
        }
    }
}

/// How long a reading is believed: until some requests of a customer at its quota have brought the next one.
pub(crate) fn reading_life(limits: &Plan, width: f64) -> Millis {
    READING_LIFE.max(if limits.rate > 0.0 { READING_REQUESTS * 1000.0 * width / limits.rate } else { 0.0 })
}
